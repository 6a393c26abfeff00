package cell

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

var firstStartSeconds = metrics.NewHistogram("job_first_start_seconds")

// Submit accepts or rejects a job; reply is called once, when the outcome is known.
func (c *Core) Submit(now time.Time, id string, spec flow.Spec, reply func(Reply)) {
	if j := c.jobs[id]; j != nil {
		c.resubmit(j, reply)
		return
	}
	q := c.config.Queue(spec.Queue)
	if q == nil {
		reply(Reply{Outcome: Rejected, Reason: "queue is not configured", RetryAfter: rejectRetryAfter})
		return
	}
	if err := spec.Validate(); err != nil {
		c.Stats.Rejected++
		c.Log.WithField("job", id).WithError(err).Warn("malformed job of another instance rejected")
		reply(Reply{Outcome: Rejected, Reason: err.Error(), RetryAfter: rejectRetryAfter})
		return
	}
	if c.CutOff != nil {
		if retryAfter, cutOff := c.CutOff(); cutOff {
			c.Stats.Rejected++
			c.Log.WithField("job", id).WithField("store_silent_ms", now.Sub(c.confirmedAt).Milliseconds()).
				Info("job rejected: failure domain is cut off")
			reply(Reply{Outcome: Rejected, Reason: "the failure domain is cut off", RetryAfter: retryAfter})
			return
		}
	}
	if c.StoreUnavailable(now) {
		c.Stats.Rejected++
		c.Log.WithField("job", id).WithField("store_silent_ms", now.Sub(c.confirmedAt).Milliseconds()).
			Info("job rejected: store does not answer")
		reply(Reply{Outcome: Rejected, Reason: "store does not answer", RetryAfter: rejectRetryAfter})
		return
	}
	if waited, late := c.backlogDelay(now, q); late {
		c.Stats.Rejected++
		retryAfter := min(max(waited, minBacklogRetryAfter), maxBacklogRetryAfter)
		c.Log.WithField("job", id).WithField("queue", q.Name).WithField("backlog_ms", waited.Milliseconds()).
			WithField("lag_ms", c.Pace.Last().Lag.Milliseconds()).Info("job rejected: owner is too far behind to do it in time")
		reply(Reply{Outcome: Rejected, Reason: "the backlog of the queue cannot be done in time", RetryAfter: retryAfter})
		return
	}
	if c.gangExceedsQuota(&spec) {
		c.Stats.Rejected++
		c.Log.WithField("job", id).WithField("queue", q.Name).WithField("team", spec.Team).Info("job rejected: gang exceeds the quota of its team")
		reply(Reply{Outcome: TooMany, Reason: "the tasks of a gang exceed the quota of the team", RetryAfter: gangQuotaRetryAfter})
		return
	}
	// The clock of the instance that received the job may be wrong, and jobs are ordered by this time.
	spec.Accepted = now
	spec.AcceptedBy = &flow.Acceptance{Queue: *q, ConfigVersion: c.config.Version}
	j := c.newJob(flow.NewJob(id, spec, q.MaxAttempts), q)
	if j.overRate = c.isOverRate(now, &spec, q); j.overRate {
		c.Log.WithField("job", id).WithField("queue", q.Name).WithField("team", spec.Team).Info("job is beyond the rate of its team")
	}
	j.submitReplies = append(j.submitReplies, reply)
	c.writes.addNew(j)
	c.addSteps(now, j, j.OpenDue(now))
	if _, more := j.NextDue(); more {
		c.scheduled[id] = j
	}
}

// rejectUnstored rejects the jobs that are not in a commit yet, so that nothing about them is stored.
func (c *Core) rejectUnstored(now time.Time) {
	for _, j := range c.writes.newJobs {
		c.reject(now, j, "store does not answer")
	}
	c.writes.newJobs = nil
}

// reject drops a job that is not stored and of which no task has run.
func (c *Core) reject(now time.Time, j *job, reason string) {
	c.Stats.Rejected++
	c.Log.WithField("job", j.ID).WithField("store_silent_ms", now.Sub(c.confirmedAt).Milliseconds()).
		WithField("store_refuses", c.storeRefuses).WithField("why", reason).Info("job rejected before it was stored")
	for _, st := range j.steps {
		c.dequeue(st)
	}
	delete(c.jobs, j.ID)
	delete(c.scheduled, j.ID)
	delete(c.writes.dirty, j.ID)
	delete(c.writes.newPlaces, j.ID)
	c.writes.final = slices.DeleteFunc(c.writes.final, func(other *job) bool { return other == j })
	if !j.Started {
		c.pendingJobs[j.Spec.Queue]--
	}
	for _, reply := range j.submitReplies {
		reply(Reply{Outcome: Rejected, Reason: reason, RetryAfter: rejectRetryAfter})
	}
	for _, reply := range j.cancelReplies {
		reply(Reply{Outcome: Absent})
	}
}

// resubmit handles a submission with the ID of a known job.
func (c *Core) resubmit(j *job, reply func(Reply)) {
	if j.accepted {
		reply(Reply{Outcome: Accepted})
		return
	}
	j.submitReplies = append(j.submitReplies, reply)
}

func (c *Core) newJob(flowJob *flow.Job, q *fleet.Queue) *job {
	j := &job{
		Job: flowJob, steps: make(map[fleet.StepID]*stepState), runs: make(map[fleet.TaskID][]*run),
		lastRunNumber: make(map[fleet.TaskID]int64), recordedOn: make(map[string]bool),
	}
	if q != nil {
		j.setQueue(q)
	}
	j.team = c.teams[j.Spec.Team]
	c.jobs[j.ID] = j
	j.homeDomain = c.domainWithMostFreeCPU()
	if !j.Started && !j.State.Final() {
		c.pendingJobs[j.Spec.Queue]++
	}
	return j
}

// queueOf returns a queue as it is configured. If it has been removed, it is the one that accepted the job, which outlives
// it; if the configuration is older than the job, it is nil, since the queue may have changed since then.
func (c *Core) queueOf(name string, accepted *flow.Acceptance) *fleet.Queue {
	if q := c.config.Queue(name); q != nil {
		return q
	}
	if accepted != nil && accepted.ConfigVersion <= c.config.Version {
		return &accepted.Queue
	}
	return nil
}

// setQueue sets what the job's queue determines about its urgency.
func (j *job) setQueue(q *fleet.Queue) {
	j.priority = q.Priority
	j.sloDeadline = j.Spec.Accepted.Add(fleet.Times(q.Stretch, j.Spec.CriticalPath())).Add(q.Slack)
}

// Cancel cancels a job; reply is called when the cancellation is stored.
func (c *Core) Cancel(now time.Time, id string, reply func(Reply)) {
	j := c.jobs[id]
	if j == nil {
		reply(Reply{Outcome: Absent})
		return
	}
	if j.storedState.Final() {
		reply(Reply{Outcome: Accepted})
		return
	}
	j.cancelReplies = append(j.cancelReplies, reply)
	if j.Cancel(now) {
		c.Stats.Cancelled++
		c.finishJob(now, j)
		c.Log.WithField("job", id).WithField("runs", len(j.runs)).Info("job cancelled")
	}
}

// State returns the stored state of a job.
func (c *Core) State(id string) Reply {
	j := c.jobs[id]
	switch {
	case j == nil || !j.accepted:
		return Reply{Outcome: Absent}
	case j.storedState.Final():
		return Reply{Outcome: Found, State: j.storedState}
	case j.Started:
		return Reply{Outcome: Found, State: flow.Running}
	}
	return Reply{Outcome: Found, State: flow.Pending}
}

// PendingJobs returns the number of accepted jobs that have not started, by queue.
func (c *Core) PendingJobs() map[string]int64 {
	out := make(map[string]int64, len(c.pendingJobs))
	for q, n := range c.pendingJobs {
		out[q] = n
	}
	return out
}

// PendingSteps returns the number of steps with tasks to start.
func (c *Core) PendingSteps() int {
	return len(c.runnable)
}

// markStarted records that a task of a job has started, as an executor has confirmed.
func (c *Core) markStarted(now time.Time, j *job) {
	if j.Started || j.State.Final() {
		return // a job that had ended when it was restored is not counted
	}
	j.Started = true
	c.pendingJobs[j.Spec.Queue]--
	if j.restored {
		return // it may have started under an earlier owner
	}
	firstStartSeconds.Update(now.Sub(j.Spec.Accepted).Seconds())
	c.Log.WithField("job", j.ID).WithField("queue", j.Spec.Queue).
		WithField("waited_ms", now.Sub(j.Spec.Accepted).Milliseconds()).
		WithField("left_ms", j.sloDeadline.Sub(now).Milliseconds()).Info("job started")
}

// finishJob stops all runs of a job that reached a final state and schedules storing the state.
func (c *Core) finishJob(now time.Time, j *job) {
	if !j.Started {
		c.pendingJobs[j.Spec.Queue]--
		j.Started = true
	}
	delete(c.scheduled, j.ID)
	for _, st := range j.steps {
		c.dequeue(st)
	}
	for _, r := range j.allRuns() {
		c.stopRun(now, r, "job has ended")
	}
	c.writes.markFinal(j)
}

// allRuns returns the runs of all tasks, sorted by key.
func (j *job) allRuns() []*run {
	var out []*run
	for _, runs := range j.runs {
		out = append(out, runs...)
	}
	sortRuns(out)
	return out
}
