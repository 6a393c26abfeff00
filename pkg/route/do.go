package route

import (
	"context"
	"time"
)

const (
	// refusedRetryAfter is what a refused caller is told to wait.
	refusedRetryAfter = time.Second

	// judgeDelay passes between the end of an attempt's time and the judgement that the
	// backend server failed. A silent connection is found within it and is not its fault.
	judgeDelay = pingInterval + pingTimeout + 250*time.Millisecond
)

// Do forwards the request with the slot, retries it where that is safe, and returns its
// only outcome. The slot is given back when the backend server has finished, which can
// be after Do has returned.
func (r *Router) Do(ctx context.Context, slot Slot, req Request) Response {
	start := r.now()
	end := req.Deadline
	if d, ok := ctx.Deadline(); ok && (end.IsZero() || d.Before(end)) {
		end = d
	}
	r.mu.Lock()
	r.budget.request(start)
	r.working++ // between two attempts no slot is taken
	slot, ok := r.replaceLocked(slot)
	r.mu.Unlock()

	ans := Response{Outcome: Refused}
	if !ok {
		ans.Reason = "the backend server is leaving and no other has a free slot"
		return r.finish(ans)
	}
	tried := make(map[*server]bool, 1)
	for {
		a := r.attempt(slot, &req, end, ans.Attempts+1)
		tried[a.server] = true
		res := r.await(ctx, a)
		ans.add(a.slot.Backend, res)
		if !res.retryable || (res.outcome != Refused && req.NonIdempotent) {
			break
		}
		if slot, ok = r.next(ctx, end, ans.Attempts, tried); !ok {
			break
		}
	}
	return r.finish(ans)
}

// replaceLocked gives back the slot of a server that has begun to leave since Acquire, for
// another if there is one. The time between Acquire and Do has no bound here.
func (r *Router) replaceLocked(slot Slot) (Slot, bool) {
	if !slot.ticket.server.leaving() {
		return slot, true
	}
	r.giveBackLocked(slot)
	return r.acquireLocked(nil)
}

// add takes over the result of an attempt. An earlier attempt that may have run keeps
// the outcome from becoming a refusal.
func (ans *Response) add(backend string, res result) {
	ans.Attempts++
	if weight(res.outcome) < weight(ans.Outcome) {
		return
	}
	ans.Outcome, ans.Status, ans.Reason, ans.Backend = res.outcome, res.status, res.reason, backend
	ans.ContentType, ans.Body = "", nil
	if res.outcome == Answered || res.outcome == Failed {
		ans.ContentType, ans.Body = res.contentType, res.body
	}
}

func weight(o Outcome) int {
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

func (r *Router) attempt(slot Slot, req *Request, end time.Time, number int) *attempt {
	now := r.now()
	limit := now.Add(orDefault(r.AttemptTimeout, DefaultAttemptTimeout))
	if end.IsZero() || limit.Before(end) {
		end = limit
	}
	return &attempt{
		router: r, server: slot.ticket.server, slot: slot, req: req,
		start: now, end: end, number: number, done: make(chan result, 1),
	}
}

// await runs the attempt until it ends, its time is over or the caller goes away.
func (r *Router) await(ctx context.Context, a *attempt) result {
	r.count(func(s *Stats) { s.Attempts++ })
	wait, cancel := context.WithTimeout(ctx, a.end.Sub(a.start))
	defer cancel()
	go a.run(wait)
	select {
	case res := <-a.done:
		return res
	case <-wait.Done():
	}
	// An answer that is already complete is used.
	select {
	case res := <-a.done:
		return res
	default:
	}
	if a.withdraw() {
		return result{outcome: Refused, reason: noTime}
	}
	r.leave(a)
	return result{outcome: Unknown, reason: "no answer in time", retryable: ctx.Err() == nil}
}

// leave lets the attempt go on alone: its answer comes too late to be used.
func (r *Router) leave(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.late = true
	if !a.ended {
		time.AfterFunc(a.end.Sub(r.now())+judgeDelay, a.judge)
	}
}

// judge counts a failure of a backend server that answers PINGs but not the request.
func (a *attempt) judge() {
	r := a.router
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.ended {
		return
	}
	a.judged = true
	a.server.latency.Observe(now, now.Sub(a.start))
	a.server.failed(now)
}

// next takes a slot for a retry, if one is allowed.
func (r *Router) next(ctx context.Context, end time.Time, attempts int, tried map[*server]bool) (Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if ctx.Err() != nil || (!end.IsZero() && end.Sub(now) < time.Millisecond) || attempts > r.maxRetries() {
		return Slot{}, false
	}
	slot, ok := r.acquireLocked(tried)
	if !ok {
		return Slot{}, false
	}
	if !r.budget.take(now) {
		r.stats.RetriesOverBudget++
		r.giveBackLocked(slot)
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

func (r *Router) finish(ans Response) Response {
	ans.MayHaveRun = ans.Outcome != Refused
	if ans.Outcome == Refused {
		ans.Status, ans.RetryAfter = 0, refusedRetryAfter
	}
	r.count(func(s *Stats) {
		defer r.workedLocked()
		switch ans.Outcome {
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
	return ans
}

// noteLocked draws the conclusions from an attempt for the state of its server.
func (a *attempt) noteLocked(now time.Time, res result) {
	s, st := a.server, &a.router.stats
	a.ended = true
	if res.abandoned {
		st.AbandonedRequests++
	}
	switch res.outcome {
	case Answered:
		s.latency.Observe(now, now.Sub(a.start))
		if a.late {
			st.LateAnswers++
			return
		}
		s.succeeded()
	case Failed:
		if a.late {
			st.LateAnswers++
		}
		if !a.judged {
			s.failed(now)
		}
	case Refused:
		a.noteRefusalLocked(now, res)
	case Unknown:
		if !a.judged && !a.silent() {
			s.failed(now)
		}
		s.pollSoon()
	}
}

// silent reports whether the attempt ended because its connection went silent. That says
// nothing of the server, unless the connection never worked.
func (a *attempt) silent() bool {
	return a.link != nil && a.link.worked.Load() && a.link.silent()
}

func (a *attempt) noteRefusalLocked(now time.Time, res result) {
	switch {
	case res.status != 0:
		a.router.stats.NotRunRefusals++
		a.server.avoidFrom = now
	case a.link == nil && !res.local:
		a.server.failed(now)
		a.server.pollSoon()
	case !res.local:
		// The server closed the connection, perhaps because it is leaving.
		a.server.pollSoon()
	}
}
