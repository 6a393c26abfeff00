package cell

import "time"

const (
	// lateTickInterval is the time between two ticks above which this instance is too slow to keep its own
	// timing. Ticks are due every 25 ms.
	lateTickInterval = 60 * time.Millisecond

	// overloadWindow is how long a late tick counts.
	overloadWindow = time.Second
)

// Overloaded reports whether this instance was recently too slow to keep its own timing.
func (c *Core) Overloaded(now time.Time) bool {
	return now.Sub(c.lastLateTick) < overloadWindow
}

// recordTick records when Tick runs.
func (c *Core) recordTick(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > lateTickInterval {
		c.lastLateTick = now
	}
	c.lastTick = now
}
