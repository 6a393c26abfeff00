package cell

import "time"

const (
	// lostResponseThreshold is the number of unanswered calls within lostResponseWindow from which
	// responses are considered to get lost.
	lostResponseThreshold = 4

	// lostResponseWindow is how long an unanswered call counts.
	lostResponseWindow = 3 * time.Second

	// lateTickInterval is the time between two ticks above which this instance itself is too slow to
	// tell lost responses from late ones. Ticks are due every 25 ms.
	lateTickInterval = 60 * time.Millisecond

	// overloadWindow is how long a late tick counts.
	overloadWindow = time.Second
)

// recordLostResponse counts an unanswered call to an executor that answered the next call, which shows
// that it was neither down nor partitioned.
func (c *Core) recordLostResponse(now time.Time) {
	if c.Overloaded(now) {
		return
	}
	c.lostResponses++
	c.lastLostResponse = now
	if c.lostResponses >= lostResponseThreshold && !c.losingResponses {
		c.losingResponses = true
		c.Log.WithField("losses", c.lostResponses).Warn("responses of executors get lost; polling each busy executor with two calls in flight")
	}
}

// Overloaded reports whether this instance was recently too slow to keep its own timing.
func (c *Core) Overloaded(now time.Time) bool {
	return now.Sub(c.lastLateTick) < overloadWindow
}

// updateResponseLoss clears the lost responses once they are old, and at once when this instance is
// itself too slow.
func (c *Core) updateResponseLoss(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > lateTickInterval {
		c.lastLateTick = now
	}
	c.lastTick = now
	if c.lostResponses == 0 || !c.Overloaded(now) && now.Sub(c.lastLostResponse) < lostResponseWindow {
		return
	}
	if c.losingResponses {
		c.Log.WithField("losses", c.lostResponses).WithField("slow_instance", c.Overloaded(now)).Info("responses of executors no longer get lost")
	}
	c.lostResponses, c.losingResponses = 0, false
}

// LosingResponses reports whether responses of live executors get lost.
func (c *Core) LosingResponses() bool {
	return c.losingResponses
}

// NeedsSecondPoll reports whether two polls of an executor should be in flight, so that one lost
// response does not delay the news of its ended runs, or one that is held since before a trial the
// news that the suspect has outlived its start.
func (c *Core) NeedsSecondPoll(id string) bool {
	ex := c.executors[id]
	if ex == nil || !ex.claimed || ex.missedPolls >= maxMissedPolls || len(ex.runs) == 0 {
		return false
	}
	return c.losingResponses || ex.trial != nil && ex.runs[ex.trial.key] == ex.trial && !ex.trial.outlivedStart
}
