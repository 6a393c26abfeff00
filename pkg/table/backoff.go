package table

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// BackoffShortest is the first upper bound of a pause between attempts.
	BackoffShortest = 100 * time.Millisecond
	// BackoffLongest is the last upper bound of a pause between attempts.
	BackoffLongest = 5 * time.Second
)

// Backoff yields pauses between attempts: exponential, with full jitter. The zero value is ready
// for use and is not safe for concurrent use.
type Backoff struct {
	// Max is the largest upper bound of a pause; 0 means BackoffLongest.
	Max time.Duration

	bound time.Duration
}

// Next returns a random pause below the present upper bound, and doubles that bound.
func (b *Backoff) Next() time.Duration {
	limit := b.Max
	if limit <= 0 {
		limit = BackoffLongest
	}
	b.bound = min(max(b.bound, BackoffShortest), limit)
	pause := rand.N(b.bound)
	b.bound = min(2*b.bound, limit)
	return pause
}

// Reset makes the next pause short again.
func (b *Backoff) Reset() {
	b.bound = 0
}

// Sleep waits for the next pause; false means that ctx ended first.
func (b *Backoff) Sleep(ctx context.Context) bool {
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
