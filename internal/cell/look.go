package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

// Looked applies the answer of a look that was sent at the given time.
func (c *Core) Looked(now, sent time.Time, id string, ans fleet.Response) {
	ex := c.execs[id]
	if ex == nil {
		return
	}
	switch ans.Status {
	case fleet.Executed:
	case fleet.Fenced:
		c.depose("executor " + id)
		return
	case fleet.OtherIncarnation:
		c.loseAll(now, ex, "another executor answers at its address")
		c.missed(ex, ans)
		return
	default:
		c.missed(ex, ans)
		return
	}
	if ex.overtaken(sent, ans) {
		return
	}
	listed := make(map[string]bool, len(ans.Runs))
	for i := range ans.Runs {
		listed[runKey(ans.Runs[i].Task, ans.Runs[i].Number)] = true
	}
	if ans.Incarnation != 0 && ex.life != 0 && ans.Incarnation != ex.life {
		c.newLife(now, sent, ex, ans.Incarnation, listed)
	}
	c.heard(now, ex, ans)
	for i := range ans.Ends {
		c.applyEnd(now, ex, &ans.Ends[i])
	}
	if ex.strangers > 0 {
		c.free(ex)
	}
	ex.strangers = 0
	for i := range ans.Runs {
		c.applyRun(now, ex, &ans.Runs[i])
	}
	if len(ans.Ends) < maxEnds {
		for _, r := range ex.runsNow() {
			if !listed[r.key] && !r.known.IsZero() && r.known.Before(sent) {
				c.lose(now, r, "executor does not know the run")
			}
		}
		c.unlock(ex.ID)
	}
	c.control(now, ex)
}

// overtaken reports whether a newer answer arrived first: one of the same life with a later clock,
// or of another life that was heard of after this look was sent.
func (ex *executor) overtaken(sent time.Time, ans fleet.Response) bool {
	if !ex.claimed {
		return false
	}
	if ans.Incarnation != ex.life {
		return ans.Incarnation != 0 && sent.Before(ex.lifeAt)
	}
	return ans.Incarnation != 0 && ans.HasClock && ans.Clock < ex.clock
}

// depose notes that another instance owns the cell.
func (c *Core) depose(by string) {
	if !c.Deposed {
		c.Log.WithField("epoch", c.Epoch).WithField("told_by", by).Warn("another instance owns the cell")
	}
	c.Deposed = true
}

// missed counts a look without an answer.
func (c *Core) missed(ex *executor, ans fleet.Response) {
	ex.misses++
	c.Count.Silences++
	c.copyRuns(ex)
	if ex.misses == silentAfter {
		c.cordon(ex)
		c.Log.WithField("executor", ex.ID).WithField("verdict", ans.Status.String()).WithField("cause", ans.Cause).
			WithField("runs", len(ex.runs)).Warn("executor does not answer")
	}
}

// heard notes that the executor answered under this epoch.
func (c *Core) heard(now time.Time, ex *executor, ans fleet.Response) {
	if ex.lifeAt.IsZero() {
		ex.lifeAt = now
	}
	if ans.Incarnation != 0 {
		ex.life = ans.Incarnation
	}
	if ans.HasClock {
		ex.clock = ans.Clock
		ex.clockAt = now
	}
	back := ex.misses >= silentAfter
	if ex.misses == 1 && ex.claimed {
		c.noteLoss(now)
	}
	ex.misses = 0
	if ex.doubts > 0 {
		ex.doubts = 0
		c.free(ex)
	}
	if ex.claimed && !back {
		return
	}
	if !ex.claimed {
		ex.claimed = true
		c.Log.WithField("executor", ex.ID).WithField("runs", len(ans.Runs)).WithField("ends", len(ans.Ends)).
			Info("executor claimed")
	} else {
		c.Log.WithField("executor", ex.ID).Info("executor answers again")
	}
	c.cordon(ex)
}

// newLife gives up what ran in the former life of an executor. Runs that are listed, or whose
// start was answered after the look was sent, may belong to the new one.
func (c *Core) newLife(now, sent time.Time, ex *executor, life int64, listed map[string]bool) {
	c.Log.WithField("executor", ex.ID).WithField("life", life).WithField("former", ex.life).
		WithField("runs", len(ex.runs)).Warn("executor has started again")
	ex.life, ex.lifeAt = life, now
	ex.clock, ex.until, ex.clockAt = 0, 0, now
	ex.applied, ex.forget = 0, 0
	ex.fails, ex.slow = 0, 1
	for _, r := range ex.runsNow() {
		switch {
		case listed[r.key], r.known.IsZero(), !r.known.Before(sent):
		case r.stray:
			// A copy of the start may arrive in the new life, which does not know the lease of the
			// former one; a stop makes it harmless.
			c.stop(now, r, "executor has started again")
		default:
			c.lose(now, r, "executor has started again")
		}
	}
	c.stopStrays(now, ex)
}

// stopStrays makes starts harmless that were sent to the former life of an executor.
func (c *Core) stopStrays(now time.Time, ex *executor) {
	for _, s := range ex.strays {
		if now.Sub(s.sent) < strayMemory && ex.runs[runKey(s.task, s.number)] == nil {
			c.Count.Stops++
			c.orders = append(c.orders, Order{
				Executor: ex.Executor,
				Stop:     &fleet.Stop{Task: s.task, Number: s.number, Epoch: c.Epoch},
			})
		}
	}
	ex.strays = nil
}

func (c *Core) loseAll(now time.Time, ex *executor, why string) {
	for _, r := range ex.runsNow() {
		c.lose(now, r, why)
	}
}

// applyEnd applies an end that the executor lists and that was not applied before.
func (c *Core) applyEnd(now time.Time, ex *executor, e *fleet.End) {
	if e.Sequence <= ex.applied {
		return
	}
	ex.applied = e.Sequence
	c.keep.ends = true
	c.Count.Ends++
	r := ex.runs[runKey(e.Task, e.Number)]
	if r != nil {
		c.learn(now, r, e.Kind)
		c.remove(r)
	}
	j := c.jobs[e.Task.Job]
	if j == nil {
		return
	}
	if e.Kind == fleet.Failed {
		j.failed++
		c.Log.WithField("job", j.ID).WithField("step", e.Task.Step).WithField("index", e.Task.Index).
			WithField("run", e.Number).WithField("executor", ex.ID).WithField("executor_failures", ex.fails).
			WithField("attempts", j.MaxAttempts).Info("run failed")
	}
	c.applyEffect(now, j, e.Task, e.Number, e.Kind, e.Checkpoint, r)
}

// applyEffect tells the job of an end and does what follows from it.
func (c *Core) applyEffect(now time.Time, j *job, t fleet.TaskID, number int64, kind fleet.EndKind, checkpoint string, r *run) {
	effect := j.ApplyEnd(now, t, number, kind, checkpoint)
	if effect.Changed {
		c.keep.changed(j)
	}
	if effect.Final {
		if j.State == flow.Completed {
			c.Count.Completed++
		} else {
			c.Count.Failed++
			c.Log.WithField("job", j.ID).WithField("step", t.Step).WithField("index", t.Index).
				WithField("attempts", j.MaxAttempts).Info("job failed: task has failed too often")
		}
		c.ended(now, j)
		return
	}
	if kind == fleet.Done {
		c.stopOthers(now, j, t, effect.StepDone)
	}
	c.addSteps(now, j, effect.Ready)
	if effect.Restart && r != nil {
		c.retry(now, r, kind)
	}
}

// stopOthers ends other runs of a task that is done; a gang is done with its first member.
func (c *Core) stopOthers(now time.Time, j *job, t fleet.TaskID, stepDone bool) {
	for _, other := range j.runs[t] {
		c.stop(now, other, "another run is done")
	}
	w := j.works[fleet.StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}]
	if w == nil {
		return
	}
	w.forget(t.Index)
	if stepDone {
		c.dropWork(w)
		delete(j.works, w.step)
	}
}

// retry queues the task of an ended run again.
func (c *Core) retry(now time.Time, r *run, kind fleet.EndKind) {
	w := r.job.works[stepOf(r.task)]
	if w == nil || len(r.job.runs[r.task]) > 0 {
		return
	}
	if kind == fleet.Failed {
		w.avoid[r.ex.ID]++
	}
	if w.spec.Gang {
		c.refill(w)
		for _, other := range w.liveRuns() {
			c.stop(now, other, "gang starts again")
		}
		return
	}
	w.add(r.task.Index)
	c.enqueue(w)
}

// applyRun updates a listed run, adopts one of an earlier owner or stops one that is not wanted.
func (c *Core) applyRun(now time.Time, ex *executor, l *fleet.Run) {
	if r := ex.runs[runKey(l.Task, l.Number)]; r != nil {
		if r.known.IsZero() {
			r.known = now
		}
		r.doubtful = false
		if l.Percent > r.percent || r.moved.IsZero() {
			r.moved = now
		}
		r.percent, r.gauge = l.Percent, l.Metric
		switch {
		case c.lags(now, r):
			c.copyRun(r)
		case r.stalls(now):
			c.restart(now, r)
		}
		return
	}
	j := c.jobs[l.Task.Job]
	if j == nil || j.Task(l.Task) == nil {
		c.stopStranger(ex, l)
		return
	}
	r := c.adopt(now, ex, j, l)
	task := j.Task(l.Task)
	if task.Done || len(j.runs[l.Task]) > 1 && !r.spec().AllowConcurrentRuns {
		c.stop(now, r, "another run of the task is there or done")
	}
}

// stopStranger ends a run whose job has ended or is not known, so that its need is not known
// either; the executor gets no new tasks until it is gone.
func (c *Core) stopStranger(ex *executor, l *fleet.Run) {
	ex.strangers++
	c.Log.WithField("executor", ex.ID).WithField("job", l.Task.Job).WithField("step", l.Task.Step).
		WithField("index", l.Task.Index).WithField("run", l.Number).Info("run of an ended or unknown job is stopped")
	c.Count.Stops++
	c.orders = append(c.orders, Order{
		Executor: ex.Executor,
		Stop:     &fleet.Stop{Task: l.Task, Number: l.Number, Epoch: c.Epoch},
	})
}

// adopt takes over a run of an earlier owner. Its step may follow one whose ends have not been
// read yet, so that it is kept although the step does not seem to be ready.
func (c *Core) adopt(now time.Time, ex *executor, j *job, l *fleet.Run) *run {
	w := c.workOf(j, stepOf(l.Task))
	r := &run{
		job: j, work: w, task: l.Task, number: l.Number, ex: ex, key: runKey(l.Task, l.Number),
		known: now, begun: now, percent: l.Percent, gauge: l.Metric, pace: fullPace, moved: now,
	}
	c.attach(r)
	w.forget(l.Task.Index)
	c.begun(now, j)
	c.Count.Adopted++
	return r
}

// lose gives up a run that can not run any more.
func (c *Core) lose(now time.Time, r *run, why string) {
	c.Count.Lost++
	r.job.lost++
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("why", why).Info("run lost")
	c.remove(r)
	c.applyEffect(now, r.job, r.task, r.number, fleet.Lost, "", r)
}
