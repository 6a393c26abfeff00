package route

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryRatio is the ratio of retries to requests that the budget allows.
	retryRatio = 0.1
	// minRetryRate is the number of retries per second that is allowed at any request rate.
	minRetryRate = 3
	budgetWindow = time.Second
)

// retryBudget limits retries to 10% of the request rate, but allows at least 3/s.
type retryBudget struct {
	limiter     *rate.Limiter
	windowStart time.Time
	requests    int
}

// recordRequest counts a request. The request rate of the last full window sets the limit.
func (b *retryBudget) recordRequest(now time.Time) {
	b.updateLimit(now)
	b.requests++
}

func (b *retryBudget) updateLimit(now time.Time) {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(minRetryRate, minRetryRate)
		b.windowStart = now
	}
	window := now.Sub(b.windowStart)
	if window < budgetWindow {
		return
	}
	limit := max(minRetryRate, retryRatio*float64(b.requests)/window.Seconds())
	b.limiter.SetLimitAt(now, rate.Limit(limit))
	b.limiter.SetBurstAt(now, int(limit))
	b.windowStart, b.requests = now, 0
}

// allow reports whether one more retry is within the budget, and counts it if so.
func (b *retryBudget) allow(now time.Time) bool {
	b.updateLimit(now)
	return b.limiter.AllowN(now, 1)
}
