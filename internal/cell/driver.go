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
	"github.com/daisyrack/daisyrack/internal/pace"
	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// eventQueueSize is the maximum number of events queued for the loop. Senders block when it is
	// full.
	eventQueueSize = 1024

	// maxEventTime is how long queued events are handled before the next scheduling pass and commit.
	maxEventTime = 20 * time.Millisecond

	// tickInterval is the interval of time-based work that no event triggers.
	tickInterval = 25 * time.Millisecond

	// maxInFlight is the maximum number of commands in flight to one executor, each on its own
	// connection.
	maxInFlight = 2

	// relistDelay is the delay before the instance list is read again after an error.
	relistDelay = 200 * time.Millisecond

	// watchInterval groups changes of the instance list: executors renew their entries every 1.5 s,
	// and draining ones announce it seconds before they leave.
	watchInterval = 200 * time.Millisecond

	// maxCommitWait limits the wait for a commit before an executor is polled again.
	maxCommitWait = 100 * time.Millisecond

	// slowCommitThreshold is the duration from which commits are logged; a commit usually takes 12
	// ms.
	slowCommitThreshold = 150 * time.Millisecond

	// waitsInterval is the time over which the waits of goroutines for the processor are averaged.
	waitsInterval = 100 * time.Millisecond

	// slowWait is the wait for the processor, of one goroutine in ten, from which the owner's load is logged.
	slowWait = 10 * time.Millisecond

	// adviserBackoff is the delay before the next call through an adviser that failed.
	adviserBackoff = 500 * time.Millisecond
)

var (
	commitSeconds = metrics.NewHistogram("commit_seconds")
	passSeconds   = metrics.NewHistogram("scheduling_pass_seconds")

	// eventDelaySeconds is the time that events wait for the loop, loopBusyShare the share of time that
	// the loop spends on them, and queuedEvents their number.
	eventDelaySeconds = metrics.NewHistogram("owner_event_delay_seconds")
	loopBusyShare     = metrics.NewGauge("owner_busy_share", nil)
	// processorWaitSeconds is the time that one goroutine in ten waits for the processor or longer.
	processorWaitSeconds = metrics.NewGauge("processor_wait_seconds", nil)
	queuedEvents         = metrics.NewGauge("owner_queued_events", nil)
)

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
	// EntryValidity is the field of Core.
	EntryValidity time.Duration
	// RemoteSlowdown is the field of Core.
	RemoteSlowdown float64
	// CutOff is the field of Core.
	CutOff func() (retryAfter time.Duration, cutOff bool)

	Start    func(ctx context.Context, e fleet.Executor, cmd fleet.Start) fleet.Response
	Stop     func(ctx context.Context, e fleet.Executor, cmd fleet.Stop) fleet.Response
	Throttle func(ctx context.Context, e fleet.Executor, cmd fleet.Throttle) fleet.Response
	Poll     func(ctx context.Context, e fleet.Executor, cmd fleet.Poll) fleet.Response

	// List reads the instance list and its version. Watch waits for entries that are written after a
	// version.
	List  func(ctx context.Context) ([]fleet.Executor, int64, error)
	Watch func(ctx context.Context, after int64) ([]Change, int64, error)

	// Config returns the current configuration.
	Config func() *fleet.Config

	// Advisers returns the instances that can call the policy service. RequestAdvice makes a call
	// through one of them.
	Advisers      func() []string
	RequestAdvice func(ctx context.Context, adviser string, req *AdviceRequest) ([]fleet.Ticket, time.Duration, error)

	// PriorLeases is when the leases have expired of executors that did not respond to the former owner, by the store's
	// clock, if that owner has told.
	PriorLeases map[string]time.Duration

	// FormerFollowers reports whether an instance of a former version may take over. It may be nil.
	FormerFollowers func() bool

	// OnTakeover is called when the owner's row names this instance. It may be nil.
	OnTakeover func(epoch int64)

	core *Core
	// history is that of the ledger after its last commit, and leases what Leases returns.
	history ledger.History
	leases  map[string]time.Duration
	events  chan event
	// commits are the results of commits, without which the ownership is not renewed and no caller gets
	// an answer; ends are responses with ended runs, which later steps wait for. Both are handled before
	// other events, commits first.
	commits, ends chan event
	done          chan struct{}
	// behindLoggedAt is when it was last logged that the loop is behind.
	behindLoggedAt time.Time
	// waits measures how long goroutines wait for the processor; waitTimes was read at waitsReadAt.
	waits       pace.Waits
	waitTimes   pace.WaitTimes
	waitsReadAt time.Time
	// commitCount, commitTime, commitBytes and commitJobs sum up the commits of the term.
	commitCount, commitBytes, commitJobs int
	commitTime                           time.Duration
	committing                           bool
	// committed is closed and replaced after each successful commit.
	committed chan struct{}
	// absent are the requests for unknown jobs that wait for the next commit.
	absent             []absentRequest
	renewedAt          time.Time
	slowCommitLoggedAt time.Time
	dispatchQueues     map[string]*dispatchQueue
	polling            map[string]bool
	// pollingTwice holds the executors with a second poll in flight.
	pollingTwice        map[string]bool
	adviserBusy         map[string]bool
	adviserBackoffUntil map[string]time.Time
	// slowAdviceInFlight is the number of slow advice requests in flight.
	slowAdviceInFlight int
	config             *fleet.Config
	wg                 sync.WaitGroup
	restored           chan struct{}

	storeReachable  atomic.Bool
	confirmedAt     atomic.Pointer[time.Time]
	lastPendingJobs atomic.Pointer[map[string]int64]
}

// event is a call of a function by the loop, requested at the given time.
type event struct {
	requested time.Time
	handle    func(now time.Time)
	// early is set for events that are handled before others, so that their delay says nothing about the
	// lag of the loop.
	early bool
}

// dispatchQueue is the queue of commands to one executor.
type dispatchQueue struct {
	waiting  []Command
	inFlight int
}

// Init prepares the driver to take calls, which wait until the term has begun.
func (d *Driver) Init() {
	d.events = make(chan event, eventQueueSize)
	d.commits = make(chan event, 1)
	d.ends = make(chan event, eventQueueSize)
	d.done = make(chan struct{})
	d.restored = make(chan struct{})
	d.committed = make(chan struct{})
	d.dispatchQueues = make(map[string]*dispatchQueue)
	d.polling = make(map[string]bool)
	d.pollingTwice = make(map[string]bool)
	d.adviserBusy = make(map[string]bool)
	d.adviserBackoffUntil = make(map[string]time.Time)
}

// Run takes over the cell if the owner's row is still as given by previous, and serves it until another
// instance owns it or ctx ends. In the first case it returns ledger.ErrLostOwnership.
func (d *Driver) Run(ctx context.Context, previous *ledger.OwnerRow) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.wg.Wait()
	defer cancel()
	defer close(d.done)
	if err := d.takeOver(ctx, previous); err != nil {
		return err
	}
	d.spawn(func() { d.watch(ctx) })
	err := d.loop(ctx)
	d.leases = d.leasesByStoreClock()
	d.Log.WithField("epoch", d.core.Epoch).WithField("jobs", len(d.core.jobs)).WithField("open_jobs", d.core.openJobs()).
		WithField("unstored_jobs", len(d.core.writes.newJobs)).WithField("committing", d.committing).Info("cell given up")
	return err
}

// takeOver acquires the ownership and restores the state left by earlier owners.
func (d *Driver) takeOver(ctx context.Context, previous *ledger.OwnerRow) error {
	sent := d.Ledger.Now()
	epoch, err := d.Ledger.Acquire(ctx, previous)
	if err != nil {
		return err
	}
	if d.OnTakeover != nil {
		d.OnTakeover(epoch)
	}
	now := d.Ledger.Now()
	d.history = d.Ledger.History()
	d.core = &Core{
		Epoch: epoch, Lease: d.Lease, EntryValidity: d.EntryValidity, TakeoverAt: now, PriorLeases: d.priorLeases(), Log: d.Log,
		RemoteSlowdown: d.RemoteSlowdown, CutOff: d.CutOff,
	}
	d.config = d.Config()
	d.core.Init(d.config, sent)
	d.renewedAt = now
	var rows [4][]table.Row
	var errs [4]error
	var wg sync.WaitGroup
	scanCtx, cancelScans := context.WithCancel(ctx)
	defer cancelScans()
	for i, prefix := range []string{ledger.JobPrefix, ledger.ProgressPrefix, ledger.PlacesPrefix, ledger.EndPrefix} {
		wg.Go(func() { rows[i], errs[i] = d.Ledger.ScanAll(scanCtx, prefix) })
	}
	confirmed, err := d.renewUntilRead(ctx, &wg)
	if err != nil {
		cancelScans()
		wg.Wait()
		return err
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	d.core.ConfirmOwnership(confirmed)
	d.core.Restore(d.Ledger.Now(), Rows{Jobs: rows[0], Progress: rows[1], Places: rows[2], Ends: rows[3]})
	d.Log.WithField("epoch", epoch).WithField("jobs", len(d.core.jobs)).WithField("open_jobs", d.core.openJobs()).
		WithField("rows", len(rows[0])+len(rows[1])+len(rows[2])+len(rows[3])).
		WithField("unclaimed_executors", len(d.core.blocked)).WithField("prior_leases", len(d.core.PriorLeases)).
		WithField("took_ms", d.Ledger.Now().Sub(sent).Milliseconds()).Info("cell taken over")
	return nil
}

// renewUntilRead renews the ownership while the rows are read, which can take longer than the age at
// which another instance takes over. It returns when the last renewal was sent.
func (d *Driver) renewUntilRead(ctx context.Context, reads *sync.WaitGroup) (time.Time, error) {
	done := make(chan struct{})
	go func() {
		reads.Wait()
		close(done)
	}()
	var confirmed time.Time
	ticker := time.NewTicker(ledger.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return confirmed, nil
		case <-ticker.C:
		}
		sent, err := d.Ledger.Commit(ctx, nil, nil)
		switch {
		case err == nil:
			confirmed = sent
		case !errors.Is(err, ledger.ErrRefused):
			return confirmed, err
		}
	}
}

// applyDecisions carries out the decisions of the core: commands, advice requests, commits and
// polls.
func (d *Driver) applyDecisions(ctx context.Context) {
	now := d.Ledger.Now()
	if cfg := d.Config(); cfg != d.config {
		d.config = cfg
		d.core.SetConfig(now, cfg)
	}
	d.core.Schedule(now)
	for _, cmd := range d.core.TakeCommands() {
		d.queueCommand(ctx, cmd)
	}
	d.startAdviceRequests(ctx, now)
	d.commit(ctx, now)
	for _, id := range d.core.TakeNewExecutors() {
		if !d.polling[id] {
			d.polling[id] = true
			go d.pollExecutor(ctx, id, false)
		}
	}
	for _, id := range d.core.TakeSecondPolls() {
		if !d.pollingTwice[id] && d.core.NeedsSecondPoll(id) {
			d.pollingTwice[id] = true
			go d.pollExecutor(ctx, id, true)
		}
	}
}

// startAdviceRequests starts the most urgent calls to the policy service, one per idle adviser.
// Slow calls leave some advisers to the fast ones.
func (d *Driver) startAdviceRequests(ctx context.Context, now time.Time) {
	advisers := d.Advisers()
	maxSlow := max(1, len(advisers)-max(1, len(advisers)/4))
	for _, adviser := range advisers {
		if d.adviserBusy[adviser] || now.Before(d.adviserBackoffUntil[adviser]) {
			continue
		}
		req := d.core.NextAdviceRequest(now, d.slowAdviceInFlight >= maxSlow)
		if req == nil {
			return
		}
		d.adviserBusy[adviser] = true
		if req.Slow {
			d.slowAdviceInFlight++
		}
		go d.callAdviser(ctx, adviser, req, d.core.AdviceTimeout(req))
	}
}

func (d *Driver) callAdviser(ctx context.Context, adviser string, req *AdviceRequest, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tickets, validity, err := d.RequestAdvice(ctx, adviser, req)
	d.post(func(now time.Time) {
		delete(d.adviserBusy, adviser)
		if req.Slow {
			d.slowAdviceInFlight--
		}
		if err != nil {
			d.adviserBackoffUntil[adviser] = now.Add(adviserBackoff)
			d.Log.WithField("job", req.Step.Job).WithField("step", req.Step.Step).WithField("adviser", adviser).
				WithError(err).Warn("advice request failed")
		}
		d.core.ApplyAdvice(now, req, tickets, validity, err == nil)
	})
}

// commit starts a commit if one is due, or if ownership must be renewed, and none is in flight.
func (d *Driver) commit(ctx context.Context, now time.Time) {
	if d.committing {
		return
	}
	if !d.core.CommitDue(now) && now.Sub(d.renewedAt) < ledger.RenewInterval {
		return
	}
	b, err := d.core.NextBatch()
	if err != nil {
		d.Log.WithError(err).Error("commit cannot be encoded")
		return
	}
	d.committing = true
	d.renewedAt = now
	absent := d.absent
	d.absent = nil
	d.spawn(func() {
		sent, err := d.Ledger.Commit(ctx, b.Puts, b.Deletes)
		d.postEarly(d.commits, func(now time.Time) {
			d.committing = false
			d.history = d.Ledger.History()
			d.observeCommit(now.Sub(d.renewedAt), b)
			if errors.Is(err, ledger.ErrInvalid) {
				d.core.ConfirmOwnership(sent)
				d.core.BatchInvalid(now, b)
				finishAbsent(now, absent, nil)
				return
			}
			defer func() { finishAbsent(now, absent, err) }()
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

// observeCommit records the duration of a commit and logs slow ones, at most once a second.
func (d *Driver) observeCommit(took time.Duration, b *Batch) {
	commitSeconds.Update(took.Seconds())
	d.commitCount++
	d.commitTime += took
	d.commitBytes += b.bytes
	d.commitJobs += len(b.created) + len(b.dirty) + len(b.final)
	now := d.Ledger.Now()
	if took < slowCommitThreshold || now.Sub(d.slowCommitLoggedAt) < time.Second {
		return
	}
	d.slowCommitLoggedAt = now
	d.Log.WithField("took_ms", took.Milliseconds()).WithField("rows", b.rows()).WithField("accepts", len(b.created)).
		WithField("finals", len(b.final)).WithField("progress", len(b.dirty)).WithField("bytes", b.bytes).Warn("slow commit")
}

func (d *Driver) handleCommitError(now time.Time, b *Batch, err error) {
	if errors.Is(err, ledger.ErrRefused) {
		d.core.BatchRefused(now, b)
		return
	}
	if errors.Is(err, ledger.ErrLostOwnership) {
		d.Log.WithError(err).Warn("commit rejected: another instance owns the cell")
		d.core.LostOwnership = true
		return
	}
	d.Log.WithError(err).Warn("commit failed")
}

// Done returns a channel that is closed when the term has ended.
func (d *Driver) Done() <-chan struct{} {
	return d.done
}

// StoreReachable reports whether the store responded to this owner recently.
func (d *Driver) StoreReachable() bool {
	return d.storeReachable.Load()
}

// LastPendingJobs returns the number of jobs that have not started, by queue, as of the last tick.
func (d *Driver) LastPendingJobs() map[string]int64 {
	if m := d.lastPendingJobs.Load(); m != nil {
		return *m
	}
	return nil
}

// ConfirmedAt returns when the last commit or read was sent that confirmed the ownership, as of the last tick.
func (d *Driver) ConfirmedAt() time.Time {
	if at := d.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// publishStats makes the state of the core available to other goroutines.
func (d *Driver) publishStats(now time.Time) {
	d.storeReachable.Store(!d.core.StoreUnavailable(now))
	confirmed := d.core.confirmedAt
	d.confirmedAt.Store(&confirmed)
	m := d.core.PendingJobs()
	d.lastPendingJobs.Store(&m)
}
