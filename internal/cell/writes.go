package cell

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// commitDelay is how long a commit that no caller waits for is deferred to be batched with
	// others. Executors list ended runs again until they are stored, so that none is lost
	// meanwhile.
	commitDelay = 40 * time.Millisecond

	// endedJobRetention is how long ended jobs are kept. It exceeds the time for which clients may
	// query their state.
	endedJobRetention = 180 * time.Second

	// expireInterval is the time between two scans for ended jobs to drop.
	expireInterval = 5 * time.Second
)

// pendingWrites collects what the next commits have to store.
type pendingWrites struct {
	newJobs []*job
	dirty   map[string]*job
	// newPlaces are the jobs with executors that are in no commit yet.
	newPlaces map[string]*job
	final     []*job
	// obsoletePages are rows whose entries are all outdated.
	obsoletePages []*page
	// pageSerial is the serial number of the last row written in this epoch.
	pageSerial int
	// recordDue is set when progress has to be stored without delay: tasks can start on new
	// executors of a job only after these are stored, or the last batch was full.
	recordDue bool
	// ackDue is set when ended runs were applied that are not acknowledged yet.
	ackDue bool
	// deferredSince is when the oldest change that is in no batch yet was deferred.
	deferredSince time.Time
	// lastExpiry is when ended jobs were last scanned for expiry.
	lastExpiry time.Time
	// parts are parts of progress records that do not fit into the next commit, splitSerial is the number of
	// records that were split in this epoch.
	parts       []progressPart
	splitSerial int64
	// heldAcks are the acknowledgements that are due once the last of parts is stored.
	heldAcks *acks
	// isolation finds the job whose entries the store refuses.
	isolation isolation
}

// acks are acknowledgements of ended runs.
type acks struct {
	// sequences holds, by executor, the sequence number up to which ended runs are acknowledged. It is valid
	// only for the incarnation in incarnations.
	sequences    map[string]int64
	incarnations map[string]int64
}

func (pw *pendingWrites) prepare() {
	pw.dirty = make(map[string]*job)
	pw.newPlaces = make(map[string]*job)
}

func (pw *pendingWrites) addNew(j *job) { pw.newJobs = append(pw.newJobs, j) }

func (pw *pendingWrites) markDirty(j *job) { pw.dirty[j.ID] = j }

func (pw *pendingWrites) markFinal(j *job) {
	pw.final = append(pw.final, j)
}

// Batch is the content of one commit and the state changes to apply once it succeeds.
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
	// bytes is the total size of the entries.
	bytes int
	// acks are the acknowledgements that are due once the batch is stored; nil means none.
	acks *acks
	// parts are the parts of progress that the batch stores.
	parts []progressPart
	// recorded holds the executors of jobs that are stored with the batch.
	recorded []recordedExecutors
}

// EndedJobs returns the IDs of the jobs whose final state is stored with the batch.
func (b *Batch) EndedJobs() []string {
	ids := make([]string, 0, len(b.final))
	for _, j := range b.final {
		ids = append(ids, j.ID)
	}
	return ids
}

// recordedExecutors are executors on which tasks of a job may start once they are stored.
type recordedExecutors struct {
	job *job
	ids []string
}

// CommitDue reports whether a commit is due: at once if a caller or a start waits for it, otherwise
// after commitDelay.
func (c *Core) CommitDue(now time.Time) bool {
	pw := &c.writes
	if len(pw.newJobs) > 0 || pw.recordDue || len(pw.isolation.suspects) > 0 || pw.hasUrgent() {
		return true
	}
	if !pw.ackDue && len(pw.obsoletePages) == 0 && !pw.hasDeferred() {
		return false
	}
	if pw.deferredSince.IsZero() {
		pw.deferredSince = now
	}
	return now.Sub(pw.deferredSince) >= commitDelay
}

// NextBatch returns what to commit next. Jobs that do not fit wait for a later batch; until then no
// ended runs are acknowledged to executors.
func (c *Core) NextBatch() (*Batch, error) {
	b := &Batch{}
	c.writes.isolation.nextTurn()
	specs := &pageWriter{core: c, batch: b, prefix: ledger.JobPrefix}
	ends := &pageWriter{core: c, batch: b, prefix: ledger.EndPrefix}
	places := &pageWriter{core: c, batch: b, prefix: ledger.PlacesPrefix}
	progress := &pageWriter{core: c, batch: b, prefix: ledger.ProgressPrefix}
	for _, add := range []func() error{
		func() error { return c.addNewJobs(b, specs) },
		func() error { return c.addFinalStates(b, ends) },
		func() error { return c.addPlaces(b, places) },
		func() error { return c.addProgress(b, progress) },
		func() error { return c.addParts(b, progress) },
		specs.flush, places.flush, progress.flush, ends.flush,
	} {
		if err := add(); err != nil {
			return nil, err
		}
	}
	c.addDeletes(b)
	c.addAcks(b)
	return b, nil
}

// addNewJobs adds the specs of submitted jobs.
func (c *Core) addNewJobs(b *Batch, pages *pageWriter) error {
	pw := &c.writes
	var later []*job
	for i, j := range pw.newJobs {
		if b.bytes >= ledger.MaxCommitBytes {
			later = append(later, pw.newJobs[i:]...)
			break
		}
		if !pw.isolation.allows(j) {
			later = append(later, j)
			continue
		}
		if err := pages.add(j, &wire.PageEntry{Job: j.ID, Spec: j.Spec.Record()}); err != nil {
			return err
		}
		b.created = append(b.created, j)
		j.inCommit = true
	}
	pw.newJobs = later
	return nil
}

// addFinalStates adds the final states of ended jobs, except those of jobs that are not in a commit
// yet.
func (c *Core) addFinalStates(b *Batch, pages *pageWriter) error {
	pw := &c.writes
	var later []*job
	for i, j := range pw.final {
		if b.bytes >= ledger.MaxCommitBytes {
			later = append(later, pw.final[i:]...)
			break
		}
		if !pw.isolation.allows(j) || slices.Contains(pw.newJobs, j) {
			later = append(later, j)
			continue
		}
		// One part is enough, since no task of an ended job is stored.
		if err := pages.add(j, &wire.PageEntry{Job: j.ID, Progress: j.Progress()[0]}); err != nil {
			return err
		}
		b.final = append(b.final, j)
		b.finalStates = append(b.finalStates, j.State)
		delete(pw.dirty, j.ID)
		pw.dropParts(j)
	}
	pw.final = later
	return nil
}

// addProgress adds the progress of other jobs. The spec of a job is stored before its progress. Progress that is split
// into parts is added by addParts, and not written again before these are stored.
func (c *Core) addProgress(b *Batch, pages *pageWriter) error {
	pw := &c.writes
	for _, id := range slices.Sorted(maps.Keys(pw.dirty)) {
		j := pw.dirty[id]
		if !j.inCommit || j.waitingParts > 0 || !pw.isolation.allows(j) {
			continue
		}
		if b.bytes >= ledger.MaxCommitBytes {
			pw.recordDue = true
			return nil
		}
		parts := j.Progress()
		if c.formerFollowers && !j.State.Final() && proto.Size(parts[0])+namesSize(j.Executors()) <= flow.MaxProgressBytes {
			parts[0].Executors = j.Executors()
		}
		delete(pw.dirty, id)
		if len(parts) > 1 {
			pw.addParts(c.Epoch, j, parts)
			continue
		}
		if err := pages.add(j, &wire.PageEntry{Job: j.ID, Progress: parts[0]}); err != nil {
			return err
		}
		b.dirty = append(b.dirty, j)
	}
	return nil
}

// addDeletes adds deletions of obsolete rows, up to the row limit of a commit.
func (c *Core) addDeletes(b *Batch) {
	pw := &c.writes
	for len(pw.obsoletePages) > 0 && b.rows() < ledger.MaxCommitRows {
		b.Deletes = append(b.Deletes, pw.obsoletePages[0].key)
		b.dropped = append(b.dropped, pw.obsoletePages[0])
		pw.obsoletePages = pw.obsoletePages[1:]
	}
}

// addAcks records which ended runs can be acknowledged to executors once the batch is stored: all that were applied,
// if the batch holds everything that is not stored yet. If parts of progress have to wait, they are acknowledged with
// the last part.
func (c *Core) addAcks(b *Batch) {
	pw := &c.writes
	if pw.heldAcks == nil {
		if pw.hasDirty() || slices.ContainsFunc(pw.final, pw.isolation.mayWrite) {
			return
		}
		pw.ackDue = false
		pw.deferredSince = time.Time{}
		pw.heldAcks = c.acknowledge()
	}
	if !slices.ContainsFunc(pw.parts, func(p progressPart) bool { return pw.isolation.mayWrite(p.job) }) {
		b.acks, pw.heldAcks = pw.heldAcks, nil
	}
}

// hasUrgent reports whether final states or parts of progress wait for a commit, apart from those of jobs that are set
// aside.
func (pw *pendingWrites) hasUrgent() bool {
	return slices.ContainsFunc(pw.final, pw.isolation.mayWrite) ||
		slices.ContainsFunc(pw.parts, func(p progressPart) bool { return pw.isolation.mayWrite(p.job) })
}

// hasDeferred reports the same for progress and places.
func (pw *pendingWrites) hasDeferred() bool {
	return pw.hasDirty() || pw.isolation.anyMayWrite(pw.newPlaces)
}

func (pw *pendingWrites) hasDirty() bool { return pw.isolation.anyMayWrite(pw.dirty) }

// acknowledge returns the acknowledgements of all ended runs that were applied, up to the first one of a job that is
// set aside.
func (c *Core) acknowledge() *acks {
	a := &acks{sequences: make(map[string]int64), incarnations: make(map[string]int64)}
	for id, ex := range c.unacked {
		a.sequences[id] = ex.appliedSequence
		a.incarnations[id] = ex.incarnation
		if len(c.writes.isolation.aside)+len(c.notRestored) > 0 {
			a.sequences[id] = ex.ackableSequence(&c.writes.isolation)
		}
	}
	return a
}

func (b *Batch) rows() int {
	return len(b.Puts) + len(b.Deletes)
}

// BatchRefused handles a batch that the store refused, so that none of it is stored. Its new
// jobs are rejected and the rest is committed again.
func (c *Core) BatchRefused(now time.Time, b *Batch) {
	if !c.storeRefuses {
		c.Log.WithField("silent_ms", now.Sub(c.confirmedAt).Milliseconds()).WithField("accepts", len(b.created)).
			Warn("store refuses commits; rejecting new jobs")
	}
	c.storeRefuses = true
	c.requeue(b)
	for _, j := range b.created {
		c.reject(now, j, "store does not answer")
	}
}

// requeue makes everything but the new jobs of a batch of which nothing is stored part of later batches.
func (c *Core) requeue(b *Batch) {
	pw := &c.writes
	for _, j := range b.dirty {
		if !j.State.Final() {
			pw.markDirty(j)
		}
	}
	pw.final = append(slices.Clone(b.final), pw.final...)
	for _, p := range b.parts {
		if !p.job.State.Final() {
			p.job.waitingParts++
			pw.parts = append(pw.parts, p)
		}
	}
	pw.obsoletePages = append(pw.obsoletePages, b.dropped...)
	for _, p := range b.recorded {
		p.job.placesWritten -= len(p.ids)
		if c.jobs[p.job.ID] == p.job {
			pw.newPlaces[p.job.ID] = p.job
		}
	}
	pw.recordDue = pw.recordDue || len(b.recorded) > 0
	pw.ackDue = pw.ackDue || b.acks != nil || pw.heldAcks != nil
	pw.heldAcks = nil
}

// BatchCommitted applies the effects of a successful commit.
func (c *Core) BatchCommitted(now time.Time, b *Batch) {
	if c.storeRefuses {
		c.storeRefuses = false
		c.Log.Info("store accepts commits again")
	}
	c.writes.isolation.turnStored()
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
		c.releaseEnded(j)
		c.Log.WithField("job", j.ID).WithField("state", j.storedState.String()).
			WithField("took_ms", now.Sub(j.Spec.Accepted).Milliseconds()).
			WithField("late_ms", now.Sub(j.sloDeadline).Milliseconds()).
			WithField("last_start_ms", j.sinceAccepted(j.lastStart)).WithField("runs", j.startedRuns).
			WithField("failed_runs", j.failedRuns).WithField("lost_runs", j.lostRuns).Info("job ended")
		j.submitReplies = replyAccepted(j.submitReplies)
		j.cancelReplies = replyAccepted(j.cancelReplies)
	}
	if b.acks != nil {
		c.applyAcks(b.acks)
	}
}

// applyAcks makes ended runs that are stored be acknowledged with the next polls.
func (c *Core) applyAcks(a *acks) {
	for id, seq := range a.sequences {
		ex := c.executors[id]
		if ex == nil || ex.incarnation != a.incarnations[id] {
			continue
		}
		ex.ackedSequence = max(ex.ackedSequence, seq)
		n := 0
		for n < len(ex.unackedEnds) && ex.unackedEnds[n].sequence <= ex.ackedSequence {
			n++
		}
		ex.unackedEnds = append(ex.unackedEnds[:0], ex.unackedEnds[n:]...)
		if ex.ackedSequence == ex.appliedSequence {
			delete(c.unacked, id)
		}
	}
}

// sinceAccepted returns the milliseconds from the acceptance of the job to t, or -1 if t is zero.
func (j *job) sinceAccepted(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(j.Spec.Accepted).Milliseconds()
}

// replyAccepted tells waiting callers that their request is stored; it returns an empty list.
func replyAccepted(replies []func(Reply)) []func(Reply) {
	for _, reply := range replies {
		reply(Reply{Outcome: Accepted})
	}
	return nil
}

// expire drops jobs that ended more than endedJobRetention ago. The final state of a job is kept
// while another row still has an entry of it: without the final state that entry would count again.
func (pw *pendingWrites) expire(c *Core, now time.Time) {
	if now.Sub(pw.lastExpiry) < expireInterval {
		return
	}
	pw.lastExpiry = now
	for id, j := range c.jobs {
		if j.storedState.Final() && !j.mayHaveRuns() && now.Sub(j.Ended) > endedJobRetention && j.pageCount <= 1 {
			delete(c.jobs, id)
			c.releasePages(j.progressPages)
		}
	}
}
