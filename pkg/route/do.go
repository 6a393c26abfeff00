package route

import (
	"context"
	"time"
)

const (
	// refusedRetryAfter is what a refused caller is told to wait.
	refusedRetryAfter = time.Second

	// minJudgedTime is the least time after which a missing answer counts as a failure
	// of the backend server rather than of a caller with a short deadline.
	minJudgedTime = time.Second
)

// Do forwards the request with the slot, retries it where that is safe, and returns its
// only outcome. The slot is given back when the backend server has finished, which can
// be after Do has returned.
func (r *Router) Do(ctx context.Context, slot Slot, req Request) Answer {
	start := r.now()
	end := req.Deadline
	if d, ok := ctx.Deadline(); ok && (end.IsZero() || d.Before(end)) {
		end = d
	}
	r.mu.Lock()
	r.budget.request(start)
	r.mu.Unlock()

	ans := Answer{Outcome: Refused}
	tried := make(map[*server]bool, 1)
	for {
		a := r.attempt(slot, &req, end, ans.Attempts+1)
		tried[a.server] = true
		res := r.await(ctx, a)
		ans.add(a.slot.Backend, res)
		if !res.retryable || (res.outcome != Refused && req.NonIdempotent) {
			break
		}
		var ok bool
		if slot, ok = r.next(ctx, end, ans.Attempts, tried); !ok {
			break
		}
	}
	return r.finish(ans)
}

// add takes over the result of an attempt. An earlier attempt that may have run keeps
// the outcome from becoming a refusal.
func (ans *Answer) add(backend string, res result) {
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
	limit := now.Add(orDefault(r.AttemptLimit, DefaultAttemptLimit))
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
		return result{outcome: Refused, reason: "time ran out before the request was sent"}
	}
	a.late.Store(true)
	return result{outcome: Unknown, reason: "no answer in time", retryable: ctx.Err() == nil}
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

func (r *Router) finish(ans Answer) Answer {
	ans.MayHaveRun = ans.Outcome != Refused
	if ans.Outcome == Refused {
		ans.Status, ans.RetryAfter = 0, refusedRetryAfter
	}
	r.count(func(s *Stats) {
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
	if a.late.Load() {
		if res.outcome == Answered || res.outcome == Failed {
			st.LateAnswers++
		} else if !now.Before(a.end) {
			st.AbandonedRequests++
		}
	}
	switch res.outcome {
	case Answered:
		s.observe(now, now.Sub(a.start))
		s.succeeded()
	case Failed:
		s.failed(now)
	case Refused:
		a.noteRefusalLocked(now, res)
	case Unknown:
		// A connection that went silent says nothing of the server, unless it never worked.
		if a.link == nil || !a.link.lost.Load() || !a.link.heard.Load() {
			s.failed(now)
		}
	}
}

func (a *attempt) noteRefusalLocked(now time.Time, res result) {
	s := a.server
	switch {
	case res.status != 0:
		a.router.stats.NotRunRefusals++
		s.refusedAt = now
	case a.link == nil && res.retryable && a.phase.Load() != withdrawn:
		s.failed(now)
	}
}
