package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	// throttleThreshold is the fraction of a task's latency target above which best-effort tasks on
	// the same executor are throttled. It is below 1 so that the target is met although the
	// reported latency is half a second old.
	throttleThreshold = 0.85

	// unthrottleThreshold is the fraction of the target below which throttling is relaxed.
	unthrottleThreshold = 0.6

	// cpuPercentStep is added to the CPU share of a best-effort task at a time, in percent.
	cpuPercentStep = 20

	// throttleInterval is the minimum time between two changes: the reported latency covers half a
	// second, and a new CPU share takes effect after a tenth of a second.
	throttleInterval = 700 * time.Millisecond

	// A run counts as a straggler only after minStragglerTime and after stragglerFactor times its
	// estimate. Estimates are off by 50% and more.
	minStragglerTime = 500 * time.Millisecond
	stragglerFactor  = 1.3

	// minStallTime is how long a run may make no progress before its task is started elsewhere. A
	// lost response hides progress for half as long. stallPercent is the same limit for long runs,
	// in percent of the estimate.
	minStallTime = 800 * time.Millisecond
	stallPercent = 8

	// stallBackoff is how long an executor with a stalled run gets no new tasks.
	stallBackoff = 3 * time.Second

	// slowdownWeight is the weight of one task in the moving average of an executor's slowdown.
	slowdownWeight = 0.15
)

// throttleBestEffort adjusts the CPU share of the best-effort tasks on an executor to the response
// times of the latency-sensitive tasks beside them.
func (c *Core) throttleBestEffort(now time.Time, ex *executor) {
	latencyRatio := 0.0
	anyBestEffort := false
	for _, r := range ex.runs {
		anyBestEffort = anyBestEffort || r.spec().BestEffort
		if target := r.spec().LatencyTarget; target > 0 && !r.stopping {
			latencyRatio = max(latencyRatio, r.metric/float64(target.Milliseconds()))
		}
	}
	if !anyBestEffort {
		return
	}
	for _, r := range ex.sortedRuns() {
		if !r.spec().BestEffort || r.stopping || r.commandPending || r.confirmedAt.IsZero() || now.Sub(r.throttledAt) < throttleInterval {
			continue
		}
		nextPercent := nextCPUPercent(r.cpuPercent, latencyRatio)
		if nextPercent == r.cpuPercent {
			continue
		}
		r.cpuPercent = nextPercent
		r.throttledAt = now
		r.commandPending = true
		c.Stats.Throttled++
		c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
			WithField("executor", ex.ID).WithField("percent", nextPercent).WithField("target_share", latencyRatio).Info("CPU share of best-effort task changed")
		c.commands = append(c.commands, Command{
			Executor: ex.Executor, run: r,
			Throttle: &fleet.Throttle{Task: r.task, Number: r.number, Percent: nextPercent, Epoch: c.Epoch},
		})
	}
}

// nextCPUPercent halves the CPU share while a target is at risk and raises it step by step
// afterwards.
func nextCPUPercent(current int, latencyRatio float64) int {
	switch {
	case latencyRatio > throttleThreshold:
		if current <= cpuPercentStep {
			return 0
		}
		return current / 2
	case latencyRatio < unthrottleThreshold && current < fullCPUPercent:
		return min(current+cpuPercentStep, fullCPUPercent)
	}
	return current
}

// speculateAll requests second runs of the tasks on an executor that does not respond, where
// concurrent runs are allowed.
func (c *Core) speculateAll(ex *executor) {
	for _, r := range ex.sortedRuns() {
		if r.spec().AllowConcurrentRuns {
			c.speculate(r)
		}
	}
}

// speculate requests a second run of a task; the first one that is done counts.
func (c *Core) speculate(r *run) {
	st := r.job.steps[stepOf(r.task)]
	if r.speculated || r.stopping || st == nil || st.spec.Gang || len(r.job.runs[r.task]) > 1 || r.job.crashes(r.task) > 1 {
		return
	}
	if t := r.job.team; t != nil && !t.quota.Allows(st.spec.Need, 1) {
		return // the room of the team is for tasks that do not run yet
	}
	r.speculated = true
	c.Stats.SpeculativeRuns++
	st.addPending(r.task.Index)
	c.enqueue(st)
}

// isStraggler reports whether a run, where concurrent runs are allowed, takes so much longer than
// estimated that a second run is likely to be done sooner.
func (c *Core) isStraggler(now time.Time, r *run) bool {
	spec := r.spec()
	if !spec.AllowConcurrentRuns || r.speculated || spec.Estimate <= 0 {
		return false
	}
	estimate := time.Duration(c.slowdownAt(r) * float64(spec.Estimate))
	elapsed := min(now.Sub(r.startedAt), r.ex.clock-r.confirmedClock) // a late list says nothing about the time since
	if elapsed < max(minStragglerTime, time.Duration(stragglerFactor*float64(estimate))) {
		return false
	}
	remaining := float64(elapsed) * (100 - r.percent) / max(r.percent, 1)
	return remaining > float64(estimate)
}

// isStalled reports whether a run makes no progress, by the executor's clock: its list can reach this owner late. Even
// on a slow executor a run gains some percent within minStallTime.
func (r *run) isStalled() bool {
	spec := r.spec()
	if spec.LongRunning || spec.Gang || spec.BestEffort || r.stopping || r.cpuPercent < fullCPUPercent || r.percent >= 100 {
		return false
	}
	limit := max(minStallTime, time.Duration(stallPercent*float64(spec.Estimate)/100))
	return r.ex.clock-r.progressClock > limit
}

// restartElsewhere stops a stalled run, so that its task starts on another executor.
func (c *Core) restartElsewhere(now time.Time, r *run) {
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("percent", r.percent).
		WithField("still_ms", (r.ex.clock - r.progressClock).Milliseconds()).Info("run is stalled; restarting its task elsewhere")
	c.Stats.StalledRuns++
	r.step.failuresOn[r.ex.ID]++
	r.ex.avoidUntil = now.Add(stallBackoff)
	c.stopRun(now, r, "run is stalled")
}

// recordOutcome updates the failure count and slowdown of an executor when a run ends.
func (c *Core) recordOutcome(now time.Time, r *run, kind fleet.EndKind) {
	c.observeFreed(now, r)
	switch kind {
	case fleet.Failed:
		c.failureShare += failureShareWeight * (1 - c.failureShare)
		if c.recordFailure(now, r.ex, r.job) {
			c.Log.WithField("executor", r.ex.ID).WithField("failures", r.ex.failures).
				WithField("kept_away_ms", r.ex.avoidUntil.Sub(now).Milliseconds()).Warn("executor keeps failing runs; assigning no new tasks")
		}
	case fleet.Done:
		c.failureShare -= failureShareWeight * c.failureShare
		r.ex.recordSuccess()
		if estimate := r.spec().Estimate; estimate > 0 && !r.startedAt.IsZero() && r.start != nil {
			ratio := min(c.observeNear(r, float64(now.Sub(r.startedAt))/float64(estimate)), 8)
			r.ex.slowdown += slowdownWeight * (max(ratio, 0.5) - r.ex.slowdown)
		}
	}
}

// evacuate stops the runs on a draining executor whose tasks should move to another one: long-running
// tasks, and tasks with checkpoints that would not end before the executor shuts down.
func (c *Core) evacuate(now time.Time, ex *executor) {
	for _, r := range ex.sortedRuns() {
		spec := r.spec()
		remaining := time.Duration(float64(spec.Estimate) * (1 - r.percent/100))
		if spec.LongRunning || spec.SavesCheckpoints && remaining > ex.MinRemaining {
			c.stopRun(now, r, "executor is draining")
		}
	}
}
