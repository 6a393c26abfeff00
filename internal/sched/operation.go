package sched

import "github.com/daisyrack/daisyrack/pkg/config"

// Outcomes of an operation.
const (
	ReplyAccepted = "accepted"
	ReplyExists   = "exists"
	ReplyRefused  = "refused"
	ReplyNotFound = "not_found"
	ReplyUnknown  = "unknown"
)

// Reply is the answer to an operator's call.
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

// operation is an operator's call on its way to the owner goroutine.
type operation struct {
	kind   operationKind
	job    config.Job
	author string
	answer chan Reply
}

// lastAnswer returns the answer given while the term ended; without one, a
// change may have been committed.
func (t *term) lastAnswer(op operation) Reply {
	select {
	case r := <-op.answer:
		return r
	default:
		return Reply{Outcome: ReplyUnknown, Reason: "the owner of the failure domain changed"}
	}
}

func (t *term) operate(op operation) {
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
		op.answer <- Reply{Outcome: ReplyRefused, Reason: "the owner is still reading its jobs"}
		return
	}
	if old, ok := t.jobs[j.Name]; ok {
		op.answer <- t.existing(old, j)
		return
	}
	if len(indexesIn(j, t.owner.FailureDomains, t.owner.FailureDomain)) == 0 {
		op.answer <- Reply{Outcome: ReplyRefused, Reason: "the job does not belong to this failure domain"}
		return
	}
	if reason := t.overBound(j); reason != "" {
		t.owner.stats.JobsRefused.Add(1)
		op.answer <- Reply{Outcome: ReplyRefused, Reason: reason}
		return
	}
	if possible, reason := t.possible(j); !possible {
		t.owner.stats.JobsRefused.Add(1)
		op.answer <- Reply{Outcome: ReplyRefused, Reason: "the job can never run: " + reason}
		return
	}
	jb := t.newJob(&JobRecord{Job: j, Version: 1, State: JobAccepted, Author: op.author, AcceptedMS: t.nowMS()})
	jb.answers = append(jb.answers, op.answer)
	t.markDirty(jb)
}

func (t *term) existing(old *job, j config.Job) Reply {
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
		op.answer <- Reply{Outcome: ReplyNotFound, Reason: "no job has this name in this failure domain"}
		return
	}
	if jb.record.FromDocument {
		op.answer <- Reply{Outcome: ReplyRefused, Reason: "the job is a document; remove the document"}
		return
	}
	if jb.record.Ended() {
		op.answer <- Reply{Outcome: ReplyExists, Reason: "the job has ended: " + jb.record.State, Job: t.jobStatus(jb)}
		return
	}
	// The tasks are stopped when the cancellation has been saved, so that no
	// later owner starts them again.
	jb.wanted = JobCancelled
	jb.reason = "cancelled by " + op.author
	jb.answers = append(jb.answers, op.answer)
	t.markDirty(jb)
}

func (t *term) describe(op operation) {
	jb, ok := t.jobs[op.job.Name]
	if !ok {
		op.answer <- Reply{Outcome: ReplyNotFound, Reason: "no job has this name in this failure domain"}
		return
	}
	op.answer <- Reply{Outcome: ReplyAccepted, Job: t.jobStatus(jb)}
}
