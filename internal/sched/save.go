package sched

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// maxJobsPerSave limits the jobs in one transaction, which may contain at most 128 rows.
	maxJobsPerSave = 100

	// maxBytesPerSave limits the job records in one transaction, which may contain at most 256 KB.
	maxBytesPerSave = 200 << 10

	// saveInterval keeps the owner within its quota of three transactions per second.
	saveInterval = 334 * time.Millisecond

	// saveTimeout limits a transaction, including the reads that resolve a lost reply.
	saveTimeout = 6 * time.Second

	// saveRetryDelay is the delay after a transaction that is not known to be committed.
	saveRetryDelay = time.Second

	// endedJobRetention is how long the record of an ended job is kept.
	endedJobRetention = 24 * time.Hour
)

// saveBatch is the content of the transaction in flight.
type saveBatch struct {
	jobs    []jobSave
	fleet   []*worker
	deletes []string
}

// jobSave is the part of a saveBatch that belongs to one job: the state that takes effect, the ends
// that are acknowledged and the operations that are answered once the transaction is committed.
type jobSave struct {
	job         *job
	state       string
	unackedEnds []endedTask
	waiters     []chan Reply
}

func (s jobSave) reply(r Reply) {
	for _, waiter := range s.waiters {
		waiter <- r
	}
}

type saveRequest struct {
	commit table.Transaction
}

type saveResult struct {
	result table.Result
}

func (t *term) markDirty(jb *job) {
	t.dirty[jb] = struct{}{}
}

// runSaver commits the requested transactions one at a time.
func (t *term) runSaver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-t.saveRequests:
			t.saveResults <- saveResult{result: t.save(ctx, req.commit)}
		}
	}
}

// save commits a transaction. If its outcome remains unknown, the next transaction writes the same
// records again.
func (t *term) save(ctx context.Context, c table.Transaction) table.Result {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	return t.owner.Commit(ctx, c)
}

// startSave starts a transaction with the pending changes. A check of the epoch row serves as
// fencing token: the transaction conflicts once a newer owner has taken over.
func (t *term) startSave() {
	now := t.now()
	if t.inFlightSave != nil || now.Before(t.nextSave) {
		return
	}
	if len(t.dirty) == 0 && len(t.deletes) == 0 && !t.fleetDirty {
		return
	}
	t.nextSave = now.Add(saveInterval)
	b := &saveBatch{}
	c := table.Transaction{Checks: []table.Check{{
		Key:     "epoch/" + t.owner.FailureDomain,
		Version: t.lease.EpochVersion,
	}}}
	t.addFleet(b, &c)
	t.addJobs(b, &c)
	t.addDeletes(b, &c)
	t.inFlightSave = b
	t.saveRequests <- saveRequest{commit: c}
}

func (t *term) addFleet(b *saveBatch, c *table.Transaction) {
	if !t.fleetDirty {
		return
	}
	data, workers, err := t.encodeFleet()
	if err != nil {
		t.owner.Log.WithError(err).Error("unable to encode fleet row")
		return
	}
	t.fleetDirty = false
	b.fleet = workers
	c.Puts = append(c.Puts, table.Put{Key: fleetKey(t.owner.FailureDomain), Value: data})
}

func (t *term) addJobs(b *saveBatch, c *table.Transaction) {
	size := 0
	for jb := range t.dirty {
		if len(b.jobs) >= maxJobsPerSave || size > maxBytesPerSave {
			return
		}
		delete(t.dirty, jb)
		data, err := t.encodeJob(jb)
		if err != nil {
			t.owner.Log.WithError(err).Error("unable to encode job record")
			continue
		}
		size += len(data)
		b.jobs = append(b.jobs, jobSave{job: jb, state: jb.nextState, unackedEnds: jb.unackedEnds, waiters: jb.waiters})
		jb.waiters = nil
		c.Puts = append(c.Puts, table.Put{Key: jobKey(t.owner.FailureDomain, jb.record.Job.Name), Value: data})
	}
}

func (t *term) addDeletes(b *saveBatch, c *table.Transaction) {
	for name := range t.deletes {
		if len(b.jobs)+len(b.deletes) >= maxJobsPerSave {
			return
		}
		delete(t.deletes, name)
		b.deletes = append(b.deletes, name)
		c.Deletes = append(c.Deletes, jobKey(t.owner.FailureDomain, name))
	}
}

// encodeJob returns the encoded record, with the next state if there is one.
func (t *term) encodeJob(jb *job) ([]byte, error) {
	r := *jb.record
	if jb.nextState != "" {
		r.State = jb.nextState
		r.Reason = jb.reason
		r.EndedMS = t.nowMS()
	}
	return encodeRecord(&r)
}

func (t *term) handleSaveResult(s saveResult) {
	b := t.inFlightSave
	t.inFlightSave = nil
	switch s.result.Outcome {
	case table.Committed:
		t.owner.counters.SavesCommitted.Add(1)
		t.applyCommitted(b)
	case table.Conflict:
		t.owner.Log.Warn("a newer owner has taken over the failure domain; ending the term")
		t.handleNotCommitted(b, ReplyRefused, "the owner of the failure domain changed")
		t.cancel()
	case table.Refused:
		t.owner.counters.SavesRefused.Add(1)
		t.handleNotCommitted(b, ReplyRefused, "the table service is unavailable")
	default:
		t.owner.counters.SavesUnknown.Add(1)
		t.handleUnknownOutcome(b)
	}
}

func (t *term) applyCommitted(b *saveBatch) {
	for _, w := range b.fleet {
		w.recorded = true
	}
	for _, s := range b.jobs {
		t.applyCommittedJob(s)
	}
	t.updateCordons(t.now())
}

func (t *term) applyCommittedJob(s jobSave) {
	jb := s.job
	jb.unackedEnds = jb.unackedEnds[len(s.unackedEnds):]
	for _, e := range s.unackedEnds {
		e.worker.commands.Acks = append(e.worker.commands.Acks, e.id)
	}
	if !jb.saved {
		t.owner.counters.JobsAccepted.Add(1)
		t.emit(event.Event{Kind: event.JobAccepted, Job: jb.record.Job.Name})
		t.activate(jb, false)
	}
	if s.state != "" {
		t.applyState(jb, s.state)
	}
	s.reply(Reply{Outcome: ReplyAccepted, Job: t.jobStatus(jb)})
}

// handleNotCommitted handles a transaction that is known not to be committed. It sends the outcome
// to the waiting operations and drops their changes; everything else is saved again. A job with an
// earlier save of unknown outcome may be in the table already, so its operations keep waiting.
func (t *term) handleNotCommitted(b *saveBatch, outcome, reason string) {
	t.nextSave = t.now().Add(saveRetryDelay)
	t.markBatchDirty(b)
	for _, s := range b.jobs {
		jb := s.job
		if jb.maybeSaved || len(s.waiters) == 0 {
			jb.waiters = append(s.waiters, jb.waiters...)
			continue
		}
		s.reply(Reply{Outcome: outcome, Reason: reason})
		if !jb.saved {
			delete(t.dirty, jb)
			delete(t.jobs, jb.record.Job.Name)
		} else if jb.nextState == JobCancelled {
			jb.nextState = ""
		}
	}
}

// handleUnknownOutcome schedules another save of a transaction that may or may not have been
// committed. Only this owner writes the records, so that writing them again is idempotent.
func (t *term) handleUnknownOutcome(b *saveBatch) {
	t.nextSave = t.now().Add(saveRetryDelay)
	t.markBatchDirty(b)
	for _, s := range b.jobs {
		s.job.maybeSaved = true
		s.job.waiters = append(s.waiters, s.job.waiters...)
	}
}

func (t *term) markBatchDirty(b *saveBatch) {
	if b.fleet != nil {
		t.fleetDirty = true
	}
	for _, s := range b.jobs {
		t.dirty[s.job] = struct{}{}
	}
	for _, name := range b.deletes {
		t.deletes[name] = struct{}{}
	}
}

// deleteExpiredJobs deletes the records of ended jobs whose retention period has passed.
func (t *term) deleteExpiredJobs(now time.Time) {
	cutoff := now.Add(-endedJobRetention).UnixMilli()
	for name, jb := range t.jobs {
		r := jb.record
		if r.FromDocument || !r.Ended() || r.EndedMS > cutoff || len(jb.tasks) > 0 {
			continue
		}
		delete(t.jobs, name)
		t.deletes[name] = struct{}{}
	}
}
