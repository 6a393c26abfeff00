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
	eventQueueSize = 1024

	// tickInterval is the fallback for what no event brings about.
	tickInterval = 25 * time.Millisecond

	// orderTimeout is how long the first copy of an order waits for its answer, which takes a
	// few milliseconds; each later copy waits twice as long, up to maxOrderTimeout.
	commandTimeout    = 150 * time.Millisecond
	maxCommandTimeout = 1200 * time.Millisecond

	// lanes bounds the orders in progress at one executor, each on a connection of its own.
	maxInFlight = 2

	// relistPause is the pause before the instance list is read again after an error.
	relistDelay = 200 * time.Millisecond

	// watchPause groups changes of the instance list: executors write their entries every 1.5 s, and
	// those that leave say so seconds before.
	watchInterval = 200 * time.Millisecond

	// storedWait bounds the wait for a commit before an executor is looked at again.
	maxCommitWait = 100 * time.Millisecond

	// slowCommit is what is told of in the log; a commit usually takes 12 ms.
	slowCommitThreshold = 150 * time.Millisecond

	// adviserPause keeps calls away from an adviser that failed.
	adviserBackoff = 500 * time.Millisecond

	// adviceGrace is how long a call of the policy service may take beyond its usual time.
	adviceTimeoutMargin = 400 * time.Millisecond
)

var commitSeconds = metrics.NewHistogram("commit_seconds")

// Change is one change of the instance list.
type Change struct {
	Executor fleet.Executor
	Removed  bool
}

// Driver runs one term of ownership. Set the exported fields before Run.
type Driver struct {
	Ledger *ledger.Ledger
	Log    log.Interface
	Lease  time.Duration

	Start    func(ctx context.Context, e fleet.Executor, o fleet.Start) fleet.Answer
	Stop     func(ctx context.Context, e fleet.Executor, o fleet.Stop) fleet.Answer
	Throttle func(ctx context.Context, e fleet.Executor, o fleet.Pace) fleet.Answer
	Poll     func(ctx context.Context, e fleet.Executor, o fleet.Look) fleet.Answer

	// List reads the instance list and its version; Watch waits for changes after a version.
	List  func(ctx context.Context) ([]fleet.Executor, int64, error)
	Watch func(ctx context.Context, after int64) ([]Change, int64, error)

	// Policy returns the newest configuration.
	Policy func() *fleet.Policy

	// Advisers returns who can call the policy service; RequestAdvice makes a call through one of them.
	Advisers      func() []string
	RequestAdvice func(ctx context.Context, adviser string, req *AdviceRequest) ([]fleet.Ticket, time.Duration, error)

	// OnTakeover is called when the row of the owner is this instance's; nil means nothing.
	OnTakeover func(epoch int64)

	core       *Core
	events     chan func(now time.Time)
	done       chan struct{}
	committing bool
	// stored is closed and replaced with each commit.
	committed          chan struct{}
	renewedAt          time.Time
	slowCommitLoggedAt time.Time
	dispatchQueues     map[string]*dispatchQueue
	polling            map[string]bool
	// lookingTwice are the executors with a second look in progress.
	pollingTwice        map[string]bool
	adviserBusy         map[string]bool
	adviserBackoffUntil map[string]time.Time
	slowRequests        int
	policy              *fleet.Policy
	wg                  sync.WaitGroup
	restored            chan struct{}

	storeReachable  atomic.Bool
	overloaded      atomic.Bool
	lastPendingJobs atomic.Pointer[map[string]int64]
}

// lane is the queue of orders for one executor.
type dispatchQueue struct {
	waiting  []Command
	inFlight int
}

// Init makes the driver ready to take calls, which wait until the term has begun.
func (d *Driver) Init() {
	d.events = make(chan func(time.Time), eventQueueSize)
	d.done = make(chan struct{})
	d.restored = make(chan struct{})
	d.committed = make(chan struct{})
	d.dispatchQueues = make(map[string]*dispatchQueue)
	d.polling = make(map[string]bool)
	d.pollingTwice = make(map[string]bool)
	d.adviserBusy = make(map[string]bool)
	d.adviserBackoffUntil = make(map[string]time.Time)
}

// Run takes the cell over from the owner that was read and serves it until another instance
// owns it or ctx ends. It returns ledger.ErrDeposed in the first case.
func (d *Driver) Run(ctx context.Context, from *ledger.Owner) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.wg.Wait()
	defer cancel()
	defer close(d.done)
	if err := d.takeOver(ctx, from); err != nil {
		return err
	}
	d.spawn(func() { d.watch(ctx) })
	return d.loop(ctx)
}

// begin takes the cell over and reads what earlier owners have left.
func (d *Driver) takeOver(ctx context.Context, from *ledger.Owner) error {
	sent := d.Ledger.Now()
	epoch, err := d.Ledger.Take(ctx, from)
	if err != nil {
		return err
	}
	if d.OnTakeover != nil {
		d.OnTakeover(epoch)
	}
	now := d.Ledger.Now()
	d.core = &Core{Epoch: epoch, Lease: d.Lease, TakeoverAt: now, Log: d.Log}
	d.policy = d.Policy()
	d.core.Init(d.policy, sent)
	d.renewedAt = now
	var rows [3][]table.Row
	var errs [3]error
	var wg sync.WaitGroup
	for i, prefix := range []string{ledger.JobPrefix, ledger.ProgressPrefix, ledger.EndPrefix} {
		wg.Go(func() { rows[i], errs[i] = d.Ledger.All(ctx, prefix) })
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
		WithField("unclaimed_executors", len(d.core.blocked)).
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
	case d.events <- f:
		return true
	case <-d.done:
		return false
	}
}

func (d *Driver) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	close(d.restored)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-d.events:
			f(d.Ledger.Now())
			d.drainEvents()
		case <-ticker.C:
			d.core.Tick(d.Ledger.Now())
			d.publishStats(d.Ledger.Now())
		}
		if d.core.LostOwnership {
			return ledger.ErrDeposed
		}
		d.applyDecisions(ctx)
	}
}

// drain handles the events that are there, so that one decision answers all of them.
func (d *Driver) drainEvents() {
	for range eventQueueSize {
		select {
		case f := <-d.events:
			f(d.Ledger.Now())
		default:
			return
		}
	}
}

// act does what the core wants done.
func (d *Driver) applyDecisions(ctx context.Context) {
	now := d.Ledger.Now()
	if p := d.Policy(); p != d.policy {
		d.policy = p
		d.core.SetPolicy(p)
	}
	d.core.Schedule(now)
	for _, cmd := range d.core.TakeCommands() {
		d.queueCommand(ctx, cmd)
	}
	d.startAdviceRequests(ctx, now)
	d.commit(ctx, now)
	for _, id := range d.core.ExecutorIDs() {
		if !d.polling[id] {
			d.polling[id] = true
			go d.pollExecutor(ctx, id, false)
		}
		if !d.pollingTwice[id] && d.core.NeedsSecondPoll(id) {
			d.pollingTwice[id] = true
			go d.pollExecutor(ctx, id, true)
		}
	}
}

// ask makes the calls of the policy service that are needed most.
func (d *Driver) startAdviceRequests(ctx context.Context, now time.Time) {
	advisers := d.Advisers()
	maxSlow := max(1, len(advisers)-max(1, len(advisers)/4))
	for _, adviser := range advisers {
		if d.adviserBusy[adviser] || now.Before(d.adviserBackoffUntil[adviser]) {
			continue
		}
		req := d.core.NextAdviceRequest(now, d.slowRequests >= maxSlow)
		if req == nil {
			return
		}
		d.adviserBusy[adviser] = true
		if req.Slow {
			d.slowRequests++
		}
		go d.callAdviser(ctx, adviser, req)
	}
}

func (d *Driver) callAdviser(ctx context.Context, adviser string, req *AdviceRequest) {
	ctx, cancel := context.WithTimeout(ctx, req.expectedDuration()+adviceTimeoutMargin)
	defer cancel()
	tickets, validity, err := d.RequestAdvice(ctx, adviser, req)
	d.post(func(now time.Time) {
		delete(d.adviserBusy, adviser)
		if req.Slow {
			d.slowRequests--
		}
		if err != nil {
			d.adviserBackoffUntil[adviser] = now.Add(adviserBackoff)
			d.Log.WithField("job", req.Step.Job).WithField("step", req.Step.Step).WithField("adviser", adviser).
				WithError(err).Warn("advice not answered")
		}
		d.core.ApplyAdvice(now, req, tickets, validity, err == nil)
	})
}

// usual returns how long the call takes at the policy service.
func (req *AdviceRequest) expectedDuration() time.Duration {
	a := req.state.queue.Advice
	if a == nil {
		return 0
	}
	return a.Decide + a.PerExecutor*time.Duration(len(req.Executors))
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
			d.observeCommit(now.Sub(d.renewedAt), b)
			if err != nil {
				d.handleCommitError(now, b, err)
				return
			}
			d.core.ConfirmOwnership(sent)
			d.core.BatchCommitted(now, b)
			close(d.committed)
			d.committed = make(chan struct{})
		})
	})
}

// noteCommit tells of commits that take long, at most once a second.
func (d *Driver) observeCommit(took time.Duration, b *Batch) {
	commitSeconds.Update(took.Seconds())
	now := d.Ledger.Now()
	if took < slowCommitThreshold || now.Sub(d.slowCommitLoggedAt) < time.Second {
		return
	}
	d.slowCommitLoggedAt = now
	d.Log.WithField("took_ms", took.Milliseconds()).WithField("rows", b.rows()).WithField("accepts", len(b.created)).
		WithField("finals", len(b.final)).Warn("commit took long")
}

func (d *Driver) handleCommitError(now time.Time, b *Batch, err error) {
	if errors.Is(err, ledger.ErrRefused) {
		d.core.BatchRefused(now, b)
		return
	}
	if errors.Is(err, ledger.ErrDeposed) {
		d.Log.WithError(err).Warn("commit rejected: another instance owns the cell")
		d.core.LostOwnership = true
		return
	}
	d.Log.WithError(err).Warn("commit given up")
}

// Done is closed when the term has ended.
func (d *Driver) Done() <-chan struct{} {
	return d.done
}

// StoreReachable reports whether the store has answered this owner lately.
func (d *Driver) StoreReachable() bool {
	return d.storeReachable.Load()
}

// LastPendingJobs returns the number of jobs of each queue that have not begun, as of the last tick.
func (d *Driver) LastPendingJobs() map[string]int64 {
	if m := d.lastPendingJobs.Load(); m != nil {
		return *m
	}
	return nil
}

// publish makes figures available to other goroutines.
func (d *Driver) publishStats(now time.Time) {
	d.storeReachable.Store(!d.core.StoreUnavailable(now))
	d.overloaded.Store(d.core.Overloaded(now))
	m := d.core.PendingJobs()
	d.lastPendingJobs.Store(&m)
}
