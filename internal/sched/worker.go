package sched

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// syncInterval is the interval of syncs that carry no command.
	syncInterval = 2 * time.Second

	// retryInterval is the pause after a call to a worker that failed.
	retryInterval = 500 * time.Millisecond

	// maxMisses is the number of failed calls in a row after which a worker
	// gets no new tasks.
	maxMisses = 2

	// roleWorker is the role of workers in the platform's list.
	roleWorker = "worker"

	stateLive    = "live"
	stateLeaving = "leaving"
	stateGone    = "gone"

	// drainBatch bounds the tasks stopped at once on a leaving worker.
	drainBatch = 4
)

// worker is a worker as seen by the present term.
type worker struct {
	member   fleetMember
	claimed  bool
	recorded bool
	leaving  bool
	gone     bool
	cordoned bool

	capacity place.Resources
	tasks    map[string]*task

	// pending is a clock reading of the worker not yet proven; base is the
	// newest proven one.
	pending   int64
	pendingAt time.Time
	base      int64
	baseAt    time.Time
	hasBase   bool

	out      agent.Sync
	calls    chan call
	inFlight bool
	sequence int64
	nextCall time.Time
	misses   int
	stop     context.CancelFunc
}

// call is one message to a worker.
type call struct {
	claim *agent.Claim
	sync  *agent.Sync
}

// result is a worker's answer on its way to the owner goroutine.
type result struct {
	worker  *worker
	call    call
	claimed agent.Claimed
	synced  agent.Synced
	outcome agent.Outcome
	err     error
}

// applyList takes up the workers of the platform's list.
func (t *term) applyList() {
	list, ok := t.owner.Instances()
	t.listApplied = t.listApplied || ok
	for _, inst := range list.Instances {
		if inst.Role != roleWorker || inst.FailureDomain != t.owner.FailureDomain {
			continue
		}
		m := fleetMember{Name: inst.Name, Address: inst.Address, Rack: inst.Rack, Incarnation: inst.Incarnation}
		t.applyInstance(m, inst.State)
	}
}

// startWorkers starts the duties of workers that have none yet.
func (t *term) startWorkers(d *duties) {
	for _, w := range t.workers {
		if w.stop == nil {
			t.startWorker(d, w)
		}
	}
}

func (t *term) applyInstance(m fleetMember, state string) {
	w, known := t.workers[m.Name]
	if !known {
		if state != stateGone {
			t.addWorker(m, false)
		}
		return
	}
	if m.Incarnation < w.member.Incarnation {
		return // The list lags behind what is known of this instance.
	}
	if m.Incarnation > w.member.Incarnation {
		t.replaceWorker(w, m)
	}
	switch state {
	case stateGone:
		t.workerGone(w)
	case stateLeaving:
		w.leaving = true
	case stateLive:
		w.leaving = false
	}
}

// replaceWorker takes up a new instance of the same name; the old one is gone.
func (t *term) replaceWorker(w *worker, m fleetMember) {
	t.loseTasks(w, "its worker was replaced")
	w.member = m
	w.claimed = false
	w.hasBase = false
	w.pendingAt = time.Time{}
	w.recorded = false
	w.gone = false
	t.fleetDirty = true
}

func (t *term) addWorker(m fleetMember, recorded bool) {
	w := &worker{member: m, recorded: recorded, tasks: make(map[string]*task)}
	t.workers[m.Name] = w
	t.reach.Add(m.Name)
	if !recorded {
		t.fleetDirty = true
	}
}

func (t *term) workerGone(w *worker) {
	if w.gone {
		return
	}
	w.gone = true
	w.claimed = false
	t.reach.Gone(w.member.Name)
	t.emit(event.Event{Kind: event.WorkerGone, Worker: w.member.Name})
	t.loseTasks(w, "its worker is gone")
	t.cell.RemoveWorker(w.member.Name)
	t.fleetDirty = true
	t.wake = true
}

func (t *term) startWorker(d *duties, w *worker) {
	ctx, cancel := context.WithCancel(d.ctx)
	w.stop = cancel
	w.calls = make(chan call, 1)
	address, calls := w.member.Address, w.calls
	d.start(func(context.Context) { t.runWorker(ctx, w, address, calls) })
}

// runWorker carries the calls to one worker.
func (t *term) runWorker(ctx context.Context, w *worker, address string, calls chan call) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-calls:
			r := t.carry(ctx, address, c)
			r.worker = w
			select {
			case t.results <- r:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (t *term) carry(ctx context.Context, address string, c call) result {
	r := result{call: c}
	if c.claim != nil {
		r.claimed, r.outcome, r.err = t.owner.Workers.Claim(ctx, address, *c.claim)
		return r
	}
	r.synced, r.outcome, r.err = t.owner.Workers.Sync(ctx, address, *c.sync)
	return r
}

// send gives every worker its next call when one is due.
func (t *term) send() {
	if !t.loaded {
		return
	}
	now := t.now()
	for _, w := range t.workers {
		if w.inFlight || w.gone || w.calls == nil || now.Before(w.nextCall) && !w.hasCommands() {
			continue
		}
		if w.misses > 0 && now.Before(w.nextCall) {
			continue
		}
		t.sendTo(w)
	}
}

func (w *worker) hasCommands() bool {
	o := &w.out
	return len(o.Starts)+len(o.Stops)+len(o.Checkpoints)+len(o.Throttles)+len(o.Forgets) > 0
}

func (t *term) sendTo(w *worker) {
	w.inFlight = true
	w.sequence++
	if !w.claimed {
		w.calls <- call{claim: &agent.Claim{Owner: t.owner.Name, Epoch: t.lease.Epoch, Sequence: w.sequence}}
		return
	}
	t.prove(w)
	msg := w.out
	msg.Owner = t.owner.Name
	msg.Epoch = t.lease.Epoch
	msg.Sequence = w.sequence
	msg.BaseMS = w.base
	w.out = agent.Sync{}
	if w.hasBase {
		// Noted before sending, since a sync whose answer is lost also renews.
		t.reach.Synced(w.member.Name, w.baseAt)
	}
	w.calls <- call{sync: &msg}
}

// prove makes the pending clock reading the base once a renewal of the lease
// that started after the reading has succeeded.
func (t *term) prove(w *worker) {
	if w.pendingAt.IsZero() {
		return
	}
	proven, ok := t.owner.Proven()
	if !ok || !proven.After(w.pendingAt) {
		return
	}
	w.base = w.pending
	w.baseAt = w.pendingAt
	w.hasBase = true
	w.pendingAt = time.Time{}
}

func (w *worker) readClock(clockMS int64, now time.Time) {
	if !w.pendingAt.IsZero() {
		return
	}
	w.pending = clockMS
	w.pendingAt = now
}

// receive takes up a worker's answer.
func (t *term) receive(r result) {
	w := r.worker
	w.inFlight = false
	now := t.now()
	w.nextCall = now.Add(syncInterval)
	switch r.outcome {
	case agent.Accepted:
		w.misses = 0
		if r.call.claim != nil {
			t.receiveClaim(w, r.claimed, now)
			return
		}
		t.receiveSync(w, r, now)
	case agent.Fenced:
		t.owner.stats.FencedOut.Add(1)
		t.owner.Log.WithField("worker", w.member.Name).WithError(r.err).Warn("worker obeys a newer owner")
		t.cancel()
	case agent.NotClaimed:
		w.claimed = false
		w.nextCall = now
		t.restore(w, r)
	default:
		t.owner.stats.SyncsFailed.Add(1)
		w.misses++
		w.nextCall = now.Add(retryInterval)
		t.restore(w, r)
		if w.misses >= maxMisses {
			t.giveBackStarts(w)
		}
	}
}

// restore puts the commands of a failed call back, so that they go again.
func (t *term) restore(w *worker, r result) {
	c := r.call.sync
	if c == nil {
		return
	}
	o := &w.out
	o.Starts = append(t.stillWanted(w, c.Starts), o.Starts...)
	o.Stops = append(c.Stops, o.Stops...)
	o.Checkpoints = append(c.Checkpoints, o.Checkpoints...)
	o.Throttles = append(c.Throttles, o.Throttles...)
	o.Forgets = append(c.Forgets, o.Forgets...)
	if r.outcome == agent.Unknown {
		for _, s := range o.Starts {
			t.tasks[s.ID].maybeSent = true
		}
	}
}

// stillWanted leaves out the starts of tasks that have been taken away from
// the worker since.
func (t *term) stillWanted(w *worker, starts []agent.Start) []agent.Start {
	var kept []agent.Start
	for _, s := range starts {
		tk := t.tasks[s.ID]
		if tk != nil && tk.worker == w && tk.attempt == s.Attempt && tk.state == taskStarting {
			kept = append(kept, s)
		}
	}
	return kept
}

// giveBackStarts returns starts that surely were never sent to the queue.
func (t *term) giveBackStarts(w *worker) {
	starts := w.out.Starts
	w.out.Starts = nil
	for _, s := range starts {
		tk := t.tasks[s.ID]
		if tk.maybeSent {
			w.out.Starts = append(w.out.Starts, s)
			continue
		}
		t.release(tk)
		t.requeue(tk, "its worker could not be reached", 0)
	}
}

func (t *term) receiveClaim(w *worker, c agent.Claimed, now time.Time) {
	name := w.member.Name
	w.claimed = true
	// The list lags: an instance that has been claimed is not to be taken for a
	// new one when the list shows it later.
	w.member.Incarnation = max(w.member.Incarnation, c.Incarnation)
	w.capacity = place.Resources(c.Capacity)
	w.pendingAt = time.Time{}
	w.hasBase = false
	w.readClock(c.ClockMS, now)
	w.nextCall = now
	t.reach.Claimed(name)
	t.cell.SetWorker(place.Worker{Name: name, Rack: w.member.Rack, Capacity: w.capacity})
	t.owner.stats.WorkersClaimed.Add(1)
	t.emit(event.Event{Kind: event.WorkerClaimed, Worker: name})
	t.compare(w, c.Tasks, now)
	t.wake = true
}

func (t *term) receiveSync(w *worker, r result, now time.Time) {
	w.readClock(r.synced.ClockMS, now)
	for _, s := range r.synced.Starts {
		t.started(w, s, now)
	}
	t.compare(w, r.synced.Tasks, now)
}

// usable tells whether a worker may get new tasks.
func (t *term) usable(w *worker, now time.Time) bool {
	ok, _ := t.health.Usable(now, w.member.Name)
	return ok && w.claimed && w.recorded && w.hasBase && !w.leaving && !w.gone && w.misses < maxMisses
}

// cordon keeps the placement index in step with usable.
func (t *term) cordon(now time.Time) {
	for _, w := range t.workers {
		if w.gone || w.capacity == (place.Resources{}) {
			continue
		}
		t.prove(w)
		closed := !t.usable(w, now)
		if closed == w.cordoned {
			continue
		}
		w.cordoned = closed
		t.cell.Cordon(w.member.Name, closed)
		t.wake = t.wake || !closed
	}
}

// checkLost restarts the tasks of unreachable workers once their leases have ended.
func (t *term) checkLost(now time.Time) {
	t.cordon(now)
	for _, w := range t.workers {
		if w.gone || w.claimed && w.misses < maxMisses {
			t.drain(w)
			continue
		}
		for _, tk := range w.tasks {
			if t.reach.Clear(w.member.Name, tk.job.cutOff(), now) && !w.claimed {
				t.lose(tk, "its lease ended on an unreachable worker")
			}
		}
		if w.claimed && t.lapsed(w, now) {
			w.claimed = false
		}
	}
}

// lapsed tells whether the tasks with the shorter limit have ended on a worker
// that no longer answers; it must be claimed again before it is used again.
func (t *term) lapsed(w *worker, now time.Time) bool {
	return w.misses >= maxMisses && t.reach.Clear(w.member.Name, lease.Move, now)
}

// drain stops the tasks of a leaving worker, a few at a time.
func (t *term) drain(w *worker) {
	if !w.leaving || w.gone {
		return
	}
	stopping := 0
	for _, tk := range w.tasks {
		if tk.state == taskStopping {
			stopping++
		}
	}
	for _, tk := range w.tasks {
		if stopping >= drainBatch {
			return
		}
		if tk.state == taskRunning {
			t.stop(tk, "its worker is leaving")
			stopping++
		}
	}
}

func (t *term) loseTasks(w *worker, reason string) {
	for _, tk := range w.tasks {
		t.lose(tk, reason)
	}
}

// fleetRow returns the workers that the next commit records.
func (t *term) fleetRow() ([]byte, []*worker, error) {
	var members []fleetMember
	var listed []*worker
	for _, w := range t.workers {
		if !w.gone {
			members = append(members, w.member)
			listed = append(listed, w)
		}
	}
	slices.SortFunc(members, func(a, b fleetMember) int { return strings.Compare(a.Name, b.Name) })
	text, err := json.Marshal(members)
	return text, listed, err
}
