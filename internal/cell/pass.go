package cell

import (
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// frontSteps is the number of steps, in scheduling order, that each pass goes through, besides those with new
	// tasks or tickets. Those behind them hardly ever find room. They have their turn in rounds that begin at least
	// rearInterval apart and take rearRoundPasses passes, or fewer with rearSteps of them a pass: the time of
	// the passes of a second must not grow with the number of passes times that of the steps that wait.
	frontSteps      = 32
	rearSteps       = 128
	rearRoundPasses = 4
	rearInterval    = 50 * time.Millisecond
)

// pass is the state of one scheduling pass.
type pass struct {
	// position is that of the next step in scheduling order, rear the number of steps behind the front ones that the
	// pass has gone through in their turn, up to maxRear.
	position, rear, maxRear int
}

// visit reports whether a pass goes through the next step.
func (c *Core) visit(now time.Time, p *pass, st *stepState) bool {
	inRear := p.position >= frontSteps && !st.fullScan
	if inRear && (p.rear >= p.maxRear || !st.visitedAt.Before(c.rearRoundAt)) {
		st.skipped = true
		return false
	}
	if c.skipsForQuota(now, st) {
		return false // it takes no place from others
	}
	p.position++
	if inRear {
		p.rear++
	}
	st.visitedAt = now
	c.Stats.StepsVisited++
	if st.skipped {
		st.skipped, st.fullScan = false, true
	}
	return true
}

// Schedule starts pending tasks that fit, in scheduling order. A step that did not fit is tried
// again on executors that have free capacity since, or on all when it has new tickets or tasks.
func (c *Core) Schedule(now time.Time) {
	c.Stats.Passes++
	c.refreshAssumptions()
	c.clearClaims()
	freed := c.freed
	c.freed = nil
	for _, ex := range freed {
		ex.freed = false
	}
	failed := make(map[*stepState]fleet.TaskID)
	p := pass{maxRear: max(rearSteps, len(c.runnable)/rearRoundPasses)}
	c.runnable = slices.DeleteFunc(c.runnable, func(st *stepState) bool {
		c.seeClaims(st)
		if !c.visit(now, &p, st) {
			c.claimRoom(now, st)
			return false
		}
		if t, ok := c.crashingTask(now, st); ok {
			failed[st] = t
			st.queued = false
			return true
		}
		if st.queue.Advice == nil && len(st.pending) > 0 {
			c.recordCandidates(now, st)
		}
		if st.job.accepted && len(st.pending) > 0 {
			c.startTasks(now, st, freed)
		}
		c.claimRoom(now, st)
		st.queued = len(st.pending) > 0
		if !st.queued {
			st.endTrialWait()
		}
		return !st.queued
	})
	if p.rear < p.maxRear && now.Sub(c.rearRoundAt) >= rearInterval {
		c.rearRoundAt = now
	}
	for st, t := range failed {
		c.Stats.Failed++
		c.logCrashingTask(st.job, t)
		c.finishJob(now, st.job)
	}
}

// markFreed records that an executor may have capacity for tasks that did not fit before.
func (c *Core) markFreed(ex *executor) {
	if !ex.freed {
		ex.freed = true
		c.freed = append(c.freed, ex)
	}
}

func (c *Core) startTasks(now time.Time, st *stepState, freed []*executor) {
	if st.spec.Gang && c.stopPartOfGang(now, st) {
		return
	}
	if !c.leavesReserve(st, 1) || !c.leavesClaims(st, st.quotaTasks()) {
		st.fullScan, st.skipped = false, true // the next visit considers all executors
		return
	}
	st.updateTrial(now)
	st.scansAll = st.fullScan || st.spec.Gang
	if st.spec.Gang {
		c.tryGang(now, st, freed)
		return
	}
	var candidates []place.Candidate
	if st.fullScan {
		candidates = c.candidates(now, st)
	} else {
		candidates = c.candidatesAmong(now, st, freed)
	}
	st.fullScan = false
	if len(candidates) == 0 {
		return
	}
	if st.waitsForNear() {
		c.placeTasksNear(now, st, candidates)
		return
	}
	c.placeTasks(now, st, candidates, 0)
}

// placeTasks starts the pending tasks of a step that fit on the candidates, except as many as are kept.
func (c *Core) placeTasks(now time.Time, st *stepState, candidates []place.Candidate, keep int) {
	waiting := 0
	for waiting < len(st.pending)-keep {
		index := st.pending[waiting]
		if !c.leavesReserve(st, 1) || !c.leavesClaims(st, 1) {
			st.skipped = true
			return
		}
		if st.holdsForQuota() {
			c.holdForQuota(now, st)
			return
		}
		suspect := st.isSuspect(index)
		number := c.nextRunNumber(st.job, st.taskID(index))
		ex := c.allocate(now, st, index, number, candidates)
		if ex == nil {
			st.job.lastRunNumber[st.taskID(index)]--
			if !suspect {
				return
			}
			waiting++ // the other tasks of the step need not wait for it
			continue
		}
		if waiting == 0 {
			st.pending = st.pending[1:]
		} else {
			st.pending = slices.Delete(st.pending, waiting, waiting+1)
		}
		c.startRun(now, st, index, number, ex)
		if suspect {
			candidates = without(candidates, ex)
		}
	}
}
