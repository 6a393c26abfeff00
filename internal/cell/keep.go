package cell

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

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

	// expirePerSweep bounds the rows dropped by one sweep.
	expirePerSweep = 50
)

// keeping is what has to be stored.
type keeping struct {
	fresh   []*job
	dirty   map[string]*job
	final   []*job
	drops   []string
	fleet   bool
	newUsed map[string]bool
	ends    bool
	endsAt  time.Time
	swept   time.Time
}

func (k *keeping) prepare() {
	k.dirty = make(map[string]*job)
	k.newUsed = make(map[string]bool)
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
	forget  map[string]int64
	lives   map[string]int64
	fleet   []string
}

// CommitDue reports whether something waits for a commit: callers at once, ends after a while.
func (c *Core) CommitDue(now time.Time) bool {
	k := &c.keep
	if len(k.fresh) > 0 || len(k.final) > 0 || k.fleet {
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
	k := &c.keep
	b := &Batch{}
	if err := c.putFleet(b); err != nil {
		return nil, err
	}
	for len(k.fresh) > 0 && len(b.Puts) < ledger.MaxRows/2 && b.bytes() < ledger.MaxBytes {
		j := k.fresh[0]
		value, err := proto.Marshal(j.Spec.Record())
		if err != nil {
			return nil, err
		}
		b.Puts = append(b.Puts, table.Put{Key: ledger.JobPrefix + j.ID, Value: value})
		b.created = append(b.created, j)
		k.fresh = k.fresh[1:]
	}
	for len(k.final) > 0 && b.rows() < ledger.MaxRows-1 && b.bytes() < ledger.MaxBytes {
		j := k.final[0]
		if slices.Contains(k.fresh, j) {
			break
		}
		if err := c.putProgress(b, j); err != nil {
			return nil, err
		}
		b.Deletes = append(b.Deletes, ledger.JobPrefix+j.ID)
		b.final = append(b.final, j)
		b.states = append(b.states, j.State)
		delete(k.dirty, j.ID)
		k.final = k.final[1:]
	}
	b.Puts = slices.DeleteFunc(b.Puts, func(p table.Put) bool { return slices.Contains(b.Deletes, p.Key) })
	for id, j := range k.dirty {
		if b.rows() >= ledger.MaxRows || b.bytes() >= ledger.MaxBytes {
			break
		}
		if err := c.putProgress(b, j); err != nil {
			return nil, err
		}
		b.dirty = append(b.dirty, j)
		delete(k.dirty, id)
	}
	for len(k.drops) > 0 && b.rows() < ledger.MaxRows {
		b.Deletes = append(b.Deletes, ledger.ProgressPrefix+k.drops[0])
		k.drops = k.drops[1:]
	}
	if len(k.dirty) == 0 && len(k.final) == 0 {
		k.ends = false
		k.endsAt = time.Time{}
		b.forget = make(map[string]int64)
		b.lives = make(map[string]int64)
		for id, ex := range c.execs {
			b.forget[id] = ex.applied
			b.lives[id] = ex.life
		}
	}
	return b, nil
}

func (b *Batch) rows() int {
	return len(b.Puts) + len(b.Deletes)
}

func (b *Batch) bytes() int {
	n := 0
	for _, p := range b.Puts {
		n += len(p.Value)
	}
	return n
}

func (c *Core) putProgress(b *Batch, j *job) error {
	value, err := j.Progress()
	if err != nil {
		return err
	}
	b.Puts = append(b.Puts, table.Put{Key: ledger.ProgressPrefix + j.ID, Value: value})
	return nil
}

// putFleet writes the executors that may hold tasks from this commit on.
func (c *Core) putFleet(b *Batch) error {
	if !c.keep.fleet {
		return nil
	}
	c.keep.fleet = false
	ids := make(map[string]bool)
	for id := range c.used {
		ids[id] = true
	}
	for id := range c.earlier {
		ids[id] = true
	}
	r := &wire.FleetRecord{}
	for id := range ids {
		r.Executors = append(r.Executors, id)
	}
	slices.Sort(r.Executors)
	value, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	b.Puts = append(b.Puts, table.Put{Key: ledger.FleetKey, Value: value})
	for id := range c.keep.newUsed {
		b.fleet = append(b.fleet, id)
	}
	clear(c.keep.newUsed)
	return nil
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
	for _, key := range b.Deletes {
		if id, ok := strings.CutPrefix(key, ledger.ProgressPrefix); ok {
			k.drops = append(k.drops, id)
		}
	}
	for _, id := range b.fleet {
		k.newUsed[id] = true
	}
	k.fleet = k.fleet || b.putsFleet()
	k.ends = k.ends || b.forget != nil
}

func (b *Batch) putsFleet() bool {
	return slices.ContainsFunc(b.Puts, func(p table.Put) bool { return p.Key == ledger.FleetKey })
}

// Committed does what had to wait for the commit.
func (c *Core) Committed(now time.Time, b *Batch) {
	c.commitTook = now.Sub(c.proven)
	if c.refuses {
		c.refuses = false
		c.Log.Info("store takes commits again")
	}
	for _, id := range b.fleet {
		if ex := c.execs[id]; ex != nil {
			ex.stored = true
			c.cordon(ex)
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

// expire drops jobs that ended long ago.
func (k *keeping) expire(c *Core, now time.Time) {
	if now.Sub(k.swept) < expireInterval || len(k.drops) > 0 {
		return
	}
	k.swept = now
	for id, j := range c.jobs {
		if j.shown.Final() && len(j.runs) == 0 && now.Sub(j.Ended) > keepEnded {
			delete(c.jobs, id)
			k.drops = append(k.drops, id)
			if len(k.drops) >= expirePerSweep {
				return
			}
		}
	}
}
