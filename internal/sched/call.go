package sched

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// call is one message to a worker.
type call struct {
	claim *agent.Claim
	sync  *agent.Sync
}

// result is a worker's answer on its way to the owner goroutine.
type result struct {
	worker  *worker
	call    call
	claimed agent.ClaimReply
	synced  agent.SyncReply
	outcome agent.Outcome
	err     error
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
		r.claimed, r.outcome, r.err = t.owner.WorkerClient.Claim(ctx, address, *c.claim)
		return r
	}
	r.synced, r.outcome, r.err = t.owner.WorkerClient.Sync(ctx, address, *c.sync)
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
	return len(o.Starts)+len(o.Stops)+len(o.Checkpoints)+len(o.Throttles)+len(o.Acks) > 0
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
	msg.RenewFromMS = w.base
	w.out = agent.Sync{}
	if w.hasBase {
		// Noted before sending, since a sync whose answer is lost also renews.
		t.reach.MarkSynced(w.member.Name, w.baseAt)
	}
	w.calls <- call{sync: &msg}
}

// prove makes the pending clock reading the base once a renewal of the lease
// that started after the reading has succeeded.
func (t *term) prove(w *worker) {
	if w.pendingAt.IsZero() {
		return
	}
	proven, ok := t.owner.LastRenewal()
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
	o.Acks = append(c.Acks, o.Acks...)
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

func (t *term) receiveClaim(w *worker, c agent.ClaimReply, now time.Time) {
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
	t.reach.MarkClaimed(name)
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
