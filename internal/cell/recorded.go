package cell

import (
	"slices"
	"time"
)

// copiesUnlockAfter is how long a step of which copies are allowed waits for executors that have
// not been claimed; those within reach are claimed sooner.
const concurrentUnblockAfter = 400 * time.Millisecond

// lock makes a step wait for the executors on which an earlier owner may have started its tasks.
func (c *Core) blockStep(st *stepState) {
	if !st.job.restored {
		return
	}
	for _, id := range st.job.Executors() {
		if c.blocked == nil {
			continue // all leases of earlier owners have ended
		}
		if ex := c.executors[id]; ex == nil || !ex.runsKnown {
			st.unclaimed[id] = true
			c.blocked[id] = append(c.blocked[id], st)
		}
	}
}

// unlock lets steps go on that waited for an executor, once all that ran there is known.
func (c *Core) unblockSteps(id string) {
	if ex := c.executors[id]; ex != nil {
		ex.runsKnown = true
	}
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

// unlockInTime lets steps go on whose executors do not answer: those of which copies are allowed
// soon, the others when the leases of earlier owners have ended.
func (c *Core) unblockOverdue(now time.Time) {
	if c.blocked == nil {
		return
	}
	lapsed := !now.Before(c.priorLeasesExpiry())
	if !lapsed && now.Sub(c.TakeoverAt) < concurrentUnblockAfter {
		return
	}
	unreached := len(c.blocked)
	steps := 0
	for _, id := range c.blockingExecutors() {
		c.blocked[id] = slices.DeleteFunc(c.blocked[id], func(st *stepState) bool {
			if !lapsed && !st.spec.AllowConcurrentRuns {
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
			WithField("steps", steps).WithField("leases_ended", lapsed).
			Info("steps go on without executors of earlier owners that do not answer")
	}
	if lapsed {
		c.blocked = nil
	}
}

// lockedIDs returns the executors that steps wait for, in order.
func (c *Core) blockingExecutors() []string {
	ids := make([]string, 0, len(c.blocked))
	for id := range c.blocked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// propose has executors stored as places of a job, so that its tasks can be started there.
func (c *Core) recordExecutors(j *job, ids []string) {
	// A rejected job is no longer known while its call of the policy service is in progress.
	if c.jobs[j.ID] != j || j.State.Final() || !j.AddExecutors(ids) {
		return
	}
	c.writes.markDirty(j)
	c.writes.recordDue = true
}

// nominate proposes executors for a step that needs no tickets.
func (c *Core) recordCandidates(now time.Time, st *stepState) {
	if now.Before(st.nextAdviceAt) || !c.leavesReserve(st, 1) {
		return
	}
	st.nextAdviceAt = now.Add(adviceRecheckInterval)
	known := make(map[string]bool)
	for _, id := range st.job.Executors() {
		known[id] = true
	}
	room := 0
	var options []option
	for _, ex := range c.sortedExecutors {
		if !c.isEligible(now, st, ex) {
			continue
		}
		fits := c.fits(st, ex)
		switch {
		case fits == 0:
		case known[ex.ID]:
			room += fits
		default:
			options = append(options, option{ex: ex, fits: fits, penalty: penalty(st, ex)})
		}
	}
	if room >= len(st.pending) {
		return
	}
	var ids []string
	for _, ex := range chooseExecutors(options, room, len(st.pending), 1, maxAdviceExecutors) {
		ids = append(ids, ex.ID)
	}
	c.recordExecutors(st.job, ids)
}
