package cell

import "time"

const (
	// lossesTold is the number of calls without an answer within lossMemory from which answers are
	// taken to get lost.
	lossesTold = 4

	// lossMemory is how long a call without an answer counts.
	lossMemory = 3 * time.Second

	// tickLate is a pause between two ticks from which this instance itself is too slow to tell
	// lost answers from late ones; ticks are due every 25 ms.
	tickLate = 60 * time.Millisecond

	// busyMemory is how long a late tick counts.
	busyMemory = time.Second
)

// noteLoss counts a call without an answer to an executor that answered the next one, so that it
// has neither crashed nor been cut off.
func (c *Core) noteLoss(now time.Time) {
	if c.Overloaded(now) {
		return
	}
	c.losses++
	c.lossAt = now
	if c.losses >= lossesTold && !c.lossy {
		c.lossy = true
		c.Log.WithField("losses", c.losses).Warn("executors leave calls without an answer: two looks are in progress at each busy one")
	}
}

// Overloaded reports whether this instance has lately been too slow to keep its own times.
func (c *Core) Overloaded(now time.Time) bool {
	return now.Sub(c.lateAt) < busyMemory
}

// fadeLosses forgets losses after a while, and at once when this instance is too slow itself.
func (c *Core) fadeLosses(now time.Time) {
	if !c.tickAt.IsZero() && now.Sub(c.tickAt) > tickLate {
		c.lateAt = now
	}
	c.tickAt = now
	if c.losses == 0 || !c.Overloaded(now) && now.Sub(c.lossAt) < lossMemory {
		return
	}
	if c.lossy {
		c.Log.WithField("losses", c.losses).WithField("slow_instance", c.Overloaded(now)).Info("executors answer all calls again")
	}
	c.losses, c.lossy = 0, false
}

// NeedsSecondPoll reports whether two looks at an executor should be in progress, so that one lost
// answer does not hide the ends of its tasks.
func (c *Core) NeedsSecondPoll(id string) bool {
	ex := c.execs[id]
	return c.lossy && ex != nil && ex.claimed && ex.misses < silentAfter && len(ex.runs) > 0
}
