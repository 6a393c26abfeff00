package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// mailbox bounds the events that wait for the loop; senders wait when it is full.
	mailbox = 1024

	// tickInterval is the fallback for what no event brings about.
	tickInterval = 25 * time.Millisecond

	// orderTimeout is how long the first copy of an order waits for its answer, which takes a
	// few milliseconds; each later copy waits twice as long, up to maxOrderTimeout.
	orderTimeout    = 150 * time.Millisecond
	maxOrderTimeout = 1200 * time.Millisecond

	// lanes bounds the orders in progress at one executor, each on a connection of its own.
	lanes = 2

	// relistPause is the pause before the instance list is read again after an error.
	relistPause = 200 * time.Millisecond

	// watchPause groups changes of the instance list: executors write their entries every 1.5 s, and
	// those that leave say so seconds before.
	watchPause = 200 * time.Millisecond

	// storedWait bounds the wait for a commit before an executor is looked at again.
	storedWait = 100 * time.Millisecond

	// slowCommit is what is told of in the log; a commit usually takes 12 ms.
	slowCommit = 150 * time.Millisecond

	// adviserPause keeps calls away from an adviser that failed.
	adviserPause = 500 * time.Millisecond

	// adviceGrace is how long a call of the policy service may take beyond its usual time.
	adviceGrace = 400 * time.Millisecond
)

var commitSeconds = metrics.NewHistogram("commit_seconds")

// Change is one change of the instance list.
type Change struct {
	Executor fleet.Executor
	Gone     bool
}

// Driver runs one term of ownership. Set the exported fields before Run.
type Driver struct {
	Ledger *ledger.Ledger
	Log    log.Interface
	Lease  time.Duration

	Start func(ctx context.Context, e fleet.Executor, o fleet.Start) fleet.Response
	Stop  func(ctx context.Context, e fleet.Executor, o fleet.Stop) fleet.Response
	Pace  func(ctx context.Context, e fleet.Executor, o fleet.Throttle) fleet.Response
	Look  func(ctx context.Context, e fleet.Executor, o fleet.Poll) fleet.Response

	// List reads the instance list and its version; Watch waits for changes after a version.
	List  func(ctx context.Context) ([]fleet.Executor, int64, error)
	Watch func(ctx context.Context, after int64) ([]Change, int64, error)

	// Policy returns the newest configuration.
	Policy func() *fleet.Config

	// Advisers returns who can call the policy service; Ask makes a call through one of them.
	Advisers func() []string
	Ask      func(ctx context.Context, adviser string, q *Question) ([]fleet.Ticket, time.Duration, error)

	// Taken is called when the row of the owner is this instance's; nil means nothing.
	Taken func(epoch int64)

	core       *Core
	mail       chan func(now time.Time)
	done       chan struct{}
	committing bool
	// stored is closed and replaced with each commit.
	stored    chan struct{}
	renewedAt time.Time
	toldSlow  time.Time
	lanes     map[string]*lane
	looking   map[string]bool
	// lookingTwice are the executors with a second look in progress.
	lookingTwice map[string]bool
	advising     map[string]bool
	restAfter    map[string]time.Time
	longCalls    int
	policy       *fleet.Config
	wg           sync.WaitGroup
	loaded       chan struct{}

	storeNear   atomic.Bool
	busy        atomic.Bool
	lastWaiting atomic.Pointer[map[string]int64]
}

// lane is the queue of orders for one executor.
type lane struct {
	waiting []Order
	busy    int
}

// Prepare makes the driver ready to take calls, which wait until the term has begun.
func (d *Driver) Prepare() {
	d.mail = make(chan func(time.Time), mailbox)
	d.done = make(chan struct{})
	d.loaded = make(chan struct{})
	d.stored = make(chan struct{})
	d.lanes = make(map[string]*lane)
	d.looking = make(map[string]bool)
	d.lookingTwice = make(map[string]bool)
	d.advising = make(map[string]bool)
	d.restAfter = make(map[string]time.Time)
}

// Run takes the cell over from the owner that was read and serves it until another instance
// owns it or ctx ends. It returns ledger.ErrDeposed in the first case.
func (d *Driver) Run(ctx context.Context, from *ledger.OwnerRow) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.wg.Wait()
	defer cancel()
	defer close(d.done)
	if err := d.begin(ctx, from); err != nil {
		return err
	}
	d.spawn(func() { d.watch(ctx) })
	return d.loop(ctx)
}

// begin takes the cell over and reads what earlier owners have left.
func (d *Driver) begin(ctx context.Context, from *ledger.OwnerRow) error {
	sent := d.Ledger.Now()
	epoch, err := d.Ledger.Acquire(ctx, from)
	if err != nil {
		return err
	}
	if d.Taken != nil {
		d.Taken(epoch)
	}
	now := d.Ledger.Now()
	d.core = &Core{Epoch: epoch, Lease: d.Lease, Taken: now, Log: d.Log}
	d.policy = d.Policy()
	d.core.Begin(d.policy, sent)
	d.renewedAt = now
	var rows [3][]table.Row
	var errs [3]error
	var wg sync.WaitGroup
	for i, prefix := range []string{ledger.JobPrefix, ledger.ProgressPrefix, ledger.EndPrefix} {
		wg.Go(func() { rows[i], errs[i] = d.Ledger.ScanAll(ctx, prefix) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	d.core.Restore(d.Ledger.Now(), rows[0], rows[1], rows[2])
	d.Log.WithField("epoch", epoch).WithField("jobs", len(d.core.jobs)).WithField("open_jobs", d.core.openJobs()).
		WithField("rows", len(rows[0])+len(rows[1])+len(rows[2])).
		WithField("unclaimed_executors", len(d.core.locked)).
		WithField("took_ms", d.Ledger.Now().Sub(sent).Milliseconds()).Info("cell taken over")
	return nil
}

// spawn runs what has to be over before the next term, since it uses the ledger.
func (d *Driver) spawn(f func()) {
	d.wg.Go(f)
}

// post hands an event to the loop; false means that the term has ended.
func (d *Driver) post(f func(now time.Time)) bool {
	select {
	case d.mail <- f:
		return true
	case <-d.done:
		return false
	}
}

func (d *Driver) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	close(d.loaded)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-d.mail:
			f(d.Ledger.Now())
			d.drain()
		case <-ticker.C:
			d.core.Tick(d.Ledger.Now())
			d.publish(d.Ledger.Now())
		}
		if d.core.Deposed {
			return ledger.ErrLostOwnership
		}
		d.act(ctx)
	}
}

// drain handles the events that are there, so that one decision answers all of them.
func (d *Driver) drain() {
	for range mailbox {
		select {
		case f := <-d.mail:
			f(d.Ledger.Now())
		default:
			return
		}
	}
}

// act does what the core wants done.
func (d *Driver) act(ctx context.Context) {
	now := d.Ledger.Now()
	if p := d.Policy(); p != d.policy {
		d.policy = p
		d.core.SetPolicy(p)
	}
	d.core.Schedule(now)
	for _, o := range d.core.Orders() {
		d.send(ctx, o)
	}
	d.ask(ctx, now)
	d.commit(ctx, now)
	for _, id := range d.core.Executors() {
		if !d.looking[id] {
			d.looking[id] = true
			go d.lookAt(ctx, id, false)
		}
		if !d.lookingTwice[id] && d.core.LooksTwice(id) {
			d.lookingTwice[id] = true
			go d.lookAt(ctx, id, true)
		}
	}
}

// ask makes the calls of the policy service that are needed most.
func (d *Driver) ask(ctx context.Context, now time.Time) {
	advisers := d.Advisers()
	long := max(1, len(advisers)-max(1, len(advisers)/4))
	for _, adviser := range advisers {
		if d.advising[adviser] || now.Before(d.restAfter[adviser]) {
			continue
		}
		q := d.core.NextQuestion(now, d.longCalls >= long)
		if q == nil {
			return
		}
		d.advising[adviser] = true
		if q.Long {
			d.longCalls++
		}
		go d.askThrough(ctx, adviser, q)
	}
}

func (d *Driver) askThrough(ctx context.Context, adviser string, q *Question) {
	ctx, cancel := context.WithTimeout(ctx, q.usual()+adviceGrace)
	defer cancel()
	tickets, valid, err := d.Ask(ctx, adviser, q)
	d.post(func(now time.Time) {
		delete(d.advising, adviser)
		if q.Long {
			d.longCalls--
		}
		if err != nil {
			d.restAfter[adviser] = now.Add(adviserPause)
			d.Log.WithField("job", q.Step.Job).WithField("step", q.Step.Step).WithField("adviser", adviser).
				WithError(err).Warn("advice not answered")
		}
		d.core.Advised(now, q, tickets, valid, err == nil)
	})
}

// usual returns how long the call takes at the policy service.
func (q *Question) usual() time.Duration {
	a := q.work.queue.Advice
	if a == nil {
		return 0
	}
	return a.BaseLatency + a.LatencyPerExecutor*time.Duration(len(q.Executors))
}

// commit starts a commit when one is due and none is in progress.
func (d *Driver) commit(ctx context.Context, now time.Time) {
	if d.committing {
		return
	}
	if !d.core.CommitDue(now) && now.Sub(d.renewedAt) < ledger.RenewInterval {
		return
	}
	b, err := d.core.NextBatch()
	if err != nil {
		d.Log.WithError(err).Error("commit can not be encoded")
		return
	}
	d.committing = true
	d.renewedAt = now
	d.spawn(func() {
		sent, err := d.Ledger.Commit(ctx, b.Puts, b.Deletes)
		d.post(func(now time.Time) {
			d.committing = false
			d.noteCommit(now.Sub(d.renewedAt), b)
			if err != nil {
				d.commitFailed(now, b, err)
				return
			}
			d.core.Proven(sent)
			d.core.Committed(now, b)
			close(d.stored)
			d.stored = make(chan struct{})
		})
	})
}

// noteCommit tells of commits that take long, at most once a second.
func (d *Driver) noteCommit(took time.Duration, b *Batch) {
	commitSeconds.Update(took.Seconds())
	now := d.Ledger.Now()
	if took < slowCommit || now.Sub(d.toldSlow) < time.Second {
		return
	}
	d.toldSlow = now
	d.Log.WithField("took_ms", took.Milliseconds()).WithField("rows", b.rows()).WithField("accepts", len(b.created)).
		WithField("finals", len(b.final)).Warn("commit took long")
}

func (d *Driver) commitFailed(now time.Time, b *Batch, err error) {
	if errors.Is(err, ledger.ErrRefused) {
		d.core.Refused(now, b)
		return
	}
	if errors.Is(err, ledger.ErrLostOwnership) {
		d.Log.WithError(err).Warn("commit rejected: another instance owns the cell")
		d.core.Deposed = true
		return
	}
	d.Log.WithError(err).Warn("commit given up")
}

// Done is closed when the term has ended.
func (d *Driver) Done() <-chan struct{} {
	return d.done
}

// StoreNear reports whether the store has answered this owner lately.
func (d *Driver) StoreNear() bool {
	return d.storeNear.Load()
}

// LastWaiting returns the number of jobs of each queue that have not begun, as of the last tick.
func (d *Driver) LastWaiting() map[string]int64 {
	if m := d.lastWaiting.Load(); m != nil {
		return *m
	}
	return nil
}

// publish makes figures available to other goroutines.
func (d *Driver) publish(now time.Time) {
	d.storeNear.Store(!d.core.StoreAway(now))
	d.busy.Store(d.core.Busy(now))
	m := d.core.Waiting()
	d.lastWaiting.Store(&m)
}
