package sched

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// call is a claim or a sync to be sent to a worker.
type call struct {
	claim *agent.Claim
	sync  *agent.Sync
}

// callResult is the result of a call, to be handled by the owner goroutine.
type callResult struct {
	worker     *worker
	call       call
	claimReply agent.ClaimReply
	syncReply  agent.SyncReply
	outcome    agent.Outcome
	err        error
}

// runWorkerCalls executes the calls to one worker one at a time until ctx ends.
func (t *term) runWorkerCalls(ctx context.Context, w *worker, address string, calls chan call) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-calls:
			r := t.execute(ctx, address, c)
			r.worker = w
			select {
			case t.results <- r:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (t *term) execute(ctx context.Context, address string, c call) callResult {
	r := callResult{call: c}
	if c.claim != nil {
		r.claimReply, r.outcome, r.err = t.owner.WorkerClient.Claim(ctx, address, *c.claim)
		return r
	}
	r.syncReply, r.outcome, r.err = t.owner.WorkerClient.Sync(ctx, address, *c.sync)
	return r
}

// sendCalls sends the next call to each worker for which one is due.
func (t *term) sendCalls() {
	if !t.loaded {
		return
	}
	now := t.now()
	for _, w := range t.workers {
		if w.inFlight || w.gone || w.calls == nil || now.Before(w.nextCall) && !w.hasCommands() {
			continue
		}
		if w.failedCalls > 0 && now.Before(w.nextCall) {
			continue
		}
		t.sendCall(w)
	}
}

func (w *worker) hasCommands() bool {
	c := &w.commands
	return len(c.Starts)+len(c.Stops)+len(c.Checkpoints)+len(c.Throttles)+len(c.Acks) > 0
}

func (t *term) sendCall(w *worker) {
	w.inFlight = true
	w.sequence++
	if !w.claimed {
		w.calls <- call{claim: &agent.Claim{Owner: t.owner.Name, Epoch: t.lease.Epoch, Sequence: w.sequence}}
		return
	}
	t.confirmClock(w)
	msg := w.commands
	msg.Owner = t.owner.Name
	msg.Epoch = t.lease.Epoch
	msg.Sequence = w.sequence
	msg.RenewFromMS = w.confirmedMS
	w.commands = agent.Sync{}
	if w.clockConfirmed {
		// Recorded before sending, because a sync whose reply is lost may also renew the claim.
		t.restartGuard.MarkSynced(w.info.Name, w.confirmedAt)
	}
	w.calls <- call{sync: &msg}
}

// confirmClock confirms the worker's clock reading once a lease renewal that started after the
// reading has succeeded: this instance was still the owner at the time of the reading, so the
// worker may renew its claim from then on.
func (t *term) confirmClock(w *worker) {
	if w.unconfirmedAt.IsZero() {
		return
	}
	confirmed, ok := t.owner.LeaseConfirmedAt()
	if !ok || !confirmed.After(w.unconfirmedAt) {
		return
	}
	w.confirmedMS = w.unconfirmedMS
	w.confirmedAt = w.unconfirmedAt
	w.clockConfirmed = true
	w.unconfirmedAt = time.Time{}
}

func (w *worker) recordClock(clockMS int64, now time.Time) {
	if !w.unconfirmedAt.IsZero() {
		return
	}
	w.unconfirmedMS = clockMS
	w.unconfirmedAt = now
}

// handleResult applies the result of a call to a worker.
func (t *term) handleResult(r callResult) {
	w := r.worker
	w.inFlight = false
	now := t.now()
	w.nextCall = now.Add(syncInterval)
	switch r.outcome {
	case agent.Accepted:
		w.failedCalls = 0
		if r.call.claim != nil {
			t.handleClaimReply(w, r.claimReply, now)
			return
		}
		t.handleSyncReply(w, r, now)
	case agent.Fenced:
		t.owner.counters.FencedOut.Add(1)
		t.owner.Log.WithField("worker", w.info.Name).WithError(r.err).Warn("worker has been claimed by a newer owner; ending the term")
		t.cancel()
	case agent.NotClaimed:
		w.claimed = false
		w.nextCall = now
		t.restoreCommands(w, r)
	default:
		t.owner.counters.SyncsFailed.Add(1)
		w.failedCalls++
		w.nextCall = now.Add(callRetryDelay)
		t.restoreCommands(w, r)
		if w.failedCalls >= maxFailedCalls {
			t.requeueUnsentStarts(w)
		}
	}
}

// restoreCommands puts the commands of a failed sync back in front of newer ones, so that the next
// sync sends them again.
func (t *term) restoreCommands(w *worker, r callResult) {
	c := r.call.sync
	if c == nil {
		return
	}
	next := &w.commands
	next.Starts = append(t.currentStarts(w, c.Starts), next.Starts...)
	next.Stops = append(c.Stops, next.Stops...)
	next.Checkpoints = append(c.Checkpoints, next.Checkpoints...)
	next.Throttles = append(c.Throttles, next.Throttles...)
	next.Acks = append(c.Acks, next.Acks...)
	if r.outcome == agent.Unknown {
		for _, s := range next.Starts {
			t.tasks[s.ID].maybeSent = true
		}
	}
}

// currentStarts returns those of the starts whose attempt is still assigned to the worker.
func (t *term) currentStarts(w *worker, starts []agent.Start) []agent.Start {
	var kept []agent.Start
	for _, s := range starts {
		tk := t.tasks[s.ID]
		if tk != nil && tk.worker == w && tk.attempt == s.Attempt && tk.state == taskStarting {
			kept = append(kept, s)
		}
	}
	return kept
}

// requeueUnsentStarts puts the tasks whose starts cannot have reached the worker back in the queue.
func (t *term) requeueUnsentStarts(w *worker) {
	starts := w.commands.Starts
	w.commands.Starts = nil
	for _, s := range starts {
		tk := t.tasks[s.ID]
		if tk.maybeSent {
			w.commands.Starts = append(w.commands.Starts, s)
			continue
		}
		t.release(tk)
		t.requeue(tk, "its worker could not be reached", 0)
	}
}

func (t *term) handleClaimReply(w *worker, c agent.ClaimReply, now time.Time) {
	name := w.info.Name
	w.claimed = true
	// The instance list may lag behind the claim. Taking over the incarnation keeps the list from
	// presenting the claimed worker as a new one later.
	w.info.Incarnation = max(w.info.Incarnation, c.Incarnation)
	w.capacity = place.Resources(c.Capacity)
	w.unconfirmedAt = time.Time{}
	w.clockConfirmed = false
	w.recordClock(c.ClockMS, now)
	w.nextCall = now
	t.restartGuard.MarkClaimed(name)
	t.cell.SetWorker(place.Worker{Name: name, Rack: w.info.Rack, Capacity: w.capacity})
	t.owner.counters.WorkersClaimed.Add(1)
	t.emit(event.Event{Kind: event.WorkerClaimed, Worker: name})
	t.reconcileWorker(w, c.Tasks, now)
	t.resumeSuspended = true
}

func (t *term) handleSyncReply(w *worker, r callResult, now time.Time) {
	w.recordClock(r.syncReply.ClockMS, now)
	for _, s := range r.syncReply.Starts {
		t.applyStartResult(w, s, now)
	}
	t.reconcileWorker(w, r.syncReply.Tasks, now)
}
