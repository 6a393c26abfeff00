package cell

import (
	"fmt"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// runsPerEpoch keeps the run numbers of one epoch above those of all earlier ones.
	runsPerEpoch = 1000

	fullPace = 100

	// unwellPause keeps new tasks away from an executor that rejected one.
	unwellPause = 500 * time.Millisecond
)

func runKey(t fleet.TaskID, number int64) string {
	return fmt.Sprintf("%s.%d.%d.%d#%d", t.Job, t.Occurrence, t.Step, t.Index, number)
}

func stepOf(t fleet.TaskID) fleet.StepID {
	return fleet.StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

func (r *run) spec() *flow.StepSpec {
	return &r.job.Spec.Steps[r.task.Step]
}

// number returns the number of the next run of a task.
func (c *Core) number(j *job, t fleet.TaskID) int64 {
	j.nextRun[t]++
	return (c.Epoch-1)*runsPerEpoch + j.nextRun[t]
}

// begin starts a task on an executor that has been granted its need under the run's key.
func (c *Core) begin(now time.Time, w *work, index int, number int64, ex *executor) {
	t := fleet.TaskID{Job: w.job.ID, Occurrence: w.step.Occurrence, Step: w.step.Step, Index: index}
	state := w.job.Task(t)
	until := c.leaseEnd(ex)
	ex.extend(until)
	r := &run{
		job: w.job, work: w, task: t, number: number, ex: ex, key: runKey(t, number),
		begun: now, pace: fullPace, ordered: true,
	}
	r.start = &fleet.Start{
		Task: t, Number: number, Text: w.job.Spec.Text, Checkpoint: state.Checkpoint,
		Ticket: w.tickets[ex.ID].value, LeaseEnd: until, Epoch: c.Epoch,
	}
	c.attach(r)
	c.begun(now, w.job)
	w.job.started++
	w.job.lastStart = now
	c.Count.Starts++
	c.orders = append(c.orders, Order{Executor: ex.Executor, Start: r.start, run: r})
}

// attach counts a run at its job and its executor.
func (c *Core) attach(r *run) {
	r.job.runs[r.task] = append(r.job.runs[r.task], r)
	r.ex.runs[r.key] = r
	need := r.spec().Reserved()
	if _, held := c.room.WorkerOf(r.key); !held {
		err := c.room.Adopt(place.Task{ID: r.key, Job: r.job.ID, Kind: place.Batch, Need: need}, r.ex.ID)
		if err != nil {
			c.Log.WithField("executor", r.ex.ID).WithField("run", r.key).WithError(err).Warn("adopted run does not fit")
		}
	}
	c.busy[r.job.priority] += need.CPUMillis
	r.work.onExecutor[r.ex.ID]++
}

// remove is the inverse of attach.
func (c *Core) remove(r *run) {
	if r.ex.runs[r.key] != r {
		return
	}
	delete(r.ex.runs, r.key)
	c.room.Release(r.key)
	c.free(r.ex)
	c.busy[r.job.priority] -= r.spec().Reserved().CPUMillis
	r.work.onExecutor[r.ex.ID]--
	runs := r.job.runs[r.task]
	for i := range runs {
		if runs[i] == r {
			runs = append(runs[:i:i], runs[i+1:]...)
			break
		}
	}
	if len(runs) == 0 {
		delete(r.job.runs, r.task)
	} else {
		r.job.runs[r.task] = runs
	}
}

// stop orders a run to end; its capacity is free once its end is listed.
func (c *Core) stop(_ time.Time, r *run, why string) {
	if r.stopping {
		return
	}
	r.stopping = true
	c.Count.Stops++
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("why", why).Debug("run is stopped")
	if !r.ordered {
		c.orderStop(r)
	}
}

func (c *Core) orderStop(r *run) {
	r.ordered = true
	c.orders = append(c.orders, Order{
		Executor: r.ex.Executor, run: r,
		Stop: &fleet.Stop{Task: r.task, Number: r.number, Epoch: c.Epoch},
	})
}

// Withdrawn reports whether a start that has not been sent is no longer wanted, and settles its run.
func (c *Core) Withdrawn(now time.Time, o Order) bool {
	r := o.run
	if o.Start == nil || r == nil {
		return false
	}
	if r.ex.runs[r.key] != r {
		return true // the run was given up in the meantime
	}
	if !r.stopping {
		return false
	}
	r.ordered = false
	if r.doubtful || r.stray || !r.known.IsZero() {
		// An earlier copy of the start has been carried out or still may be.
		c.orderStop(r)
		return true
	}
	c.remove(r)
	c.applyEffect(now, r.job, r.task, r.number, fleet.Lost, "", r)
	return true
}

// Ordered applies the answer to an order.
func (c *Core) Ordered(now time.Time, o Order, ans fleet.Response) {
	r := o.run
	if ans.Status == fleet.Fenced {
		c.depose("executor " + o.Executor.ID)
		return
	}
	if r == nil || r.ex.runs[r.key] != r {
		return
	}
	r.ordered = false
	if ans.Status == fleet.OtherIncarnation {
		c.loseAll(now, r.ex, "another executor answers at its address")
		return
	}
	if o.Pace != nil {
		return
	}
	if o.Stop != nil {
		c.stopAnswered(now, o, ans)
		return
	}
	c.startAnswered(now, o, ans)
	if r.ex.runs[r.key] == r && r.stopping && !r.ordered {
		c.orderStop(r)
	}
}

func (c *Core) stopAnswered(now time.Time, o Order, ans fleet.Response) {
	r := o.run
	if ans.Status == fleet.NoResponse || ans.Status == fleet.Unavailable {
		c.Count.Resent++
		c.orderStop(r)
		c.orders[len(c.orders)-1].Try = o.Try + 1
		return
	}
	// From here on the run can not begin; the next look tells whether it had.
	r.doubtful = false
	if r.known.IsZero() {
		r.known = now
	}
}

func (c *Core) startAnswered(now time.Time, o Order, ans fleet.Response) {
	r := o.run
	switch ans.Status {
	case fleet.Executed, fleet.AlreadyEnded:
		if o.Try == 1 {
			c.noteLoss(now)
		}
		r.doubtful = false
		if r.known.IsZero() {
			r.known = now
		}
		if r.moved.IsZero() {
			r.moved = now
		}
		return
	case fleet.NoResponse:
		r.doubtful, r.stray = true, true
		r.ex.doubts++
		r.ex.strays = append(r.ex.strays, stray{task: r.task, number: r.number, sent: now})
		if r.stopping {
			return
		}
		c.Count.Resent++
		r.ordered = true
		again := Order{Executor: r.ex.Executor, Start: r.start, run: r, Try: o.Try + 1}
		if c.Confirmed(now) {
			c.orders = append(c.orders, again)
			return
		}
		// The executor may start again meanwhile and forget the epoch of a successor.
		c.held = append(c.held, again)
		return
	}
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("verdict", ans.Status.String()).
		WithField("doubtful", r.doubtful).WithField("cause", ans.Cause).Info("start rejected")
	switch ans.Status {
	case fleet.InvalidTicket:
		delete(r.work.tickets, r.ex.ID)
	case fleet.Unavailable, fleet.InsufficientCapacity, fleet.Malformed:
		r.ex.badUntil = now.Add(unwellPause)
	}
	if r.doubtful {
		// An earlier copy may still arrive; a stop makes it harmless.
		c.stop(now, r, "start rejected after one without an answer")
		return
	}
	c.remove(r)
	c.applyEffect(now, r.job, r.task, r.number, fleet.Lost, "", r)
}
