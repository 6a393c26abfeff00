package event

import (
	"sync/atomic"
	"time"
)

const (
	// counterBits leaves 47 bits for milliseconds since 1970, enough for 4,000 years.
	counterBits = 16
	// maxDrift is how far a time from another instance may advance the clock beyond the local time.
	maxDrift = time.Minute
)

// HybridClock is a hybrid logical clock: an event that was caused by another has a
// greater time, even across instances whose wall clocks differ. A time is an int64
// with milliseconds since 1970 in the upper bits and a 16-bit counter in the lower bits.
type HybridClock struct {
	// Wall returns the local time; nil means time.Now. Set it before the first call.
	Wall func() time.Time

	last     atomic.Int64
	rejected atomic.Uint64
}

// Now returns a time greater than all times returned or observed before.
func (c *HybridClock) Now() int64 {
	wall := c.wall()
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Observe advances the clock to a time received from another instance. It returns false and
// does nothing if that time is more than a minute ahead of the local one, so that an instance
// with a wrong clock does not affect the others.
func (c *HybridClock) Observe(t int64) bool {
	if t > c.wall()+maxDrift.Milliseconds()<<counterBits {
		c.rejected.Add(1)
		return false
	}
	for {
		last := c.last.Load()
		if t <= last || c.last.CompareAndSwap(last, t) {
			return true
		}
	}
}

// Rejected returns the number of times that Observe has rejected.
func (c *HybridClock) Rejected() uint64 {
	return c.rejected.Load()
}

func (c *HybridClock) wall() int64 {
	now := time.Now
	if c.Wall != nil {
		now = c.Wall
	}
	return now().UnixMilli() << counterBits
}

// WallTime returns the wall clock time of a hybrid time.
func WallTime(hybrid int64) time.Time {
	return time.UnixMilli(hybrid >> counterBits)
}
