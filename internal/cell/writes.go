package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// endsDelay is how long ends wait for other reasons to commit; executors repeat them
	// until they are stored.
	commitDelay = 40 * time.Millisecond

	// keepEnded is how long a job that has ended is kept, above the time for which callers
	// may ask for its state.
	endedJobRetention = 180 * time.Second

	// expireInterval is the time between two sweeps of ended jobs.
	expireInterval = 5 * time.Second
)

// keeping is what has to be stored.
type pendingWrites struct {
	newJobs []*job
	dirty   map[string]*job
	final   []*job
	// drops are rows of which no entry is needed any more.
	obsoletePages []*page
	// serial numbers the rows of this epoch.
	pageSerial int
	// places is set when executors of jobs have to be stored before tasks start there.
	recordDue     bool
	ackDue        bool
	deferredSince time.Time
	sweptAt       time.Time
}

func (pw *pendingWrites) prepare() {
	pw.dirty = make(map[string]*job)
}

func (pw *pendingWrites) addNew(j *job) { pw.newJobs = append(pw.newJobs, j) }

func (pw *pendingWrites) markDirty(j *job) { pw.dirty[j.ID] = j }

func (pw *pendingWrites) markFinal(j *job) {
	pw.final = append(pw.final, j)
}

// Batch is one commit and what follows from it.
type Batch struct {
	Puts    []table.Put
	Deletes []string

	created     []*job
	dirty       []*job
	final       []*job
	finalStates []flow.State
	// pages are the rows that the batch writes, dropped those that it deletes.
	pages   []*page
	dropped []*page
	// bytes is the size of the entries.
	bytes int
	// forget are, by executor, the ends that it may forget afterwards, of the life in lives.
	ackSeqs      map[string]int64
	incarnations map[string]int64
	// places are the executors of jobs that are stored with the batch.
	recorded []recordedExecutors
}

// EndedJobs returns the jobs whose final state is stored with the batch.
func (b *Batch) EndedJobs() []string {
	ids := make([]string, 0, len(b.final))
	for _, j := range b.final {
		ids = append(ids, j.ID)
	}
	return ids
}

// places are executors on which tasks of a job may be started once they are stored.
type recordedExecutors struct {
	job *job
	ids []string
}

// CommitDue reports whether something waits for a commit: callers at once, ends after a while.
func (c *Core) CommitDue(now time.Time) bool {
	pw := &c.writes
	if len(pw.newJobs) > 0 || len(pw.final) > 0 || pw.recordDue {
		return true
	}
	if !pw.ackDue && len(pw.dirty) == 0 && len(pw.obsoletePages) == 0 {
		return false
	}
	if pw.deferredSince.IsZero() {
		pw.deferredSince = now
	}
	return now.Sub(pw.deferredSince) >= commitDelay
}

// NextBatch returns what to commit now. Jobs that do not fit wait for the next one; then no
// executor may forget its ends yet.
func (c *Core) NextBatch() (*Batch, error) {
	b := &Batch{}
	specs := &pageWriter{core: c, batch: b, prefix: ledger.JobPrefix}
	ends := &pageWriter{core: c, batch: b, prefix: ledger.EndPrefix}
	progress := &pageWriter{core: c, batch: b, prefix: ledger.ProgressPrefix}
	for _, add := range []func() error{
		func() error { return c.addNewJobs(b, specs) },
		func() error { return c.addFinalStates(b, ends) },
		func() error { return c.addProgress(b, progress) },
		specs.flush, progress.flush, ends.flush,
	} {
		if err := add(); err != nil {
			return nil, err
		}
	}
	c.addDeletes(b)
	if pw := &c.writes; len(pw.dirty) == 0 && len(pw.final) == 0 {
		pw.ackDue = false
		pw.deferredSince = time.Time{}
		c.addAcks(b)
	}
	return b, nil
}

// addFresh adds the jobs that were handed in.
func (c *Core) addNewJobs(b *Batch, pages *pageWriter) error {
	pw := &c.writes
	for len(pw.newJobs) > 0 && b.bytes < ledger.MaxBytes {
		j := pw.newJobs[0]
		if err := pages.add(j, &wire.PageEntry{Job: j.ID, Spec: j.Spec.Record()}); err != nil {
			return err
		}
		b.created = append(b.created, j)
		j.inCommit = true
		pw.newJobs = pw.newJobs[1:]
	}
	return nil
}

// addFinal adds the jobs that have ended, except those that are not part of a commit yet.
func (c *Core) addFinalStates(b *Batch, pages *pageWriter) error {
	pw := &c.writes
	for len(pw.final) > 0 && b.bytes < ledger.MaxBytes {
		j := pw.final[0]
		if slices.Contains(pw.newJobs, j) {
			return nil
		}
		if err := pages.add(j, &wire.PageEntry{Job: j.ID, Progress: j.Progress()}); err != nil {
			return err
		}
		b.final = append(b.final, j)
		b.finalStates = append(b.finalStates, j.State)
		delete(pw.dirty, j.ID)
		pw.final = pw.final[1:]
	}
	return nil
}

// addDirty adds the progress of other jobs; the text of a job is stored before its progress.
func (c *Core) addProgress(b *Batch, pages *pageWriter) error {
	pw := &c.writes
	pw.recordDue = false
	for _, id := range slices.Sorted(maps.Keys(pw.dirty)) {
		j := pw.dirty[id]
		if !j.inCommit {
			continue
		}
		if b.bytes >= ledger.MaxBytes {
			pw.recordDue = true
			return nil
		}
		if err := pages.add(j, &wire.PageEntry{Job: j.ID, Progress: j.Progress()}); err != nil {
			return err
		}
		b.dirty = append(b.dirty, j)
		b.addRecorded(j)
		delete(pw.dirty, id)
	}
	return nil
}

// addDrops adds rows that are not needed, as far as there is room.
func (c *Core) addDeletes(b *Batch) {
	pw := &c.writes
	for len(pw.obsoletePages) > 0 && b.rows() < ledger.MaxRows {
		b.Deletes = append(b.Deletes, pw.obsoletePages[0].key)
		b.dropped = append(b.dropped, pw.obsoletePages[0])
		pw.obsoletePages = pw.obsoletePages[1:]
	}
}

// addForget notes the ends that executors may forget once the batch is stored.
func (c *Core) addAcks(b *Batch) {
	b.ackSeqs = make(map[string]int64)
	b.incarnations = make(map[string]int64)
	for id, ex := range c.executors {
		b.ackSeqs[id] = ex.appliedSeq
		b.incarnations[id] = ex.incarnation
	}
}

func (b *Batch) rows() int {
	return len(b.Puts) + len(b.Deletes)
}

// addPlaces notes the executors of the job that are stored with the batch.
func (b *Batch) addRecorded(j *job) {
	p := recordedExecutors{job: j}
	for _, id := range j.Places() {
		if !j.recordedOn[id] {
			p.ids = append(p.ids, id)
		}
	}
	if len(p.ids) > 0 {
		b.recorded = append(b.recorded, p)
	}
}

// BatchRefused takes a batch back of which nothing was stored: its new jobs are rejected, the rest is
// committed again.
func (c *Core) BatchRefused(now time.Time, b *Batch) {
	if !c.storeRefuses {
		c.Log.WithField("silent_ms", now.Sub(c.confirmedAt).Milliseconds()).WithField("accepts", len(b.created)).
			Warn("store refuses commits: new jobs are rejected")
	}
	c.storeRefuses = true
	pw := &c.writes
	for _, j := range b.dirty {
		if !j.State.Final() {
			pw.markDirty(j)
		}
	}
	pw.final = append(slices.Clone(b.final), pw.final...)
	for _, j := range b.created {
		c.reject(now, j)
	}
	pw.obsoletePages = append(pw.obsoletePages, b.dropped...)
	pw.recordDue = pw.recordDue || len(b.recorded) > 0
	pw.ackDue = pw.ackDue || b.ackSeqs != nil
}

// BatchCommitted does what had to wait for the commit.
func (c *Core) BatchCommitted(now time.Time, b *Batch) {
	if c.storeRefuses {
		c.storeRefuses = false
		c.Log.Info("store takes commits again")
	}
	for _, p := range b.pages {
		c.pageStored(p)
	}
	for _, p := range b.dropped {
		for _, j := range p.jobs {
			j.pageCount--
		}
	}
	for _, p := range b.recorded {
		for _, id := range p.ids {
			p.job.recordedOn[id] = true
		}
		for _, st := range p.job.steps {
			st.fullScan = true
		}
	}
	for _, j := range b.created {
		j.accepted = true
		c.Stats.Accepted++
		c.Log.WithField("job", j.ID).WithField("queue", j.Spec.Queue).WithField("steps", len(j.Spec.Steps)).
			WithField("waited_ms", now.Sub(j.Spec.Accepted).Milliseconds()).Info("job accepted")
		j.submitReplies = replyAccepted(j.submitReplies)
	}
	for i, j := range b.final {
		j.accepted = true
		j.storedState = b.finalStates[i]
		c.releasePage(j.specPage)
		j.specPage = nil
		c.Log.WithField("job", j.ID).WithField("state", j.storedState.String()).
			WithField("took_ms", now.Sub(j.Spec.Accepted).Milliseconds()).
			WithField("late_ms", now.Sub(j.sloDeadline).Milliseconds()).
			WithField("last_start_ms", j.sinceAccepted(j.lastStart)).WithField("runs", j.startedRuns).
			WithField("failed_runs", j.failedRuns).WithField("lost_runs", j.lostRuns).Info("job ended")
		j.submitReplies = replyAccepted(j.submitReplies)
		j.cancelReplies = replyAccepted(j.cancelReplies)
	}
	for id, seq := range b.ackSeqs {
		if ex := c.executors[id]; ex != nil && ex.incarnation == b.incarnations[id] {
			ex.ackSeq = max(ex.ackSeq, seq)
		}
	}
}

// sinceAccepted returns the milliseconds from the acceptance to a time; -1 means that it never came.
func (j *job) sinceAccepted(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(j.Spec.Accepted).Milliseconds()
}

// answer tells waiting callers that what they asked for is stored; it returns the empty list.
func replyAccepted(replies []func(Reply)) []func(Reply) {
	for _, reply := range replies {
		reply(Reply{Outcome: Accepted})
	}
	return nil
}

// expire forgets jobs that ended long ago. A final state stays as long as another row has an entry
// of the job, which would count again without it.
func (pw *pendingWrites) expire(c *Core, now time.Time) {
	if now.Sub(pw.sweptAt) < expireInterval {
		return
	}
	pw.sweptAt = now
	for id, j := range c.jobs {
		if j.storedState.Final() && len(j.runs) == 0 && now.Sub(j.Ended) > endedJobRetention && j.pageCount <= 1 {
			delete(c.jobs, id)
			c.releasePage(j.progressPage)
		}
	}
}
