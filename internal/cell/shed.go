package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	// rejectAfter is how long tasks are held back before new jobs are rejected. It shows that holding them
	// back does not suffice, and that the backlog is not due to a short burst.
	rejectAfter = 2 * time.Second

	// minBacklogRetryAfter and maxBacklogRetryAfter limit the retry delay sent to clients whose job is
	// rejected because of the backlog.
	minBacklogRetryAfter = time.Second
	maxBacklogRetryAfter = 10 * time.Second
)

// updateHoldBack decides whether other tasks than urgent and long-running ones are started. An owner that
// is far behind delays everything, so that urgent jobs miss their objective to save some long ones.
func (c *Core) updateHoldBack(now time.Time) {
	if c.Pace.Overrun() == c.holdsBack {
		return
	}
	c.holdsBack = !c.holdsBack
	if c.holdsBack {
		c.heldBackSince = now
		c.Log.WithField("lag_ms", c.Pace.Last().Lag.Milliseconds()).WithField("pending_steps", len(c.runnable)).
			Warn("owner is far behind; starting only urgent and long-running tasks")
		return
	}
	c.Log.WithField("after_ms", now.Sub(c.heldBackSince).Milliseconds()).WithField("pending_steps", len(c.runnable)).
		Info("owner keeps up again; starting all tasks")
}

// backlogDelay returns how long the oldest job of a queue that was not started yet has waited, if it can no
// longer end in time while the owner has been far behind for a while: a new job of the queue would wait
// for as long, and delay the others.
func (c *Core) backlogDelay(now time.Time, q *fleet.Queue) (time.Duration, bool) {
	if !c.holdsBack || now.Sub(c.heldBackSince) < rejectAfter {
		return 0, false
	}
	for _, st := range c.runnable {
		if st.queue.Name != q.Name || st.job.Started || st.spec.LongRunning || st.job.Spec.Occurrences > 0 {
			continue // the objective of a periodic job does not count from its acceptance
		}
		if st.holdsForQuota() {
			continue // another team need not wait for it
		}
		latestStart := st.job.sloDeadline.Add(-st.job.Spec.CriticalPath())
		return now.Sub(st.job.Spec.Accepted), now.After(latestStart) // the first one in scheduling order
	}
	return 0, false
}
