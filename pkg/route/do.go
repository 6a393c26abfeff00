package route

import (
	"context"
	"time"
)

const (
	// refusedRetryAfter is the Retry-After of a refused request.
	refusedRetryAfter = time.Second

	// timeoutFailureDelay is how long after its deadline an attempt without a response counts as a
	// failure of the backend server. An unresponsive connection, which is not a failure of the
	// server, is detected by PINGs within this time.
	timeoutFailureDelay = pingInterval + pingTimeout + 250*time.Millisecond
)

// Do forwards the request with the slot, retries it if that is safe, and returns its
// final outcome. The slot is released when the backend server has finished, which can be
// after Do has returned.
func (r *Router) Do(ctx context.Context, slot Slot, req Request) Response {
	start := r.now()
	deadline := req.Deadline
	if d, ok := ctx.Deadline(); ok && (deadline.IsZero() || d.Before(deadline)) {
		deadline = d
	}
	r.mu.Lock()
	r.retryBudget.recordRequest(start)
	r.inProgress++ // no slot is taken between two attempts
	slot, ok := r.replaceSlotLocked(slot)
	r.mu.Unlock()

	resp := Response{Outcome: Refused}
	if !ok {
		resp.Reason = "the backend server is leaving and no other has a free slot"
		return r.finish(resp)
	}
	tried := make(map[*server]bool, 1)
	for {
		a := r.newAttempt(slot, &req, deadline, resp.Attempts+1)
		tried[a.server] = true
		res := r.await(ctx, a)
		resp.merge(a.slot.Backend, res)
		if !res.retryable || (res.outcome != Refused && req.NonIdempotent) {
			break
		}
		if slot, ok = r.acquireForRetry(ctx, deadline, resp.Attempts, tried); !ok {
			break
		}
	}
	return r.finish(resp)
}

// replaceSlotLocked exchanges the slot of a server that has started to leave since Acquire for a
// slot of another server, if one is free. The caller may wait for any time between Acquire and Do.
func (r *Router) replaceSlotLocked(slot Slot) (Slot, bool) {
	if !slot.state.server.leaving() {
		return slot, true
	}
	r.releaseLocked(slot)
	return r.acquireLocked(nil)
}

// merge merges the result of an attempt into the response. After an attempt that may have run, a
// later refusal does not change the outcome.
func (resp *Response) merge(backend string, res result) {
	resp.Attempts++
	if rank(res.outcome) < rank(resp.Outcome) {
		return
	}
	resp.Outcome, resp.Status, resp.Reason, resp.Backend = res.outcome, res.status, res.reason, backend
	resp.ContentType, resp.Body = "", nil
	if res.outcome == Answered || res.outcome == Failed {
		resp.ContentType, resp.Body = res.contentType, res.body
	}
}

func rank(o Outcome) int {
	switch o {
	case Answered:
		return 3
	case Failed:
		return 2
	case Unknown:
		return 1
	}
	return 0
}

func (r *Router) newAttempt(slot Slot, req *Request, deadline time.Time, number int) *attempt {
	now := r.now()
	limit := now.Add(orDefault(r.AttemptTimeout, DefaultAttemptTimeout))
	if deadline.IsZero() || limit.Before(deadline) {
		deadline = limit
	}
	return &attempt{
		router: r, server: slot.state.server, slot: slot, req: req,
		start: now, deadline: deadline, number: number, done: make(chan result, 1),
	}
}

// await runs the attempt and waits until it ends, its deadline passes or the caller goes away.
func (r *Router) await(ctx context.Context, a *attempt) result {
	r.updateStats(func(s *Stats) { s.Attempts++ })
	waitCtx, cancel := context.WithTimeout(ctx, a.deadline.Sub(a.start))
	defer cancel()
	go a.run(waitCtx)
	select {
	case res := <-a.done:
		return res
	case <-waitCtx.Done():
	}
	// Use a response that is already complete.
	select {
	case res := <-a.done:
		return res
	default:
	}
	if a.withdraw() {
		return result{outcome: Refused, reason: reasonNotSent}
	}
	r.detach(a)
	return result{outcome: Unknown, reason: "no answer in time", retryable: ctx.Err() == nil}
}

// detach lets the attempt finish in the background. Its response comes too late to be used.
func (r *Router) detach(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.late = true
	if !a.ended {
		time.AfterFunc(a.deadline.Sub(r.now())+timeoutFailureDelay, a.countTimeout)
	}
}

// countTimeout counts a failure of a backend server that answers PINGs but not the request.
func (a *attempt) countTimeout() {
	r := a.router
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.ended {
		return
	}
	a.failureCounted = true
	a.server.latency.Observe(now, now.Sub(a.start))
	a.server.recordFailure(now)
}

// acquireForRetry takes a slot for a retry if one is free and the retry is allowed.
func (r *Router) acquireForRetry(ctx context.Context, deadline time.Time, attempts int, tried map[*server]bool) (Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if ctx.Err() != nil || (!deadline.IsZero() && deadline.Sub(now) < time.Millisecond) || attempts > r.maxRetries() {
		return Slot{}, false
	}
	slot, ok := r.acquireLocked(tried)
	if !ok {
		return Slot{}, false
	}
	if !r.retryBudget.allow(now) {
		r.stats.RetriesOverBudget++
		r.releaseLocked(slot)
		return Slot{}, false
	}
	r.stats.Retries++
	return slot, true
}

func (r *Router) maxRetries() int {
	if r.MaxRetries == 0 {
		return DefaultMaxRetries
	}
	return max(r.MaxRetries, 0)
}

func (r *Router) finish(resp Response) Response {
	resp.MayHaveRun = resp.Outcome != Refused
	if resp.Outcome == Refused {
		resp.Status, resp.RetryAfter = 0, refusedRetryAfter
	}
	r.updateStats(func(s *Stats) {
		defer r.workDoneLocked()
		switch resp.Outcome {
		case Answered:
			s.Answered++
		case Refused:
			s.Refused++
		case Failed:
			s.Failed++
		case Unknown:
			s.Unknown++
		}
	})
	return resp
}

// applyResultLocked updates the state of the server and the counters after an attempt.
func (a *attempt) applyResultLocked(now time.Time, res result) {
	s, counters := a.server, &a.router.stats
	a.ended = true
	if res.abandoned {
		counters.AbandonedRequests++
	}
	switch res.outcome {
	case Answered:
		s.latency.Observe(now, now.Sub(a.start))
		if a.late {
			counters.LateAnswers++
			return
		}
		s.recordSuccess()
	case Failed:
		if a.late {
			counters.LateAnswers++
		}
		if !a.failureCounted {
			s.recordFailure(now)
		}
	case Refused:
		a.applyRefusalLocked(now, res)
	case Unknown:
		if !a.failureCounted && !a.connUnresponsive() {
			s.recordFailure(now)
		}
		s.requestPoll()
	}
}

// connUnresponsive reports whether the attempt ended because its connection became unresponsive.
// That is no failure of the server, unless the connection never worked.
func (a *attempt) connUnresponsive() bool {
	return a.conn != nil && a.conn.hasRead.Load() && a.conn.endedUnresponsive()
}

func (a *attempt) applyRefusalLocked(now time.Time, res result) {
	switch {
	case res.status != 0:
		a.router.stats.NotRunRefusals++
		a.server.avoidSince = now
	case a.conn == nil && !res.localCause:
		a.server.recordFailure(now)
		a.server.requestPoll()
	case !res.localCause:
		// The server closed the connection, perhaps because it is leaving.
		a.server.requestPoll()
	}
}
