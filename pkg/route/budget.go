package route

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryShare is the part of requests that may be retried.
	retryShare = 0.1
	// minRetryRate is allowed whatever the number of requests, in retries per second.
	minRetryRate = 3
	budgetWindow = time.Second
)

// budget allows retries at 10% of the rate of requests, but at least 3/s.
type budget struct {
	limiter  *rate.Limiter
	since    time.Time
	requests int
}

// request counts a request; the rate of the last full second sets the limit.
func (b *budget) request(now time.Time) {
	b.adjust(now)
	b.requests++
}

func (b *budget) adjust(now time.Time) {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(minRetryRate, minRetryRate)
		b.since = now
	}
	window := now.Sub(b.since)
	if window < budgetWindow {
		return
	}
	limit := max(minRetryRate, retryShare*float64(b.requests)/window.Seconds())
	b.limiter.SetLimitAt(now, rate.Limit(limit))
	b.limiter.SetBurstAt(now, int(limit))
	b.since, b.requests = now, 0
}

// take reports whether one more retry is within the budget.
func (b *budget) take(now time.Time) bool {
	b.adjust(now)
	return b.limiter.AllowN(now, 1)
}
