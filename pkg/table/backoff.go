package table

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// MinBackoff is the upper bound of the first pause between attempts.
	MinBackoff = 100 * time.Millisecond
	// MaxBackoff is the default for the largest upper bound of a pause.
	MaxBackoff = 5 * time.Second
)

// Backoff yields pauses between attempts: exponential, with full jitter. The zero value is ready
// for use and is not safe for concurrent use.
type Backoff struct {
	// Max is the largest upper bound of a pause; 0 means MaxBackoff.
	Max time.Duration

	bound time.Duration
}

// Next returns a random pause below the current upper bound, and doubles that bound.
func (b *Backoff) Next() time.Duration {
	limit := b.Max
	if limit <= 0 {
		limit = MaxBackoff
	}
	b.bound = min(max(b.bound, MinBackoff), limit)
	pause := rand.N(b.bound)
	b.bound = min(2*b.bound, limit)
	return pause
}

// Reset sets the upper bound back to MinBackoff.
func (b *Backoff) Reset() {
	b.bound = 0
}

// Sleep waits for the next pause. It returns false if ctx ended first.
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
