package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	// targetShare of a task's target is where fillers beside it are slowed down, so that the
	// target holds although the figure is half a second old.
	throttleThreshold = 0.85

	// calmShare of the target is where fillers may work faster again.
	unthrottleThreshold = 0.6

	// paceStep is added to the pace of a filler at once, in percent.
	cpuPercentStep = 20

	// paceInterval is the least time between two changes: the figure covers half a second and
	// a new pace takes effect after a tenth.
	throttleInterval = 700 * time.Millisecond

	// lagLeast and lagFactor, in estimates, are how long a run may take before it is copied;
	// estimates are off by half and more.
	minStragglerTime = 500 * time.Millisecond
	stragglerFactor  = 1.3

	// stallLeast is how long a run may stand still before it is started elsewhere: a lost answer
	// hides its progress for half as long. stallPercent, in percent of the estimate, is the same for
	// long runs.
	minStallTime = 800 * time.Millisecond
	stallPercent = 8

	// stallPause keeps new tasks away from an executor on which a run stands still.
	stallBackoff = 3 * time.Second

	// slowWeight is the weight of one task in the learned slowness of an executor.
	slowdownWeight = 0.15
)

// control paces the fillers of an executor by the response times of the tasks beside them.
func (c *Core) throttleBestEffort(now time.Time, ex *executor) {
	worst := 0.0
	for _, r := range ex.runs {
		if target := r.spec().LatencyTarget; target > 0 && !r.stopping {
			worst = max(worst, r.gauge/float64(target.Milliseconds()))
		}
	}
	for _, r := range ex.sortedRuns() {
		if !r.spec().BestEffort || r.stopping || r.commandPending || r.confirmedAt.IsZero() || now.Sub(r.throttledAt) < throttleInterval {
			continue
		}
		pace := nextCPUPercent(r.cpuPercent, worst)
		if pace == r.cpuPercent {
			continue
		}
		r.cpuPercent = pace
		r.throttledAt = now
		r.commandPending = true
		c.Stats.Throttled++
		c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
			WithField("executor", ex.ID).WithField("percent", pace).WithField("target_share", worst).Info("filler paced")
		c.commands = append(c.commands, Command{
			Executor: ex.Executor, run: r,
			Throttle: &fleet.Throttle{Task: r.task, Number: r.number, Percent: pace, Epoch: c.Epoch},
		})
	}
}

// nextPace halves the pace while a target is in danger and raises it step by step afterwards.
func nextCPUPercent(pace int, worst float64) int {
	switch {
	case worst > throttleThreshold:
		if pace <= cpuPercentStep {
			return 0
		}
		return pace / 2
	case worst < unthrottleThreshold && pace < fullCPUPercent:
		return min(pace+cpuPercentStep, fullCPUPercent)
	}
	return pace
}

// copyRuns starts second runs of the tasks on an executor that does not answer, where copies
// are allowed.
func (c *Core) speculateAll(ex *executor) {
	for _, r := range ex.sortedRuns() {
		if r.spec().AllowConcurrentRuns {
			c.speculate(r)
		}
	}
}

// copyRun queues a second run of a task; the first one that is done counts.
func (c *Core) speculate(r *run) {
	st := r.job.steps[stepOf(r.task)]
	if r.speculated || r.stopping || st == nil || st.spec.Gang || len(r.job.runs[r.task]) > 1 {
		return
	}
	r.speculated = true
	c.Stats.SpeculativeRuns++
	st.addPending(r.task.Index)
	c.enqueue(st)
}

// lags reports whether a run, where copies are allowed, takes so much longer than estimated that
// a second one is likely to be done sooner.
func (c *Core) isStraggler(now time.Time, r *run) bool {
	spec := r.spec()
	if !spec.AllowConcurrentRuns || r.speculated || spec.Estimate <= 0 {
		return false
	}
	elapsed := now.Sub(r.startedAt)
	if elapsed < max(minStragglerTime, time.Duration(stragglerFactor*float64(spec.Estimate))) {
		return false
	}
	left := float64(elapsed) * (100 - r.percent) / max(r.percent, 1)
	return left > float64(spec.Estimate)
}

// stalls reports whether a run makes no progress at all; even on a slow executor some percent are
// gained within stallLeast.
func (r *run) isStalled(now time.Time) bool {
	spec := r.spec()
	if spec.LongRunning || spec.Gang || spec.BestEffort || r.stopping || r.cpuPercent < fullCPUPercent || r.percent >= 100 {
		return false
	}
	least := max(minStallTime, time.Duration(stallPercent*float64(spec.Estimate)/100))
	return now.Sub(r.progressAt) > least
}

// restart stops a run that stands still, so that its task starts on another executor.
func (c *Core) restartElsewhere(now time.Time, r *run) {
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("percent", r.percent).
		WithField("still_ms", now.Sub(r.progressAt).Milliseconds()).Info("run stands still: its task starts elsewhere")
	c.Stats.StalledRuns++
	r.step.failuresOn[r.ex.ID]++
	r.ex.avoidUntil = now.Add(stallBackoff)
	c.stopRun(now, r, "run stands still")
}

// learn updates what is known of an executor by the end of a run.
func (c *Core) recordOutcome(now time.Time, r *run, kind fleet.EndKind) {
	switch kind {
	case fleet.Failed:
		if r.ex.recordFailure(now) {
			c.Log.WithField("executor", r.ex.ID).WithField("failures", r.ex.failures).
				WithField("kept_away_ms", r.ex.avoidUntil.Sub(now).Milliseconds()).Warn("executor fails what it starts: no new tasks")
		}
	case fleet.Done:
		r.ex.recordSuccess()
		if estimate := r.spec().Estimate; estimate > 0 && !r.startedAt.IsZero() && r.start != nil {
			took := min(float64(now.Sub(r.startedAt))/float64(estimate), 8)
			r.ex.slowdown += slowdownWeight * (max(took, 0.5) - r.ex.slowdown)
		}
	}
}

// evacuate moves from a leaving executor what would not end in time or is better resumed elsewhere.
func (c *Core) evacuate(now time.Time, ex *executor) {
	for _, r := range ex.sortedRuns() {
		spec := r.spec()
		left := time.Duration(float64(spec.Estimate) * (1 - r.percent/100))
		if spec.LongRunning || spec.SavesCheckpoints && left > ex.MinRemaining {
			c.stopRun(now, r, "executor leaves")
		}
	}
}
