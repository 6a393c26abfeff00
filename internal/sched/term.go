package sched

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/health"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/usage"
)

const (
	tickInterval = 100 * time.Millisecond

	// instanceListInterval is the interval between updates from the platform's instance list, which
	// an instance reads once a second.
	instanceListInterval = 500 * time.Millisecond

	// maxCallResults limits the call results that wait for the owner goroutine. Each worker has at
	// most one call in flight.
	maxCallResults = 4096

	// handoverTimeout limits the wait for the save in flight when the term ends.
	handoverTimeout = 2 * time.Second

	// loadRetryDelay is the delay after a failed attempt to read the stored state.
	loadRetryDelay = 200 * time.Millisecond
)

// term is one ownership of the failure domain, with an epoch of its own. Only the owner goroutine
// may access its mutable fields.
type term struct {
	owner     *Owner
	lease     lease.Lease
	cancel    context.CancelFunc
	startedAt time.Time

	jobs      map[string]*job
	tasks     map[string]*task
	uncertain map[*task]struct{}
	workers   map[string]*worker

	queue        queue.Queue
	cell         place.Cell
	book         usage.Estimator
	health       health.Tracker
	restartGuard lease.RestartGuard

	loaded    bool
	recovered bool
	attempts  int64

	dirty        map[*job]struct{}
	deletes      map[string]struct{}
	fleetDirty   bool
	inFlightSave *saveBatch
	nextSave     time.Time

	delayed          map[*task]struct{}
	delayedGangs     map[*job]struct{}
	resumeSuspended  bool
	nextResume       time.Time
	nextReconcile    time.Time
	nextUsageSave    time.Time
	configRevision   int64
	nextInstanceList time.Time
	listApplied      bool

	operations     chan operation
	results        chan callResult
	saveRequests   chan saveRequest
	saveResults    chan saveResult
	loadResults    chan loadResult
	usageSnapshots chan []byte
	done           chan struct{}
}

func newTerm(o *Owner, l lease.Lease, cancel context.CancelFunc) *term {
	t := &term{
		owner:          o,
		lease:          l,
		cancel:         cancel,
		startedAt:      o.Now(),
		jobs:           make(map[string]*job),
		tasks:          make(map[string]*task),
		uncertain:      make(map[*task]struct{}),
		workers:        make(map[string]*worker),
		dirty:          make(map[*job]struct{}),
		deletes:        make(map[string]struct{}),
		delayed:        make(map[*task]struct{}),
		delayedGangs:   make(map[*job]struct{}),
		operations:     make(chan operation, maxOperations),
		results:        make(chan callResult, maxCallResults),
		saveRequests:   make(chan saveRequest, 1),
		saveResults:    make(chan saveResult, 1),
		loadResults:    make(chan loadResult, 1),
		usageSnapshots: make(chan []byte, 1),
		done:           make(chan struct{}),
		configRevision: -1,
	}
	t.restartGuard.StartEpoch(t.startedAt, nil)
	// Tasks may use any idle capacity of their worker. They are stopped only when the worker as a
	// whole is overloaded.
	t.cell.BurstToCapacity = true
	t.queue.Limits = taskQueueLimits(o.Config.Current(), 0)
	o.counters.Terms.Add(1)
	return t
}

func (t *term) run(ctx context.Context) {
	defer close(t.done)
	group := newGoroutineGroup(ctx)
	defer group.stop()
	group.start(t.runSaver)
	group.start(t.runLoader)
	group.start(t.runUsageWriter)

	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			t.handOver()
			return
		case l := <-t.loadResults:
			t.applyLoadResult(l)
		case r := <-t.results:
			t.handleResult(r)
		case op := <-t.operations:
			t.handleOperation(op)
		case s := <-t.saveResults:
			t.handleSaveResult(s)
		case <-tick.C:
			t.tick(group)
		}
		t.schedule()
		t.startSave()
		t.sendCalls()
	}
}

func (t *term) now() time.Time {
	return t.owner.Now()
}

func (t *term) nowMS() int64 {
	return t.now().UnixMilli()
}

func (t *term) emit(e event.Event) {
	t.owner.RecordEvent(e)
}

// tick handles everything that depends on the time: timeouts, delays and periodic work.
func (t *term) tick(g *goroutineGroup) {
	now := t.now()
	if t.loaded && !now.Before(t.nextInstanceList) {
		t.nextInstanceList = now.Add(instanceListInterval)
		t.applyInstanceList()
	}
	t.startWorkers(g)
	t.resolveUncertain(now)
	t.requeueDelayed(now)
	t.checkUnreachable(now)
	if t.loaded && t.owner.Config.Current().Revision != t.configRevision {
		t.reconcileConfig()
	}
	if !now.Before(t.nextReconcile) {
		t.nextReconcile = now.Add(reconcileInterval)
		if t.loaded {
			t.reconcileConfig()
		}
		t.relieveOverload(now)
		t.deleteExpiredJobs(now)
		t.saveUsage(now)
		t.publishStatus()
	}
}

// handOver waits for the save in flight, so that the next owner starts from its outcome, and
// replies to the remaining operations.
func (t *term) handOver() {
	if t.inFlightSave != nil {
		select {
		case s := <-t.saveResults:
			t.handleSaveResult(s)
		case <-time.After(handoverTimeout):
		}
	}
	for _, jb := range t.jobs {
		t.replyToWaiters(jb, Reply{Outcome: ReplyUnknown, Reason: "the owner of the failure domain changed"})
	}
	for {
		select {
		case op := <-t.operations:
			op.reply <- Reply{Outcome: ReplyRefused, Reason: "the owner of the failure domain changed"}
		default:
			return
		}
	}
}

func (t *term) replyToWaiters(jb *job, r Reply) {
	for _, waiter := range jb.waiters {
		waiter <- r
	}
	jb.waiters = nil
}
