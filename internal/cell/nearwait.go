package cell

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyrack/daisyrack/internal/near"
)

// nearRecheckInterval is the time between two decisions about a waiting step: about as long as a few near places
// take to become free, and rare enough that a crowd of steps does not take the owner's processor.
const nearRecheckInterval = 50 * time.Millisecond

// nearRecheckSteps is the number of steps that wait for a rack from which the interval grows with their number: each
// decision goes through all of them, so that the time for all decisions would grow with the square of it.
const nearRecheckSteps = 32

var (
	nearWaits       = metrics.NewCounter("near_waits_total")
	nearPlaces      = metrics.NewCounter("near_places_total")
	nearGivenUp     = metrics.NewCounter("near_waits_given_up_total")
	nearAway        = metrics.NewCounter("near_tasks_elsewhere_total")
	nearWaitSeconds = metrics.NewHistogram("near_wait_seconds")
	nearSecondsWon  = metrics.NewFloatCounter("near_won_seconds_total")
	nearSecondsLost = metrics.NewFloatCounter("near_lost_seconds_total")
)

// nearWait is the wait of a step for near places.
type nearWait struct {
	// tasks is the number of tasks that wait; 0 means that the step does not.
	tasks int
	// beganAt is when the wait began, checkedAt when it was last decided that it goes on, until when at that time.
	beganAt, checkedAt, until time.Time
	gain                      time.Duration
	placed                    int
	// over is set once the step has given up, so that it does not wait again.
	over bool
}

// wantedRack is a rack that steps wait for.
type wantedRack struct {
	// steps are those that wait, in no order.
	steps []*stepState
	// gotAt is when a waiting step last got a place, or the first one began to wait.
	gotAt time.Time
}

// updateNearWait decides how many of the missing tasks of a step wait while others could start elsewhere now.
func (c *Core) updateNearWait(now time.Time, st *stepState, missing int) int {
	if st.near.over {
		return 0
	}
	if st.near.tasks >= missing && now.Before(st.near.until) && !c.nearCheckIsDue(now, st) {
		return missing
	}
	d := c.decideNear(now, st, missing)
	if d.Tasks == 0 {
		if !st.near.beganAt.IsZero() {
			c.giveUpNear(now, st, missing, string(d.Reason))
		}
		return 0
	}
	if st.near.beganAt.IsZero() {
		st.near.beganAt, st.near.gain = now, c.gain(st)
		c.Stats.NearWaits++
		nearWaits.Inc()
	}
	c.joinRack(now, st)
	st.near.tasks, st.near.checkedAt, st.near.until = d.Tasks, now, now.Add(d.Max)
	return d.Tasks
}

// nearCheckIsDue reports whether it is time to decide again about a waiting step.
func (c *Core) nearCheckIsDue(now time.Time, st *stepState) bool {
	interval := nearRecheckInterval
	if w := c.near.wanted[st.rack()]; w != nil {
		interval *= time.Duration(max(1, len(w.steps)/nearRecheckSteps))
	}
	return now.Sub(st.near.checkedAt) >= interval
}

// joinRack adds the step to those that wait for its rack.
func (c *Core) joinRack(now time.Time, st *stepState) {
	if c.near.wanted == nil {
		c.near.wanted = make(map[string]*wantedRack)
	}
	w := c.near.wanted[st.rack()]
	if w == nil {
		w = &wantedRack{}
		c.near.wanted[st.rack()] = w
	}
	if slices.Contains(w.steps, st) {
		return
	}
	if len(w.steps) == 0 {
		w.gotAt = now
	}
	w.steps = append(w.steps, st)
}

// leaveRack removes the step from those that wait for its rack.
func (c *Core) leaveRack(st *stepState) {
	w := c.near.wanted[st.rack()]
	if w == nil {
		return
	}
	w.steps = slices.DeleteFunc(w.steps, func(other *stepState) bool { return other == st })
}

// countPlaces counts tasks of a step that got near places. The wait ends with the last one.
func (c *Core) countPlaces(now time.Time, st *stepState, n int) {
	if n == 0 || st.near.beganAt.IsZero() || st.near.over {
		return
	}
	waited := now.Sub(st.near.beganAt)
	won := float64(n) * (st.near.gain - waited).Seconds()
	st.near.placed += n
	c.Stats.NearPlaces += int64(n)
	nearPlaces.Add(n)
	if won >= 0 {
		nearSecondsWon.Add(won)
	} else {
		nearSecondsLost.Add(-won)
	}
	if w := c.near.wanted[st.rack()]; w != nil {
		w.gotAt = now
	}
	st.near.tasks = max(st.near.tasks-n, 0)
	if len(st.pending) == 0 {
		c.endNearWait(now, st, 0, "all tasks started")
	}
}

// giveUpNear ends the wait of a step whose remaining tasks start anywhere.
func (c *Core) giveUpNear(now time.Time, st *stepState, tasks int, why string) {
	c.Stats.NearGivenUp++
	nearGivenUp.Inc()
	nearSecondsLost.Add(float64(tasks) * now.Sub(st.near.beganAt).Seconds())
	c.endNearWait(now, st, tasks, why)
	st.near.over = true
	st.fullScan = true
}

// endNearWait ends the wait of a step.
func (c *Core) endNearWait(now time.Time, st *stepState, left int, why string) {
	c.leaveRack(st)
	nearWaitSeconds.Update(now.Sub(st.near.beganAt).Seconds())
	c.Log.WithField("job", st.job.ID).WithField("step", st.stepID.Step).WithField("rack", st.rack()).
		WithField("placed", st.near.placed).WithField("given_up", left).WithField("why", why).
		WithField("waited_ms", now.Sub(st.near.beganAt).Milliseconds()).WithField("gain_ms", st.near.gain.Milliseconds()).
		Info("wait for a near place ended")
	st.near = nearWait{}
}

// updateNearWaits ends the waits that no longer pay, and lets tasks start elsewhere that need not wait any more.
func (c *Core) updateNearWaits(now time.Time) {
	for _, st := range c.waitingForNear() {
		switch {
		case !st.queued || st.job.State.Final():
			c.endNearWait(now, st, 0, "no task is left to start")
		case !now.Before(st.near.until):
			c.giveUpNear(now, st, len(st.pending), string(near.Limit))
		case c.nearCheckIsDue(now, st):
			missing := st.quotaRoom()
			if st.spec.Gang {
				missing = st.near.tasks
			}
			if missing == 0 {
				continue // the quota of the team holds the step back
			}
			if was := st.near.tasks; c.updateNearWait(now, st, missing) < min(was, missing) {
				st.fullScan = true
			}
		}
	}
}

// waitingForNear returns the waiting steps in scheduling order.
func (c *Core) waitingForNear() []*stepState {
	var out []*stepState
	for _, w := range c.near.wanted {
		out = append(out, w.steps...)
	}
	slices.SortFunc(out, func(a, b *stepState) int {
		if schedulesBefore(a, b) {
			return -1
		}
		return 1
	})
	return out
}
