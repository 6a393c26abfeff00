package event

import (
	"sync/atomic"
	"time"
)

const (
	// counterBits leave 47 bits for milliseconds since 1970, enough for 4,000 years.
	counterBits = 16
	// maxDrift is how far a peer may move the clock ahead of the local time.
	maxDrift = time.Minute
)

// HybridClock is a hybrid logical clock: an event that was caused by another has a
// greater time, also across instances whose clocks differ. A time is one int64
// with milliseconds since 1970 above a counter of 16 bits.
type HybridClock struct {
	// Wall returns the local time; nil means time.Now. Set it before the first call.
	Wall func() time.Time

	last    atomic.Int64
	refused atomic.Uint64
}

// Now returns a time greater than all that were returned or observed before.
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

// Observe takes over a time received from another instance. It reports false and
// changes nothing when that time is more than a minute ahead of the local one.
func (c *HybridClock) Observe(t int64) bool {
	if t > c.wall()+maxDrift.Milliseconds()<<counterBits {
		c.refused.Add(1)
		return false
	}
	for {
		last := c.last.Load()
		if t <= last || c.last.CompareAndSwap(last, t) {
			return true
		}
	}
}

// Rejected returns the number of times that Observe refused.
func (c *HybridClock) Rejected() uint64 {
	return c.refused.Load()
}

func (c *HybridClock) wall() int64 {
	now := time.Now
	if c.Wall != nil {
		now = c.Wall
	}
	return now().UnixMilli() << counterBits
}

// WallTime returns the wall clock part of a hybrid time.
func WallTime(hybrid int64) time.Time {
	return time.UnixMilli(hybrid >> counterBits)
}
