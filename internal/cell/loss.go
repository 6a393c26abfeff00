package cell

import "time"

const (
	// lossesTold is the number of calls without an answer within lossMemory from which answers are
	// taken to get lost; single executors that crash leave one or two.
	lossesTold = 4

	// lossMemory is how long a call without an answer counts.
	lossMemory = 3 * time.Second

	// tickLate is a pause between two ticks from which this instance itself is too slow to tell
	// lost answers from late ones.
	tickLate = 150 * time.Millisecond
)

// noteLoss counts a call that an executor left without an answer although it answered the one before.
func (c *Core) noteLoss(now time.Time, ex *executor) {
	if ex.misses > 0 {
		return
	}
	c.losses++
	c.lossAt = now
	if c.losses >= lossesTold && !c.lossy {
		c.lossy = true
		c.Log.WithField("losses", c.losses).Warn("executors leave calls without an answer: answers are held for a shorter time")
	}
}

// fadeLosses forgets losses after a while, and at once when this instance is too slow itself.
func (c *Core) fadeLosses(now time.Time) {
	late := !c.tickAt.IsZero() && now.Sub(c.tickAt) > tickLate
	c.tickAt = now
	if c.losses == 0 || !late && now.Sub(c.lossAt) < lossMemory {
		return
	}
	if c.lossy {
		c.Log.WithField("losses", c.losses).WithField("slow_instance", late).Info("executors answer all calls again")
	}
	c.losses, c.lossy = 0, false
}

// LooksTwice reports whether two looks at an executor should be in progress, so that one lost
// answer does not hide the ends of its tasks.
func (c *Core) LooksTwice(id string) bool {
	ex := c.execs[id]
	return c.lossy && ex != nil && ex.claimed && ex.misses < silentAfter && len(ex.runs) > 0
}
