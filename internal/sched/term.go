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

	// listInterval is how often the platform's list, which an instance reads once
	// a second, is gone through.
	listInterval = 500 * time.Millisecond

	// maxResults bounds the workers' answers that wait for the owner goroutine;
	// each worker has at most one call in progress.
	maxResults = 4096

	// handoverLimit bounds the last save when the term ends.
	handoverLimit = 2 * time.Second

	// loadRetry is the pause between readings of the table that failed.
	loadRetry = 200 * time.Millisecond
)

// term is the owner duty during one epoch; only its goroutine touches the fields.
type term struct {
	owner  *Owner
	lease  lease.Lease
	cancel context.CancelFunc
	began  time.Time

	jobs      map[string]*job
	tasks     map[string]*task
	uncertain map[*task]struct{}
	workers   map[string]*worker

	queue  queue.Queue
	cell   place.Cell
	book   usage.Book
	health health.Tracker
	reach  lease.RestartGuard

	loaded    bool
	recovered bool
	attempts  int64

	dirty      map[*job]struct{}
	deletes    map[string]struct{}
	fleetDirty bool
	saving     *batch
	saveAfter  time.Time

	delayed      map[*task]struct{}
	delayedGangs map[*job]struct{}
	wake         bool
	nextWake     time.Time
	nextSlow     time.Time
	nextUsage    time.Time
	revision     int64
	nextList     time.Time
	listApplied  bool

	operations chan operation
	results    chan result
	saves      chan saveRequest
	saved      chan saveResult
	loads      chan loadResult
	objects    chan []byte
	ended      chan struct{}
}

func newTerm(o *Owner, l lease.Lease, cancel context.CancelFunc) *term {
	t := &term{
		owner:        o,
		lease:        l,
		cancel:       cancel,
		began:        o.Now(),
		jobs:         make(map[string]*job),
		tasks:        make(map[string]*task),
		uncertain:    make(map[*task]struct{}),
		workers:      make(map[string]*worker),
		dirty:        make(map[*job]struct{}),
		deletes:      make(map[string]struct{}),
		delayed:      make(map[*task]struct{}),
		delayedGangs: make(map[*job]struct{}),
		operations:   make(chan operation, maxOperations),
		results:      make(chan result, maxResults),
		saves:        make(chan saveRequest, 1),
		saved:        make(chan saveResult, 1),
		loads:        make(chan loadResult, 1),
		objects:      make(chan []byte, 1),
		ended:        make(chan struct{}),
		revision:     -1,
	}
	t.reach.StartEpoch(t.began, nil)
	// Unused capacity of a worker belongs to whoever uses it; tasks are only
	// stopped when the worker itself is short.
	t.cell.BurstToCapacity = true
	t.queue.Limits = jobLimits(o.Config.Current(), 0)
	o.stats.Terms.Add(1)
	return t
}

func (t *term) run(ctx context.Context) {
	defer close(t.ended)
	duties := newDuties(ctx)
	defer duties.stop()
	duties.start(t.runSaver)
	duties.start(t.runLoader)
	duties.start(t.runObjects)

	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			t.handOver()
			return
		case l := <-t.loads:
			t.load(l)
		case r := <-t.results:
			t.receive(r)
		case op := <-t.operations:
			t.operate(op)
		case s := <-t.saved:
			t.finishSave(s)
		case <-tick.C:
			t.tick(duties)
		}
		t.schedule()
		t.startSave()
		t.send()
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

// tick does what time brings about.
func (t *term) tick(d *duties) {
	now := t.now()
	if t.loaded && !now.Before(t.nextList) {
		t.nextList = now.Add(listInterval)
		t.applyList()
	}
	t.startWorkers(d)
	t.clearUncertain(now)
	t.releaseDelayed(now)
	t.checkLost(now)
	if t.loaded && t.owner.Config.Current().Revision != t.revision {
		t.followConfig()
	}
	if !now.Before(t.nextSlow) {
		t.nextSlow = now.Add(slowInterval)
		if t.loaded {
			t.followConfig()
		}
		t.relieveWorkers(now)
		t.removeOldJobs(now)
		t.saveUsage(now)
		t.publishStatus()
	}
}

// handOver waits for the save in progress, so that the next owner starts from
// its outcome, and answers the operations that are left.
func (t *term) handOver() {
	if t.saving != nil {
		select {
		case s := <-t.saved:
			t.finishSave(s)
		case <-time.After(handoverLimit):
		}
	}
	for _, jb := range t.jobs {
		t.answer(jb, Reply{Outcome: ReplyUnknown, Reason: "the owner of the failure domain changed"})
	}
	for {
		select {
		case op := <-t.operations:
			op.answer <- Reply{Outcome: ReplyRefused, Reason: "the owner of the failure domain changed"}
		default:
			return
		}
	}
}

func (t *term) answer(jb *job, r Reply) {
	for _, a := range jb.answers {
		a <- r
	}
	jb.answers = nil
}
