package cell

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var restartSeconds = metrics.NewHistogram("long_running_restart_seconds")

const (
	// waitReportAfter is how long a step may wait although there is room before that is logged. Callers
	// take a job for lost after 3 s.
	waitReportAfter = 2 * time.Second

	// waitUpdateInterval is the interval at which waiting steps are looked for. Doing so in each scheduling
	// pass took 3% of the processor of the owner of 1,100 executors.
	waitUpdateInterval = 100 * time.Millisecond

	// waitPatience is how long a step waits for an executor that is not kept away.
	waitPatience = time.Second

	// maxHoldBack is how long a step of a job with nothing running may be held back while the owner is
	// behind, so that accepted work is late but not forgotten.
	maxHoldBack = 10 * time.Second

	// roomyShare is the share of the fleet's CPU in use below which no step should have to wait. Callers
	// take a job for lost that waits while half is in use.
	roomyShare = 0.6

	// waitReportInterval is the time between two searches for such steps, and maxWaitReports the
	// number of steps of each kind, long-running or not, examined in one of them, since each needs a
	// look at all executors. waitExamineInterval is the time between two looks at one step.
	waitReportInterval  = time.Second
	maxWaitReports      = 8
	waitExamineInterval = 2 * time.Second

	// waitRepeatInterval is the time after which a long-running step is reported again, since other tasks
	// of it may wait by then.
	waitRepeatInterval = 5 * time.Second

	// roomFactor is how many times over there must be room for a step that waits.
	roomFactor = 2
)

// updateWaiting records since when each step with tasks to start has been waiting: accepted and, unless its
// tasks are long-running, with nothing of its job running. After waitPatience it uses executors that are
// kept away, unless its pool is so full that it may have to wait for room: a failed run costs one of few
// attempts. Long-running tasks may fail any number of times.
func (c *Core) updateWaiting(now time.Time) {
	if now.Sub(c.waitUpdatedAt) < waitUpdateInterval {
		return
	}
	c.waitUpdatedAt = now
	for _, st := range c.runnable {
		if !st.job.accepted || st.holdsForQuota() || len(st.job.runs) > 0 && !st.spec.LongRunning {
			st.waitingSince, st.waitReported, st.impatient = time.Time{}, false, false
			continue
		}
		if st.waitingSince.IsZero() {
			st.waitingSince = now
		}
		st.heldTooLong = now.Sub(st.waitingSince) > maxHoldBack
		was := st.impatient
		st.impatient = now.Sub(st.waitingSince) > waitPatience && st.near.tasks == 0 && (st.spec.LongRunning || c.pool(st.queue.Service).hasRoom())
		st.fullScan = st.fullScan || st.impatient && !was
	}
}

// observeRestart records how long a long-running task did not run between two of its runs.
func (c *Core) observeRestart(now time.Time, st *stepState, index int, ex *executor) {
	ended, ok := st.endedAt[index]
	if !ok {
		return
	}
	delete(st.endedAt, index)
	gap := now.Sub(ended)
	restartSeconds.Update(gap.Seconds())
	if gap > waitReportAfter {
		c.Log.WithField("job", st.job.ID).WithField("step", st.stepID.Step).WithField("index", index).
			WithField("executor", ex.ID).WithField("gap_ms", gap.Milliseconds()).WithField("pending", len(st.pending)).
			Warn("long-running task started again late")
	}
}

// resetWaiting records that the step does not wait.
func (st *stepState) resetWaiting() {
	st.waitingSince, st.waitReported, st.impatient, st.heldTooLong = time.Time{}, false, false, false
}

// reportWaiting logs the steps that wait although there is room, with the reasons, and counts them. A backlog
// of other steps does not keep long-running ones from being examined.
func (c *Core) reportWaiting(now time.Time) {
	if now.Sub(c.waitReportedAt) < waitReportInterval {
		return
	}
	c.waitReportedAt = now
	examined := make(map[bool]int)
	for position, st := range c.runnable {
		if st.waitingSince.IsZero() || now.Sub(st.waitingSince) < waitReportAfter || now.Before(st.examineAt) ||
			st.waitReported && !st.spec.LongRunning || examined[st.spec.LongRunning] == maxWaitReports {
			continue
		}
		examined[st.spec.LongRunning]++
		c.examineStep(now, st, position)
	}
}

// examineStep logs why a step waits if there is room for it.
func (c *Core) examineStep(now time.Time, st *stepState, position int) {
	st.examineAt = now.Add(waitExamineInterval)
	reasons := make(map[string]int)
	room := 0
	for _, ex := range c.sortedExecutors {
		if reason, counts := c.obstacle(now, st, ex); reason != "" {
			fits := c.fits(st, ex)
			if fits == 0 {
				continue
			}
			reasons[reason] += fits
			if counts {
				room += fits
			}
		}
	}
	need := 1
	if st.spec.Gang {
		need = st.spec.Count
	}
	if room < roomFactor*need {
		return
	}
	if !st.waitReported {
		c.Stats.StepsWaited++
	}
	st.waitReported = true
	st.examineAt = now.Add(waitRepeatInterval)
	var why []string
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		why = append(why, reason+" "+strconv.Itoa(reasons[reason]))
	}
	c.Log.WithField("job", st.job.ID).WithField("step", st.stepID.Step).WithField("queue", st.queue.Name).
		WithField("pending", len(st.pending)).WithField("gang", st.spec.Gang).WithField("long_running", st.spec.LongRunning).
		WithField("waited_ms", now.Sub(st.waitingSince).Milliseconds()).WithField("room", room).
		WithField("why", strings.Join(why, ", ")).WithField("suspects", st.hasSuspects()).
		WithField("reserve_left", c.leavesReserve(st, need)).WithField("calls", st.adviceInFlight).
		WithField("position", position).Warn("step waits although there is room")
}

// obstacle returns why the step starts no task on an executor, and whether the room there counts as room
// for the step; the reason is empty for executors that it can never use.
func (c *Core) obstacle(now time.Time, st *stepState, ex *executor) (reason string, counts bool) {
	incarnation, asked := st.asked[ex.ID]
	asked = asked && incarnation == ex.incarnation
	_, asking := st.asking[ex.ID]
	switch {
	case !st.matches(ex) || ex.Draining:
		return "", false
	case asked && st.tickets[ex.ID].incarnation != ex.incarnation:
		return "denied", false
	case !ex.claimed:
		return "not claimed", false
	case ex.missedPolls >= maxMissedPolls:
		return "silent", false
	case !ex.listed && now.Sub(ex.unlistedAt) >= unlistedGrace:
		return "without entry", false
	case !ex.entryIsCurrent() || !c.entryIsValid(now, ex):
		return "outdated entry", true
	case ex.unconfirmedStarts > 0:
		return "unconfirmed start", true
	case ex.unknownRuns > 0:
		return "unknown run", true
	case now.Before(ex.avoidUntil):
		return "kept away", true
	case ex.inTrial(now):
		return "trial", true
	case !c.mayStart(now) || !c.trusted(now, ex):
		return "ownership not confirmed", true
	case !c.canStart(now, ex):
		return "short lease", true
	case asking:
		return "advice in progress", true
	case st.queue.Advice != nil && !c.hasTicket(now, st, ex) && c.isPromised(st, ex):
		return "promised to other calls", true
	case st.queue.Advice != nil && !asked:
		return "not asked", true
	case st.queue.Advice != nil && !c.hasTicket(now, st, ex):
		return "ticket expired", true
	case st.near.tasks > 0 && st.near.tasks >= st.quotaRoom() && !st.isNear(ex):
		return "waits for a near place", false
	case !st.job.recordedOn[ex.ID]:
		return "not recorded", true
	case !c.leavesHeldRoom(now, st, ex):
		return "held for an earlier step", true
	}
	return "usable", true
}
