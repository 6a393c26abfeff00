package sched

import "github.com/daisyrack/daisyrack/pkg/config"

// Outcomes of an operation, as sent to clients.
const (
	ReplyAccepted = "accepted"
	ReplyExists   = "exists"
	ReplyRefused  = "refused"
	ReplyNotFound = "not_found"
	ReplyUnknown  = "unknown"
)

// Reply is the reply to an operation.
type Reply struct {
	Outcome string     `json:"outcome"`
	Reason  string     `json:"reason,omitempty"`
	Job     *JobStatus `json:"job,omitempty"`
}

type operationKind int

const (
	opSubmit operationKind = iota
	opCancel
	opDescribe
)

// operation is a call of an operator, to be handled by the owner goroutine.
type operation struct {
	kind   operationKind
	job    config.Job
	author string
	reply  chan Reply
}

// finalReply returns the reply that was sent while the term ended. Without one the outcome is
// unknown, since the change may have been committed.
func (t *term) finalReply(op operation) Reply {
	select {
	case r := <-op.reply:
		return r
	default:
		return Reply{Outcome: ReplyUnknown, Reason: "the owner of the failure domain changed"}
	}
}

func (t *term) handleOperation(op operation) {
	switch op.kind {
	case opSubmit:
		t.submit(op)
	case opCancel:
		t.cancelJob(op)
	case opDescribe:
		t.describe(op)
	}
}

func (t *term) submit(op operation) {
	j := op.job.WithDefaults()
	if !t.loaded {
		op.reply <- Reply{Outcome: ReplyRefused, Reason: "the owner is still reading its jobs"}
		return
	}
	if old, ok := t.jobs[j.Name]; ok {
		op.reply <- t.replyToDuplicate(old, j)
		return
	}
	if len(taskIndexes(j, t.owner.FailureDomains, t.owner.FailureDomain)) == 0 {
		op.reply <- Reply{Outcome: ReplyRefused, Reason: "the job does not belong to this failure domain"}
		return
	}
	if reason := t.exceededLimit(j); reason != "" {
		t.owner.counters.JobsRefused.Add(1)
		op.reply <- Reply{Outcome: ReplyRefused, Reason: reason}
		return
	}
	if feasible, reason := t.feasible(j); !feasible {
		t.owner.counters.JobsRefused.Add(1)
		op.reply <- Reply{Outcome: ReplyRefused, Reason: "the job can never run: " + reason}
		return
	}
	jb := t.newJob(&JobRecord{Job: j, Version: 1, State: JobAccepted, Author: op.author, AcceptedMS: t.nowMS()})
	jb.waiters = append(jb.waiters, op.reply)
	t.markDirty(jb)
}

func (t *term) replyToDuplicate(old *job, j config.Job) Reply {
	same := sameJob(old.record.Job, j)
	if same && old.saved {
		return Reply{Outcome: ReplyExists, Reason: "the job was accepted before", Job: t.jobStatus(old)}
	}
	if same {
		return Reply{Outcome: ReplyRefused, Reason: "the job is being accepted by another call"}
	}
	return Reply{Outcome: ReplyRefused, Reason: "another job has this name"}
}

func (t *term) cancelJob(op operation) {
	jb, ok := t.jobs[op.job.Name]
	if !ok || !jb.saved {
		op.reply <- Reply{Outcome: ReplyNotFound, Reason: "no job has this name in this failure domain"}
		return
	}
	if jb.record.FromDocument {
		op.reply <- Reply{Outcome: ReplyRefused, Reason: "the job is a document; remove the document"}
		return
	}
	if jb.record.Ended() {
		op.reply <- Reply{Outcome: ReplyExists, Reason: "the job has ended: " + jb.record.State, Job: t.jobStatus(jb)}
		return
	}
	// The tasks are stopped only after the cancellation has been saved. Otherwise a later owner
	// would start them again.
	jb.nextState = JobCancelled
	jb.reason = "cancelled by " + op.author
	jb.waiters = append(jb.waiters, op.reply)
	t.markDirty(jb)
}

func (t *term) describe(op operation) {
	jb, ok := t.jobs[op.job.Name]
	if !ok {
		op.reply <- Reply{Outcome: ReplyNotFound, Reason: "no job has this name in this failure domain"}
		return
	}
	op.reply <- Reply{Outcome: ReplyAccepted, Job: t.jobStatus(jb)}
}
