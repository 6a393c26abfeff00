package cell

import (
	"slices"
	"time"
)

// concurrentUnblockAfter is how long a step that allows concurrent runs waits for executors that
// are not claimed. Reachable executors are claimed sooner.
const concurrentUnblockAfter = 400 * time.Millisecond

// blockStep blocks a step until the executors on which an earlier owner may have started its tasks
// are claimed.
func (c *Core) blockStep(st *stepState) {
	if !st.job.restored {
		return
	}
	for _, id := range st.job.Executors() {
		if c.blocked == nil || c.priorLeaseEnded[id] {
			continue // all leases of earlier owners have expired
		}
		if ex := c.executors[id]; ex == nil || !ex.runsKnown {
			st.unclaimed[id] = true
			c.blocked[id] = append(c.blocked[id], st)
		}
	}
}

// unblockSteps records that all runs on an executor are known, and unblocks the steps that waited
// only for it.
func (c *Core) unblockSteps(id string) {
	if ex := c.executors[id]; ex != nil {
		ex.runsKnown = true
	}
	c.endAssumptions(id)
	for _, st := range c.blocked[id] {
		delete(st.unclaimed, id)
		if len(st.unclaimed) == 0 {
			c.refillPending(st)
		}
	}
	if c.blocked != nil {
		delete(c.blocked, id)
	}
}

// unblockOverdue unblocks steps whose executors do not respond: those that allow concurrent runs
// after a short wait, the others when the leases of earlier owners have expired.
func (c *Core) unblockOverdue(now time.Time) {
	if c.blocked == nil {
		return
	}
	waited := now.Sub(c.TakeoverAt) >= concurrentUnblockAfter
	if !waited && len(c.PriorLeases) == 0 {
		return
	}
	unreached, steps, anyEnded := len(c.blocked), 0, false
	for _, id := range c.blockingExecutors() {
		ended := c.hasExpired(now, c.priorLeaseExpiry(id))
		if !ended && !waited {
			continue
		}
		if ended {
			anyEnded, c.priorLeaseEnded[id] = true, true
		}
		c.blocked[id] = slices.DeleteFunc(c.blocked[id], func(st *stepState) bool {
			if !ended && !st.spec.AllowConcurrentRuns {
				return false
			}
			steps++
			delete(st.unclaimed, id)
			if len(st.unclaimed) == 0 {
				c.refillPending(st)
			}
			return true
		})
		if len(c.blocked[id]) == 0 {
			delete(c.blocked, id)
		}
	}
	if steps > 0 {
		c.Log.WithField("after_ms", now.Sub(c.TakeoverAt).Milliseconds()).WithField("unreached", unreached).
			WithField("steps", steps).WithField("leases_ended", anyEnded).
			Info("unblocked steps waiting for unresponsive executors of earlier owners")
	}
	if c.hasExpired(now, c.priorLeasesExpiry()) {
		c.confirmCrashesOfGone()
		c.blocked = nil
	}
}

// blockingExecutors returns the sorted IDs of the executors that steps wait for.
func (c *Core) blockingExecutors() []string {
	ids := make([]string, 0, len(c.blocked))
	for id := range c.blocked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// recordExecutors schedules storing executors for a job, so that its tasks can start there.
func (c *Core) recordExecutors(j *job, ids []string) {
	// The job may have been rejected while its call to the policy service was in flight.
	if c.jobs[j.ID] != j || j.State.Final() || !j.AddExecutors(ids) {
		return
	}
	c.writes.newPlaces[j.ID] = j
	c.writes.recordDue = true
	if c.formerFollowers {
		c.writes.markDirty(j)
	}
}

// SetFormerFollowers tells whether an instance of a former version may take over. Executors are then stored with the
// progress as well.
func (c *Core) SetFormerFollowers(former bool) {
	if former && !c.formerFollowers {
		for _, j := range c.jobs {
			if !j.State.Final() {
				c.writes.markDirty(j)
			}
		}
	}
	c.formerFollowers = former
}

// recordCandidates selects and records executors for a step that needs no tickets.
func (c *Core) recordCandidates(now time.Time, st *stepState) {
	if now.Before(st.nextAdviceAt) || !c.leavesReserve(st, 1) {
		return
	}
	st.nextAdviceAt = now.Add(adviceRecheckInterval)
	c.recordNear(now, st)
	known := make(map[string]bool)
	for _, id := range st.job.Executors() {
		known[id] = true
	}
	placeable := 0
	var options []option
	for _, roomy := range c.roomyExecutors(now, st) {
		ex := roomy.executor
		if !c.isEligible(now, st, ex) {
			continue
		}
		fits := c.fits(st, ex)
		switch {
		case fits == 0:
		case known[ex.ID]:
			placeable += fits
		default:
			options = append(options, option{ex: ex, fits: fits, penalty: penalty(st, ex)})
		}
	}
	if placeable >= len(st.pending) {
		return
	}
	var ids []string
	for _, ex := range chooseExecutors(options, placeable, len(st.pending), 1, maxAdviceExecutors) {
		ids = append(ids, ex.ID)
	}
	c.recordExecutors(st.job, ids)
}
