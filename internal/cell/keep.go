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
	endsDelay = 40 * time.Millisecond

	// keepEnded is how long a job that has ended is kept, above the time for which callers
	// may ask for its state.
	keepEnded = 180 * time.Second

	// expireInterval is the time between two sweeps of ended jobs.
	expireInterval = 5 * time.Second
)

// keeping is what has to be stored.
type keeping struct {
	fresh []*job
	dirty map[string]*job
	final []*job
	// drops are rows of which no entry is needed any more.
	drops []*page
	// serial numbers the rows of this epoch.
	serial int
	// places is set when executors of jobs have to be stored before tasks start there.
	places bool
	ends   bool
	endsAt time.Time
	swept  time.Time
}

func (k *keeping) prepare() {
	k.dirty = make(map[string]*job)
}

func (k *keeping) add(j *job) { k.fresh = append(k.fresh, j) }

func (k *keeping) changed(j *job) { k.dirty[j.ID] = j }

func (k *keeping) finished(j *job) {
	k.final = append(k.final, j)
}

// Batch is one commit and what follows from it.
type Batch struct {
	Puts    []table.Put
	Deletes []string

	created []*job
	dirty   []*job
	final   []*job
	states  []flow.State
	// pages are the rows that the batch writes, dropped those that it deletes.
	pages   []*page
	dropped []*page
	// bytes is the size of the entries.
	bytes int
	// forget are, by executor, the ends that it may forget afterwards, of the life in lives.
	forget map[string]int64
	lives  map[string]int64
	// places are the executors of jobs that are stored with the batch.
	places []places
}

// Ended returns the jobs whose final state is stored with the batch.
func (b *Batch) Ended() []string {
	ids := make([]string, 0, len(b.final))
	for _, j := range b.final {
		ids = append(ids, j.ID)
	}
	return ids
}

// places are executors on which tasks of a job may be started once they are stored.
type places struct {
	job       *job
	executors []string
}

// CommitDue reports whether something waits for a commit: callers at once, ends after a while.
func (c *Core) CommitDue(now time.Time) bool {
	k := &c.keep
	if len(k.fresh) > 0 || len(k.final) > 0 || k.places {
		return true
	}
	if !k.ends && len(k.dirty) == 0 && len(k.drops) == 0 {
		return false
	}
	if k.endsAt.IsZero() {
		k.endsAt = now
	}
	return now.Sub(k.endsAt) >= endsDelay
}

// NextBatch returns what to commit now. Jobs that do not fit wait for the next one; then no
// executor may forget its ends yet.
func (c *Core) NextBatch() (*Batch, error) {
	b := &Batch{}
	specs := &pager{core: c, batch: b, prefix: ledger.JobPrefix}
	ends := &pager{core: c, batch: b, prefix: ledger.EndPrefix}
	progress := &pager{core: c, batch: b, prefix: ledger.ProgressPrefix}
	for _, add := range []func() error{
		func() error { return c.addFresh(b, specs) },
		func() error { return c.addFinal(b, ends) },
		func() error { return c.addDirty(b, progress) },
		specs.flush, progress.flush, ends.flush,
	} {
		if err := add(); err != nil {
			return nil, err
		}
	}
	c.addDrops(b)
	if k := &c.keep; len(k.dirty) == 0 && len(k.final) == 0 {
		k.ends = false
		k.endsAt = time.Time{}
		c.addForget(b)
	}
	return b, nil
}

// addFresh adds the jobs that were handed in.
func (c *Core) addFresh(b *Batch, to *pager) error {
	k := &c.keep
	for len(k.fresh) > 0 && b.bytes < ledger.MaxCommitBytes {
		j := k.fresh[0]
		if err := to.add(j, &wire.PageEntry{Job: j.ID, Spec: j.Spec.Record()}); err != nil {
			return err
		}
		b.created = append(b.created, j)
		j.storing = true
		k.fresh = k.fresh[1:]
	}
	return nil
}

// addFinal adds the jobs that have ended, except those that are not part of a commit yet.
func (c *Core) addFinal(b *Batch, to *pager) error {
	k := &c.keep
	for len(k.final) > 0 && b.bytes < ledger.MaxCommitBytes {
		j := k.final[0]
		if slices.Contains(k.fresh, j) {
			return nil
		}
		if err := to.add(j, &wire.PageEntry{Job: j.ID, Progress: j.Progress()}); err != nil {
			return err
		}
		b.final = append(b.final, j)
		b.states = append(b.states, j.State)
		delete(k.dirty, j.ID)
		k.final = k.final[1:]
	}
	return nil
}

// addDirty adds the progress of other jobs; the text of a job is stored before its progress.
func (c *Core) addDirty(b *Batch, to *pager) error {
	k := &c.keep
	k.places = false
	for _, id := range slices.Sorted(maps.Keys(k.dirty)) {
		j := k.dirty[id]
		if !j.storing {
			continue
		}
		if b.bytes >= ledger.MaxCommitBytes {
			k.places = true
			return nil
		}
		if err := to.add(j, &wire.PageEntry{Job: j.ID, Progress: j.Progress()}); err != nil {
			return err
		}
		b.dirty = append(b.dirty, j)
		b.addPlaces(j)
		delete(k.dirty, id)
	}
	return nil
}

// addDrops adds rows that are not needed, as far as there is room.
func (c *Core) addDrops(b *Batch) {
	k := &c.keep
	for len(k.drops) > 0 && b.rows() < ledger.MaxCommitRows {
		b.Deletes = append(b.Deletes, k.drops[0].key)
		b.dropped = append(b.dropped, k.drops[0])
		k.drops = k.drops[1:]
	}
}

// addForget notes the ends that executors may forget once the batch is stored.
func (c *Core) addForget(b *Batch) {
	b.forget = make(map[string]int64)
	b.lives = make(map[string]int64)
	for id, ex := range c.execs {
		b.forget[id] = ex.applied
		b.lives[id] = ex.life
	}
}

func (b *Batch) rows() int {
	return len(b.Puts) + len(b.Deletes)
}

// addPlaces notes the executors of the job that are stored with the batch.
func (b *Batch) addPlaces(j *job) {
	p := places{job: j}
	for _, id := range j.Executors() {
		if !j.stored[id] {
			p.executors = append(p.executors, id)
		}
	}
	if len(p.executors) > 0 {
		b.places = append(b.places, p)
	}
}

// Refused takes a batch back of which nothing was stored: its new jobs are rejected, the rest is
// committed again.
func (c *Core) Refused(now time.Time, b *Batch) {
	if !c.refuses {
		c.Log.WithField("silent_ms", now.Sub(c.proven).Milliseconds()).WithField("accepts", len(b.created)).
			Warn("store refuses commits: new jobs are rejected")
	}
	c.refuses = true
	k := &c.keep
	for _, j := range b.dirty {
		if !j.State.Final() {
			k.changed(j)
		}
	}
	k.final = append(slices.Clone(b.final), k.final...)
	for _, j := range b.created {
		c.reject(now, j)
	}
	k.drops = append(k.drops, b.dropped...)
	k.places = k.places || len(b.places) > 0
	k.ends = k.ends || b.forget != nil
}

// Committed does what had to wait for the commit.
func (c *Core) Committed(now time.Time, b *Batch) {
	if c.refuses {
		c.refuses = false
		c.Log.Info("store takes commits again")
	}
	for _, p := range b.pages {
		c.settle(p)
	}
	for _, p := range b.dropped {
		for _, j := range p.jobs {
			j.pages--
		}
	}
	for _, p := range b.places {
		for _, id := range p.executors {
			p.job.stored[id] = true
		}
		for _, w := range p.job.works {
			w.untried = true
		}
	}
	for _, j := range b.created {
		j.accepted = true
		c.Count.Accepted++
		c.Log.WithField("job", j.ID).WithField("queue", j.Spec.Queue).WithField("steps", len(j.Spec.Steps)).
			WithField("waited_ms", now.Sub(j.Spec.Accepted).Milliseconds()).Info("job accepted")
		j.submits = answer(j.submits)
	}
	for i, j := range b.final {
		j.accepted = true
		j.shown = b.states[i]
		c.leave(j.specPage)
		j.specPage = nil
		c.Log.WithField("job", j.ID).WithField("state", j.shown.String()).
			WithField("took_ms", now.Sub(j.Spec.Accepted).Milliseconds()).
			WithField("late_ms", now.Sub(j.objective).Milliseconds()).
			WithField("last_start_ms", j.sinceAccepted(j.lastStart)).WithField("runs", j.started).
			WithField("failed_runs", j.failed).WithField("lost_runs", j.lost).Info("job ended")
		j.submits = answer(j.submits)
		j.cancels = answer(j.cancels)
	}
	for id, seq := range b.forget {
		if ex := c.execs[id]; ex != nil && ex.life == b.lives[id] {
			ex.forget = max(ex.forget, seq)
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
func answer(replies []func(Reply)) []func(Reply) {
	for _, reply := range replies {
		reply(Reply{Outcome: Accepted})
	}
	return nil
}

// expire forgets jobs that ended long ago. A final state stays as long as another row has an entry
// of the job, which would count again without it.
func (k *keeping) expire(c *Core, now time.Time) {
	if now.Sub(k.swept) < expireInterval {
		return
	}
	k.swept = now
	for id, j := range c.jobs {
		if j.shown.Final() && len(j.runs) == 0 && now.Sub(j.Ended) > keepEnded && j.pages <= 1 {
			delete(c.jobs, id)
			c.leave(j.progressPage)
		}
	}
}
