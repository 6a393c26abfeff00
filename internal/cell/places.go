package cell

import (
	"slices"
	"time"
)

// copiesUnlockAfter is how long a step of which copies are allowed waits for executors that have
// not been claimed; those within reach are claimed sooner.
const copiesUnlockAfter = 400 * time.Millisecond

// lock makes a step wait for the executors on which an earlier owner may have started its tasks.
func (c *Core) lock(w *work) {
	if !w.job.restored {
		return
	}
	for _, id := range w.job.Executors() {
		if c.locked == nil {
			continue // all leases of earlier owners have ended
		}
		if ex := c.execs[id]; ex == nil || !ex.searched {
			w.unclaimed[id] = true
			c.locked[id] = append(c.locked[id], w)
		}
	}
}

// unlock lets steps go on that waited for an executor, once all that ran there is known.
func (c *Core) unlock(id string) {
	if ex := c.execs[id]; ex != nil {
		ex.searched = true
	}
	for _, w := range c.locked[id] {
		delete(w.unclaimed, id)
		if len(w.unclaimed) == 0 {
			c.refill(w)
		}
	}
	if c.locked != nil {
		delete(c.locked, id)
	}
}

// unlockInTime lets steps go on whose executors do not answer: those of which copies are allowed
// soon, the others when the leases of earlier owners have ended.
func (c *Core) unlockInTime(now time.Time) {
	if c.locked == nil {
		return
	}
	lapsed := !now.Before(c.allLapsed())
	if !lapsed && now.Sub(c.Taken) < copiesUnlockAfter {
		return
	}
	unreached := len(c.locked)
	steps := 0
	for _, id := range c.lockedIDs() {
		c.locked[id] = slices.DeleteFunc(c.locked[id], func(w *work) bool {
			if !lapsed && !w.spec.AllowConcurrentRuns {
				return false
			}
			steps++
			delete(w.unclaimed, id)
			if len(w.unclaimed) == 0 {
				c.refill(w)
			}
			return true
		})
		if len(c.locked[id]) == 0 {
			delete(c.locked, id)
		}
	}
	if steps > 0 {
		c.Log.WithField("after_ms", now.Sub(c.Taken).Milliseconds()).WithField("unreached", unreached).
			WithField("steps", steps).WithField("leases_ended", lapsed).
			Info("steps go on without executors of earlier owners that do not answer")
	}
	if lapsed {
		c.locked = nil
	}
}

// lockedIDs returns the executors that steps wait for, in order.
func (c *Core) lockedIDs() []string {
	ids := make([]string, 0, len(c.locked))
	for id := range c.locked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// propose has executors stored as places of a job, so that its tasks can be started there.
func (c *Core) propose(j *job, ids []string) {
	// A rejected job is no longer known while its call of the policy service is in progress.
	if c.jobs[j.ID] != j || j.State.Final() || !j.AddExecutors(ids) {
		return
	}
	c.keep.changed(j)
	c.keep.places = true
}

// nominate proposes executors for a step that needs no tickets.
func (c *Core) nominate(now time.Time, w *work) {
	if now.Before(w.askAfter) || !c.mayGrow(w, 1) {
		return
	}
	w.askAfter = now.Add(askPause)
	known := make(map[string]bool)
	for _, id := range w.job.Executors() {
		known[id] = true
	}
	room := 0
	var options []option
	for _, ex := range c.ordered {
		if !c.mayRun(now, w, ex) {
			continue
		}
		fits := c.fits(w, ex)
		switch {
		case fits == 0:
		case known[ex.ID]:
			room += fits
		default:
			options = append(options, option{ex: ex, fits: fits, penalty: penalty(w, ex)})
		}
	}
	if room >= len(w.pending) {
		return
	}
	var ids []string
	for _, ex := range choose(options, room, len(w.pending), 1, maxAsked) {
		ids = append(ids, ex.ID)
	}
	c.propose(w.job, ids)
}
