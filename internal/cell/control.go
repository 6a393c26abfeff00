package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	// targetShare of a task's target is where fillers beside it are slowed down, so that the
	// target holds although the figure is half a second old.
	targetShare = 0.85

	// calmShare of the target is where fillers may work faster again.
	calmShare = 0.6

	// paceStep is added to the pace of a filler at once, in percent.
	paceStep = 20

	// paceInterval is the least time between two changes: the figure covers half a second and
	// a new pace takes effect after a tenth.
	paceInterval = 700 * time.Millisecond

	// lagLeast and lagFactor, in estimates, are how long a run may take before it is copied;
	// estimates are off by half and more.
	lagLeast  = 500 * time.Millisecond
	lagFactor = 1.3

	// stallLeast is how long a run may stand still before it is started elsewhere: a lost answer
	// hides its progress for half as long. stallPercent, in percent of the estimate, is the same for
	// long runs.
	stallLeast   = 800 * time.Millisecond
	stallPercent = 8

	// stallPause keeps new tasks away from an executor on which a run stands still.
	stallPause = 3 * time.Second

	// slowWeight is the weight of one task in the learned slowness of an executor.
	slowWeight = 0.15
)

// control paces the fillers of an executor by the response times of the tasks beside them.
func (c *Core) control(now time.Time, ex *executor) {
	worst := 0.0
	for _, r := range ex.runs {
		if target := r.spec().LatencyTarget; target > 0 && !r.stopping {
			worst = max(worst, r.gauge/float64(target.Milliseconds()))
		}
	}
	for _, r := range ex.runsNow() {
		if !r.spec().BestEffort || r.stopping || r.ordered || r.known.IsZero() || now.Sub(r.pacedAt) < paceInterval {
			continue
		}
		pace := nextPace(r.pace, worst)
		if pace == r.pace {
			continue
		}
		r.pace = pace
		r.pacedAt = now
		r.ordered = true
		c.Count.Paced++
		c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
			WithField("executor", ex.ID).WithField("percent", pace).WithField("target_share", worst).Info("filler paced")
		c.orders = append(c.orders, Order{
			Executor: ex.Executor, run: r,
			Pace: &fleet.Throttle{Task: r.task, Number: r.number, Percent: pace, Epoch: c.Epoch},
		})
	}
}

// nextPace halves the pace while a target is in danger and raises it step by step afterwards.
func nextPace(pace int, worst float64) int {
	switch {
	case worst > targetShare:
		if pace <= paceStep {
			return 0
		}
		return pace / 2
	case worst < calmShare && pace < fullPace:
		return min(pace+paceStep, fullPace)
	}
	return pace
}

// copyRuns starts second runs of the tasks on an executor that does not answer, where copies
// are allowed.
func (c *Core) copyRuns(ex *executor) {
	for _, r := range ex.runsNow() {
		if r.spec().AllowConcurrentRuns {
			c.copyRun(r)
		}
	}
}

// copyRun queues a second run of a task; the first one that is done counts.
func (c *Core) copyRun(r *run) {
	w := r.job.works[stepOf(r.task)]
	if r.copied || r.stopping || w == nil || w.spec.Gang || len(r.job.runs[r.task]) > 1 {
		return
	}
	r.copied = true
	c.Count.Copies++
	w.add(r.task.Index)
	c.enqueue(w)
}

// lags reports whether a run, where copies are allowed, takes so much longer than estimated that
// a second one is likely to be done sooner.
func (c *Core) lags(now time.Time, r *run) bool {
	spec := r.spec()
	if !spec.AllowConcurrentRuns || r.copied || spec.Estimate <= 0 {
		return false
	}
	elapsed := now.Sub(r.begun)
	if elapsed < max(lagLeast, time.Duration(lagFactor*float64(spec.Estimate))) {
		return false
	}
	left := float64(elapsed) * (100 - r.percent) / max(r.percent, 1)
	return left > float64(spec.Estimate)
}

// stalls reports whether a run makes no progress at all; even on a slow executor some percent are
// gained within stallLeast.
func (r *run) stalls(now time.Time) bool {
	spec := r.spec()
	if spec.LongRunning || spec.Gang || spec.BestEffort || r.stopping || r.pace < fullPace || r.percent >= 100 {
		return false
	}
	least := max(stallLeast, time.Duration(stallPercent*float64(spec.Estimate)/100))
	return now.Sub(r.moved) > least
}

// restart stops a run that stands still, so that its task starts on another executor.
func (c *Core) restart(now time.Time, r *run) {
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("percent", r.percent).
		WithField("still_ms", now.Sub(r.moved).Milliseconds()).Info("run stands still: its task starts elsewhere")
	c.Count.Stalls++
	r.work.avoid[r.ex.ID]++
	r.ex.badUntil = now.Add(stallPause)
	c.stop(now, r, "run stands still")
}

// learn updates what is known of an executor by the end of a run.
func (c *Core) learn(now time.Time, r *run, kind fleet.EndKind) {
	switch kind {
	case fleet.Failed:
		if r.ex.noteFailure(now) {
			c.Log.WithField("executor", r.ex.ID).WithField("failures", r.ex.fails).
				WithField("kept_away_ms", r.ex.badUntil.Sub(now).Milliseconds()).Warn("executor fails what it starts: no new tasks")
		}
	case fleet.Done:
		r.ex.noteSuccess()
		if estimate := r.spec().Estimate; estimate > 0 && !r.begun.IsZero() && r.start != nil {
			took := min(float64(now.Sub(r.begun))/float64(estimate), 8)
			r.ex.slow += slowWeight * (max(took, 0.5) - r.ex.slow)
		}
	}
}

// evacuate moves from a leaving executor what would not end in time or is better resumed elsewhere.
func (c *Core) evacuate(now time.Time, ex *executor) {
	for _, r := range ex.runsNow() {
		spec := r.spec()
		left := time.Duration(float64(spec.Estimate) * (1 - r.percent/100))
		if spec.LongRunning || spec.SavesCheckpoints && left > ex.MinRemaining {
			c.stop(now, r, "executor leaves")
		}
	}
}
