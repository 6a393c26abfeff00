package cell

import "time"

const (
	// lossesTold is the number of calls without an answer within lossMemory from which answers are
	// taken to get lost.
	lostResponseThreshold = 4

	// lossMemory is how long a call without an answer counts.
	lostResponseWindow = 3 * time.Second

	// tickLate is a pause between two ticks from which this instance itself is too slow to tell
	// lost answers from late ones; ticks are due every 25 ms.
	lateTickInterval = 60 * time.Millisecond

	// busyMemory is how long a late tick counts.
	overloadWindow = time.Second
)

// noteLoss counts a call without an answer to an executor that answered the next one, so that it
// has neither crashed nor been cut off.
func (c *Core) recordLostResponse(now time.Time) {
	if c.Overloaded(now) {
		return
	}
	c.lostResponses++
	c.lastLostResponse = now
	if c.lostResponses >= lostResponseThreshold && !c.losingResponses {
		c.losingResponses = true
		c.Log.WithField("losses", c.lostResponses).Warn("executors leave calls without an answer: two looks are in progress at each busy one")
	}
}

// Overloaded reports whether this instance has lately been too slow to keep its own times.
func (c *Core) Overloaded(now time.Time) bool {
	return now.Sub(c.lastLateTick) < overloadWindow
}

// fadeLosses forgets losses after a while, and at once when this instance is too slow itself.
func (c *Core) updateResponseLoss(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > lateTickInterval {
		c.lastLateTick = now
	}
	c.lastTick = now
	if c.lostResponses == 0 || !c.Overloaded(now) && now.Sub(c.lastLostResponse) < lostResponseWindow {
		return
	}
	if c.losingResponses {
		c.Log.WithField("losses", c.lostResponses).WithField("slow_instance", c.Overloaded(now)).Info("executors answer all calls again")
	}
	c.lostResponses, c.losingResponses = 0, false
}

// NeedsSecondPoll reports whether two looks at an executor should be in progress, so that one lost
// answer does not hide the ends of its tasks.
func (c *Core) NeedsSecondPoll(id string) bool {
	ex := c.executors[id]
	return c.losingResponses && ex != nil && ex.claimed && ex.missedPolls < maxMissedPolls && len(ex.runs) > 0
}
