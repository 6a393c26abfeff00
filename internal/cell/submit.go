package cell

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

var startSeconds = metrics.NewHistogram("job_first_start_seconds")

// Submit accepts a job or rejects it; reply is called once, when the outcome is known.
func (c *Core) Submit(now time.Time, id string, spec flow.Spec, reply func(Reply)) {
	if j := c.jobs[id]; j != nil {
		c.repeat(j, reply)
		return
	}
	q := c.policy.Queue(spec.Queue)
	if q == nil {
		reply(Reply{Outcome: Rejected, Reason: "queue is not configured", RetryAfter: rejectPause})
		return
	}
	if c.StoreAway(now) {
		c.Count.Rejected++
		c.Log.WithField("job", id).WithField("store_silent_ms", now.Sub(c.proven).Milliseconds()).
			Info("job rejected: store does not answer")
		reply(Reply{Outcome: Rejected, Reason: "store does not answer", RetryAfter: rejectPause})
		return
	}
	j := c.newJob(flow.NewJob(id, spec, q.MaxAttempts), q)
	j.submits = append(j.submits, reply)
	c.keep.add(j)
	c.addSteps(now, j, j.OpenDue(now))
	if _, more := j.NextDue(); more {
		c.timed[id] = j
	}
}

// rejectFresh rejects the jobs that are in no commit yet: nothing of them is stored.
func (c *Core) rejectFresh(now time.Time) {
	for _, j := range c.keep.fresh {
		c.reject(now, j)
	}
	c.keep.fresh = nil
}

// reject forgets a job of which nothing is stored and nothing has run.
func (c *Core) reject(now time.Time, j *job) {
	c.Count.Rejected++
	c.Log.WithField("job", j.ID).WithField("store_silent_ms", now.Sub(c.proven).Milliseconds()).
		WithField("store_refuses", c.refuses).Info("job rejected before it was stored")
	for _, w := range j.works {
		c.dropWork(w)
	}
	delete(c.jobs, j.ID)
	delete(c.timed, j.ID)
	delete(c.keep.dirty, j.ID)
	c.keep.final = slices.DeleteFunc(c.keep.final, func(other *job) bool { return other == j })
	if !j.Started {
		c.waiting[j.Spec.Queue]--
	}
	for _, reply := range j.submits {
		reply(Reply{Outcome: Rejected, Reason: "store does not answer", RetryAfter: rejectPause})
	}
	for _, reply := range j.cancels {
		reply(Reply{Outcome: Absent})
	}
}

// repeat answers a request with an id that is known.
func (c *Core) repeat(j *job, reply func(Reply)) {
	if j.accepted {
		reply(Reply{Outcome: Accepted})
		return
	}
	j.submits = append(j.submits, reply)
}

func (c *Core) newJob(fj *flow.Job, q *fleet.Queue) *job {
	j := &job{
		Job: fj, works: make(map[fleet.StepID]*work), runs: make(map[fleet.TaskID][]*run),
		nextRun: make(map[fleet.TaskID]int64), stored: make(map[string]bool),
	}
	if q != nil {
		j.priority = q.Priority
		j.objective = fj.Spec.Accepted.Add(time.Duration(q.Stretch*float64(fj.Spec.CriticalPath())) + q.Slack)
	}
	c.jobs[j.ID] = j
	j.home = c.chooseHome()
	if !j.Started && !j.State.Final() {
		c.waiting[j.Spec.Queue]++
	}
	return j
}

// Cancel ends a job; reply is called when the cancellation is stored.
func (c *Core) Cancel(now time.Time, id string, reply func(Reply)) {
	j := c.jobs[id]
	if j == nil {
		reply(Reply{Outcome: Absent})
		return
	}
	if j.shown.Final() {
		reply(Reply{Outcome: Accepted})
		return
	}
	j.cancels = append(j.cancels, reply)
	if j.Cancel(now) {
		c.Count.Cancelled++
		c.ended(now, j)
		c.Log.WithField("job", id).WithField("runs", len(j.runs)).Info("job cancelled")
	}
}

// State tells what is stored of a job.
func (c *Core) State(id string) Reply {
	j := c.jobs[id]
	switch {
	case j == nil || !j.accepted:
		return Reply{Outcome: Absent}
	case j.shown.Final():
		return Reply{Outcome: Found, State: j.shown}
	case j.Started:
		return Reply{Outcome: Found, State: flow.Running}
	}
	return Reply{Outcome: Found, State: flow.Pending}
}

// Waiting returns the number of accepted jobs of each queue that have not begun.
func (c *Core) Waiting() map[string]int64 {
	out := make(map[string]int64, len(c.waiting))
	for q, n := range c.waiting {
		out[q] = n
	}
	return out
}

// begun notes the first start of a job.
func (c *Core) begun(now time.Time, j *job) {
	if j.Started {
		return
	}
	j.Started = true
	c.waiting[j.Spec.Queue]--
	if j.restored {
		return // it may have begun under an earlier owner
	}
	startSeconds.Update(now.Sub(j.Spec.Accepted).Seconds())
	c.Log.WithField("job", j.ID).WithField("queue", j.Spec.Queue).
		WithField("waited_ms", now.Sub(j.Spec.Accepted).Milliseconds()).
		WithField("left_ms", j.objective.Sub(now).Milliseconds()).Info("job begins")
}

// ended ends all runs of a job that has reached a final state and has the state stored.
func (c *Core) ended(now time.Time, j *job) {
	if !j.Started {
		c.waiting[j.Spec.Queue]--
		j.Started = true
	}
	delete(c.timed, j.ID)
	for _, w := range j.works {
		c.dropWork(w)
	}
	for _, r := range j.allRuns() {
		c.stop(now, r, "job has ended")
	}
	c.keep.finished(j)
}

// allRuns returns the runs of all tasks in order.
func (j *job) allRuns() []*run {
	var out []*run
	for _, runs := range j.runs {
		out = append(out, runs...)
	}
	sortRuns(out)
	return out
}
