package sched

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// maxSaved bounds the jobs of one transaction, which holds 128 rows.
	maxSaved = 100

	// maxSavedBytes bounds the records of one transaction, which holds 256 KB.
	maxSavedBytes = 200 << 10

	// saveInterval keeps the owner within its budget of three transactions a second.
	saveInterval = 334 * time.Millisecond

	// saveLimit bounds the search for a lost answer.
	saveLimit = 6 * time.Second

	// saveRetry is the pause after a transaction that was not committed.
	saveRetry = time.Second

	// keepEnded is how long the record of an ended job is kept.
	keepEnded = 24 * time.Hour
)

// batch is the content of the transaction in progress.
type batch struct {
	jobs    []savedJob
	fleet   []*worker
	deletes []string
}

type savedJob struct {
	job     *job
	state   string
	ends    []ended
	answers []chan Reply
}

func (s savedJob) answer(r Reply) {
	for _, a := range s.answers {
		a <- r
	}
}

type saveRequest struct {
	commit table.Commit
}

type saveResult struct {
	result table.Result
}

func (t *term) markDirty(jb *job) {
	t.dirty[jb] = struct{}{}
}

// runSaver commits one transaction after the other.
func (t *term) runSaver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-t.saves:
			t.saved <- saveResult{result: t.save(ctx, req.commit)}
		}
	}
}

// save commits a transaction; when its outcome stays unknown, the next one
// writes the same records again.
func (t *term) save(ctx context.Context, c table.Commit) table.Result {
	ctx, cancel := context.WithTimeout(ctx, saveLimit)
	defer cancel()
	return t.owner.Commit(ctx, c)
}

// startSave sends what has changed in one transaction, fenced by the epoch.
func (t *term) startSave() {
	now := t.now()
	if t.saving != nil || now.Before(t.saveAfter) {
		return
	}
	if len(t.dirty) == 0 && len(t.deletes) == 0 && !t.fleetDirty {
		return
	}
	t.saveAfter = now.Add(saveInterval)
	b := &batch{}
	c := table.Commit{Checks: []table.Check{{
		Key:     "epoch/" + t.owner.FailureDomain,
		Version: t.lease.EpochVersion,
	}}}
	t.addFleet(b, &c)
	t.addJobs(b, &c)
	t.addDeletes(b, &c)
	t.saving = b
	t.saves <- saveRequest{commit: c}
}

func (t *term) addFleet(b *batch, c *table.Commit) {
	if !t.fleetDirty {
		return
	}
	text, workers, err := t.fleetRow()
	if err != nil {
		t.owner.Log.WithError(err).Error("fleet not encoded")
		return
	}
	t.fleetDirty = false
	b.fleet = workers
	c.Puts = append(c.Puts, table.Put{Key: fleetKey(t.owner.FailureDomain), Value: text})
}

func (t *term) addJobs(b *batch, c *table.Commit) {
	size := 0
	for jb := range t.dirty {
		if len(b.jobs) >= maxSaved || size > maxSavedBytes {
			return
		}
		delete(t.dirty, jb)
		text, err := t.encode(jb)
		if err != nil {
			t.owner.Log.WithError(err).Error("job record not encoded")
			continue
		}
		size += len(text)
		b.jobs = append(b.jobs, savedJob{job: jb, state: jb.wanted, ends: jb.ends, answers: jb.answers})
		jb.answers = nil
		c.Puts = append(c.Puts, table.Put{Key: jobKey(t.owner.FailureDomain, jb.record.Job.Name), Value: text})
	}
}

func (t *term) addDeletes(b *batch, c *table.Commit) {
	for name := range t.deletes {
		if len(b.jobs)+len(b.deletes) >= maxSaved {
			return
		}
		delete(t.deletes, name)
		b.deletes = append(b.deletes, name)
		c.Deletes = append(c.Deletes, jobKey(t.owner.FailureDomain, name))
	}
}

// encode returns the record with the state that the save is to write.
func (t *term) encode(jb *job) ([]byte, error) {
	r := *jb.record
	if jb.wanted != "" {
		r.State = jb.wanted
		r.Reason = jb.reason
		r.EndedMS = t.nowMS()
	}
	return encodeRecord(&r)
}

func (t *term) finishSave(s saveResult) {
	b := t.saving
	t.saving = nil
	switch s.result.Outcome {
	case table.Committed:
		t.owner.stats.SavesCommitted.Add(1)
		t.committed(b)
	case table.Conflict:
		t.owner.Log.Warn("a newer owner has taken the failure domain")
		t.notSaved(b, ReplyRefused, "the owner of the failure domain changed")
		t.cancel()
	case table.Refused:
		t.owner.stats.SavesRefused.Add(1)
		t.notSaved(b, ReplyRefused, "the table service is unavailable")
	default:
		t.owner.stats.SavesUnknown.Add(1)
		t.unknown(b)
	}
}

func (t *term) committed(b *batch) {
	for _, w := range b.fleet {
		w.recorded = true
	}
	for _, s := range b.jobs {
		t.jobCommitted(s)
	}
	t.cordon(t.now())
}

func (t *term) jobCommitted(s savedJob) {
	jb := s.job
	jb.ends = jb.ends[len(s.ends):]
	for _, e := range s.ends {
		e.worker.out.Acks = append(e.worker.out.Acks, e.id)
	}
	if !jb.saved {
		t.owner.stats.JobsAccepted.Add(1)
		t.emit(event.Event{Kind: event.JobAccepted, Job: jb.record.Job.Name})
		t.activate(jb, false)
	}
	if s.state != "" {
		t.settle(jb, s.state)
	}
	s.answer(Reply{Outcome: ReplyAccepted, Job: t.jobStatus(jb)})
}

// notSaved answers the operators of a transaction that was surely not
// committed; everything else in it is saved again.
func (t *term) notSaved(b *batch, outcome, reason string) {
	t.saveAfter = t.now().Add(saveRetry)
	t.again(b)
	for _, s := range b.jobs {
		jb := s.job
		if jb.maybeSaved || len(s.answers) == 0 {
			jb.answers = append(s.answers, jb.answers...)
			continue
		}
		s.answer(Reply{Outcome: outcome, Reason: reason})
		if !jb.saved {
			delete(t.dirty, jb)
			delete(t.jobs, jb.record.Job.Name)
		} else if jb.wanted == JobCancelled {
			jb.wanted = ""
		}
	}
}

// unknown saves again what may or may not have been committed; the records are
// written by this owner only, so a repetition is harmless.
func (t *term) unknown(b *batch) {
	t.saveAfter = t.now().Add(saveRetry)
	t.again(b)
	for _, s := range b.jobs {
		s.job.maybeSaved = true
		s.job.answers = append(s.answers, s.job.answers...)
	}
}

func (t *term) again(b *batch) {
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

// removeOldJobs forgets the records of jobs that ended long ago.
func (t *term) removeOldJobs(now time.Time) {
	limit := now.Add(-keepEnded).UnixMilli()
	for name, jb := range t.jobs {
		r := jb.record
		if r.FromDocument || !r.Ended() || r.EndedMS > limit || len(jb.tasks) > 0 {
			continue
		}
		delete(t.jobs, name)
		t.deletes[name] = struct{}{}
	}
}
