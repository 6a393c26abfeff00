package cell

import (
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
)

// maxUndelivered is how long an executor may go without a response while results of its polls are not
// delivered. Its runs are given up when its lease has expired.
const maxUndelivered = 3 * time.Second

// ApplyPollResponse applies the response to a poll that was sent at the given time.
func (c *Core) ApplyPollResponse(now, sent time.Time, id string, resp fleet.Response) {
	ex := c.executors[id]
	if ex == nil {
		return
	}
	switch resp.Status {
	case fleet.Executed:
	case fleet.Undelivered:
		ex.undelivered = true
		if now.Sub(ex.clockAt) > maxUndelivered {
			c.recordMissedPoll(now, ex, resp)
		}
		return
	case fleet.Fenced:
		c.loseOwnership("executor " + id)
		return
	case fleet.WrongExecutor:
		if ex.claimed && sent.Before(ex.incarnationSince) {
			return // the executor has started again at its address since
		}
		c.Stats.MissedPolls++
		c.handleReplacement(now, ex)
		return
	default:
		c.recordMissedPoll(now, ex, resp)
		return
	}
	if ex.isStale(sent, resp) {
		return
	}
	if resp.Partial && resp.Incarnation == ex.incarnation {
		c.recordResponse(now, ex, resp)
		for i := range resp.Ends {
			c.applyEnd(now, ex, &resp.Ends[i])
		}
		for i := range resp.Runs {
			c.applyListedRun(now, ex, &resp.Runs[i])
		}
		return
	}
	ex.listedRunsAt = now
	listed := make(map[string]bool, len(resp.Runs))
	for i := range resp.Runs {
		listed[runKey(resp.Runs[i].Task, resp.Runs[i].Number)] = true
	}
	if resp.Incarnation != 0 && ex.incarnation != 0 && resp.Incarnation != ex.incarnation {
		c.handleRestart(now, sent, ex, resp, listed)
	}
	c.recordResponse(now, ex, resp)
	for i := range resp.Ends {
		c.applyEnd(now, ex, &resp.Ends[i])
	}
	if ex.unknownRuns > 0 {
		c.markFreed(ex)
	}
	ex.unknownRuns = 0
	for i := range resp.Runs {
		c.applyListedRun(now, ex, &resp.Runs[i])
	}
	if len(resp.Ends) < maxEndsPerPoll {
		for _, r := range ex.sortedRuns() {
			if known := r.outcomeKnownSince(); !listed[r.key] && !known.IsZero() && known.Before(sent) {
				if !known.Before(ex.incarnationSince) {
					c.withdrawCrash(r.job, r.task, r.number)
				}
				c.markLost(now, r, "executor does not list the run")
			}
		}
		c.unblockSteps(ex.ID)
	}
	c.recordSurvivedStarts(sent, ex, listed)
	c.endTrial(now, ex)
	c.throttleBestEffort(now, ex)
}

// isStale reports whether a newer response arrived first: one of the same incarnation with a later
// clock, or one of another incarnation that was first seen after this poll was sent.
func (ex *executor) isStale(sent time.Time, resp fleet.Response) bool {
	if !ex.claimed {
		return false
	}
	if resp.Incarnation != ex.incarnation {
		return resp.Incarnation != 0 && sent.Before(ex.incarnationSince)
	}
	return resp.Incarnation != 0 && resp.HasClock && resp.Clock < ex.clock
}

// loseOwnership records that another instance owns the cell.
func (c *Core) loseOwnership(source string) {
	if !c.LostOwnership {
		c.Log.WithField("epoch", c.Epoch).WithField("told_by", source).Warn("another instance owns the cell")
	}
	c.LostOwnership = true
}

// recordMissedPoll counts a poll without a usable response.
func (c *Core) recordMissedPoll(now time.Time, ex *executor, resp fleet.Response) {
	if ex.missedPolls == 0 {
		ex.silentSince = now
	}
	ex.missedPolls++
	c.Stats.MissedPolls++
	c.speculateAll(ex)
	if ex.missedPolls == maxMissedPolls {
		c.presumeCrash(now, ex)
		c.updateCordon(ex)
		c.Log.WithField("executor", ex.ID).WithField("verdict", resp.Status.String()).WithField("cause", resp.Cause).
			WithField("runs", len(ex.runs)).Warn("executor does not respond")
	}
}

// recordResponse records that the executor responded under this epoch.
func (c *Core) recordResponse(now time.Time, ex *executor, resp fleet.Response) {
	if ex.incarnationSince.IsZero() {
		ex.incarnationSince = now
	}
	if resp.Incarnation != 0 {
		ex.incarnation = resp.Incarnation
	}
	if resp.HasClock {
		ex.clock = resp.Clock
		ex.clockAt = now
	}
	wasUnresponsive := ex.missedPolls >= maxMissedPolls
	ex.missedPolls, ex.crashed, ex.undelivered = 0, false, false
	if ex.unconfirmedStarts > 0 {
		ex.unconfirmedStarts = 0
		c.markFreed(ex)
	}
	c.releaseRetries(now, ex)
	if ex.claimed && !wasUnresponsive {
		return
	}
	if !ex.claimed {
		ex.claimed = true
		c.Log.WithField("executor", ex.ID).WithField("runs", len(resp.Runs)).WithField("ends", len(resp.Ends)).
			Info("executor claimed")
	} else {
		c.Log.WithField("executor", ex.ID).Info("executor responds again")
	}
	c.updateCordon(ex)
}

// outcomeKnownSince returns since when a list of the runs on its executor names the run if it is there; zero while its
// start may still be executed.
func (r *run) outcomeKnownSince() time.Time {
	if r.confirmedAt.IsZero() {
		return r.stoppedAt
	}
	return r.confirmedAt
}

// handleRestart marks the runs of the former incarnation of an executor as lost. The response to a first attempt to
// start a run decides about that one. Runs of an unknown incarnation that are listed, or whose start was confirmed
// after the poll was sent, may belong to the new one.
func (c *Core) handleRestart(now, sent time.Time, ex *executor, resp fleet.Response, listed map[string]bool) {
	c.Log.WithField("executor", ex.ID).WithField("life", resp.Incarnation).WithField("former", ex.incarnation).
		WithField("runs", len(ex.runs)).WithField("lease_left_ms", (ex.leaseUntil-resp.Clock).Milliseconds()).
		WithField("cause", resp.Cause).Warn("executor restarted")
	lost := slices.DeleteFunc(ex.sortedRuns(), func(r *run) bool {
		if r.confirmedAt.IsZero() {
			return listed[r.key] || !r.mayStartLate
		}
		return listed[r.key] || r.incarnation == 0 && !r.confirmedAt.Before(sent)
	})
	c.recordCrash(now, ex, lost, "executor restarted")
	ex.incarnation, ex.incarnationSince = resp.Incarnation, now
	ex.clock, ex.leaseUntil, ex.clockAt = 0, 0, now
	ex.appliedSequence, ex.ackedSequence, ex.unackedEnds = 0, 0, nil
	delete(c.unacked, ex.ID)
	ex.recordSuccess()
	ex.slowdown = 1
	for _, r := range lost {
		if r.mayStartLate && !r.isForFormerIncarnation() {
			// The start named no incarnation and may still reach the new one. A stop prevents it from being
			// executed.
			c.stopRun(now, r, "executor restarted")
			continue
		}
		c.markLost(now, r, "executor restarted")
	}
	c.stopLateStarts(now, ex)
	c.releaseHeldStarts(ex)
}

// releaseHeldStarts hands out the starts that are held back for an executor. After a restart DiscardUnwanted keeps them
// from being sent, so that their tasks need not wait for the store.
func (c *Core) releaseHeldStarts(ex *executor) {
	c.heldStarts = slices.DeleteFunc(c.heldStarts, func(cmd Command) bool {
		if cmd.run.ex == ex {
			c.commands = append(c.commands, cmd)
		}
		return cmd.run.ex == ex
	})
}

// stopLateStarts sends stops for starts that were sent to the former incarnation of an executor and
// may still arrive.
func (c *Core) stopLateStarts(now time.Time, ex *executor) {
	for _, s := range ex.lateStarts {
		if now.Sub(s.sentAt) < lateStartWindow && ex.runs[runKey(s.task, s.number)] == nil {
			c.Stats.Stops++
			c.commands = append(c.commands, Command{
				Executor: ex.Executor,
				Stop:     &fleet.Stop{Task: s.task, Number: s.number, Epoch: c.Epoch},
			})
		}
	}
	ex.lateStarts = nil
}

// handleReplacement gives up an executor whose address another executor has taken: it is gone with all its runs,
// and gets no commands until it responds again.
func (c *Core) handleReplacement(now time.Time, ex *executor) {
	if ex.missedPolls == 0 {
		ex.silentSince = now
	}
	if ex.missedPolls < maxMissedPolls {
		ex.missedPolls = maxMissedPolls
		c.recordSilence(ex)
		c.updateCordon(ex)
		c.Log.WithField("executor", ex.ID).WithField("address", ex.Address).WithField("runs", len(ex.runs)).
			Warn("another executor responds at the address of the executor")
	}
	runs := ex.sortedRuns()
	c.recordCrash(now, ex, runs, "another executor responds at its address")
	for _, r := range runs {
		c.markLost(now, r, "another executor responds at its address")
	}
	if !ex.claimed {
		c.unblockSteps(ex.ID) // nothing that an earlier owner has started there runs any more
	}
}

// handleReplacementAt does that for the executor to which a command was sent, unless it has another address now.
func (c *Core) handleReplacementAt(now time.Time, e fleet.Executor) {
	if ex := c.executors[e.ID]; ex != nil && ex.Address == e.Address {
		c.handleReplacement(now, ex)
	}
}

// applyEnd applies an ended run that the executor lists and that was not applied before.
func (c *Core) applyEnd(now time.Time, ex *executor, e *fleet.End) {
	if e.Sequence <= ex.appliedSequence {
		return
	}
	ex.appliedSequence = e.Sequence
	c.unacked[ex.ID] = ex
	c.writes.ackDue = true
	c.Stats.Ends++
	r := ex.runs[runKey(e.Task, e.Number)]
	if r != nil {
		c.recordOutcome(now, r, e.Kind)
		c.detach(r)
	}
	j := c.jobs[e.Task.Job]
	if j == nil {
		if c.notRestored[e.Task.Job] {
			ex.unackedEnds = append(ex.unackedEnds, unackedEnd{sequence: e.Sequence})
		}
		return
	}
	ex.unackedEnds = append(ex.unackedEnds, unackedEnd{e.Sequence, j})
	c.openStarted(now, j, e.Task)
	c.markStarted(now, j)
	c.withdrawCrash(j, e.Task, e.Number)
	if e.Kind == fleet.Failed {
		if j.RecordSurvivedStart(e.Task, e.Number, true) {
			c.writes.markDirty(j)
		}
		j.failedRuns++
		c.Log.WithField("job", j.ID).WithField("step", e.Task.Step).WithField("index", e.Task.Index).
			WithField("run", e.Number).WithField("executor", ex.ID).WithField("executor_failures", ex.failures).
			WithField("attempts", j.MaxAttempts).Info("run failed")
	}
	c.applyEndToJob(now, j, e.Task, e.Number, e.Kind, e.Checkpoint, r)
}

// openStarted opens the occurrence of a task that an executor lists, if this owner has not opened it: an earlier owner
// did so, and was lost before that was stored.
func (c *Core) openStarted(now time.Time, j *job, t fleet.TaskID) {
	ready, opened := j.OpenStarted(t)
	if !opened {
		return
	}
	c.Log.WithField("job", j.ID).WithField("occurrence", t.Occurrence).WithField("steps", len(ready)).
		Info("occurrence was opened by an earlier owner")
	c.writes.markDirty(j)
	c.addSteps(now, j, ready)
}

// applyEndToJob updates the job of an ended run, then starts, stops or retries tasks as a result.
func (c *Core) applyEndToJob(now time.Time, j *job, t fleet.TaskID, number int64, kind fleet.EndKind, checkpoint string, r *run) {
	effect := j.ApplyEnd(now, t, number, kind, checkpoint)
	if effect.Changed {
		c.writes.markDirty(j)
	}
	if effect.Final {
		switch {
		case j.State == flow.Completed:
			c.Stats.Completed++
		case j.CrashesExecutors:
			c.Stats.Failed++
			c.logCrashingTask(j, t)
		default:
			c.Stats.Failed++
			c.Log.WithField("job", j.ID).WithField("step", t.Step).WithField("index", t.Index).
				WithField("attempts", j.MaxAttempts).Info("job failed: task has failed too often")
		}
		c.finishJob(now, j)
		return
	}
	if kind == fleet.Done {
		c.stopOtherRuns(now, j, t, effect.StepDone)
	}
	c.addSteps(now, j, effect.Ready)
	if effect.Restart && r != nil {
		c.retry(now, r, kind)
	}
}

// stopOtherRuns stops the other runs of a task that is done. If the step is done, none of its
// tasks stay pending. A gang is done as soon as its first member is.
func (c *Core) stopOtherRuns(now time.Time, j *job, t fleet.TaskID, stepDone bool) {
	for _, other := range j.runs[t] {
		c.stopRun(now, other, "another run is done")
	}
	st := j.steps[fleet.StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}]
	if st == nil {
		return
	}
	st.removePending(t.Index)
	if stepDone {
		c.dequeue(st)
		delete(j.steps, st.stepID)
	}
}

// retry makes the task of an ended run pending again.
func (c *Core) retry(now time.Time, r *run, kind fleet.EndKind) {
	st := r.job.steps[stepOf(r.task)]
	if st == nil || len(r.job.runs[r.task]) > 0 {
		return
	}
	if kind == fleet.Failed {
		st.failuresOn[r.ex.ID]++
	}
	if st.spec.Gang {
		c.refillPending(st)
		for _, other := range st.liveRuns() {
			c.stopRun(now, other, "gang is restarted")
		}
		return
	}
	if kind == fleet.Lost && len(st.unclaimed) > 0 {
		return // an earlier owner that is cut off may know of the loss and have restarted the task there
	}
	if st.spec.LongRunning {
		st.endedAt[r.task.Index] = now
	}
	st.addPending(r.task.Index)
	c.enqueue(st)
}

// applyListedRun updates a run that the executor lists, adopts one started by an earlier owner, or
// stops one that is not wanted.
func (c *Core) applyListedRun(now time.Time, ex *executor, listed *fleet.Run) {
	if r := ex.runs[runKey(listed.Task, listed.Number)]; r != nil {
		if r.confirmedAt.IsZero() && r.isForFormerIncarnation() {
			c.Log.WithField("executor", ex.ID).WithField("life", ex.incarnation).WithField("meant_for", r.start.Incarnation).
				WithField("run", r.key).Warn("executor runs a task whose start was meant for its former incarnation")
		}
		c.confirm(now, r, ex.clock, true)
		r.unconfirmed = false
		c.withdrawCrash(r.job, r.task, r.number)
		if listed.Percent > r.percent || !r.progressKnown {
			r.progressKnown, r.progressClock = true, ex.clock
		}
		r.percent, r.metric = listed.Percent, listed.Metric
		switch {
		case c.isStraggler(now, r):
			c.speculate(r)
		case r.isStalled():
			c.restartElsewhere(now, r)
		}
		return
	}
	j := c.jobs[listed.Task.Job]
	if j != nil {
		c.openStarted(now, j, listed.Task)
	}
	if j != nil && j.Task(listed.Task) == nil && j.hasRunsOfEnded(listed.Task) {
		c.stopRun(now, c.adopt(now, ex, j, listed), "job has ended") // it counts for its team until its end is listed
		return
	}
	if j == nil || j.Task(listed.Task) == nil {
		c.stopUnknownRun(ex, listed)
		return
	}
	c.withdrawCrash(j, listed.Task, listed.Number)
	r := c.adopt(now, ex, j, listed)
	task := j.Task(listed.Task)
	if task.Done || len(j.runs[listed.Task]) > 1 && !r.spec().AllowConcurrentRuns {
		c.stopRun(now, r, "another run of the task exists or is done")
	}
}

// stopUnknownRun stops a run whose job has ended or is not known. Its resource need is not known
// either, so the executor gets no new tasks until the run is gone.
func (c *Core) stopUnknownRun(ex *executor, listed *fleet.Run) {
	ex.unknownRuns++
	c.Log.WithField("executor", ex.ID).WithField("job", listed.Task.Job).WithField("step", listed.Task.Step).
		WithField("index", listed.Task.Index).WithField("run", listed.Number).Info("stopping run of an ended or unknown job")
	c.Stats.Stops++
	c.commands = append(c.commands, Command{
		Executor: ex.Executor,
		Stop:     &fleet.Stop{Task: listed.Task, Number: listed.Number, Epoch: c.Epoch},
	})
}

// adopt takes over a run of an earlier owner. Its step may depend on one whose ended runs have not
// been listed yet, so the run is kept even if the step does not seem to be ready.
func (c *Core) adopt(now time.Time, ex *executor, j *job, listed *fleet.Run) *run {
	st := c.stateOf(j, stepOf(listed.Task))
	r := &run{
		job: j, step: st, task: listed.Task, number: listed.Number, ex: ex, key: runKey(listed.Task, listed.Number),
		confirmedAt: now, confirmedClock: ex.clock, startedAt: now, percent: listed.Percent, metric: listed.Metric, cpuPercent: fullCPUPercent,
		progressClock: ex.clock, progressKnown: true, incarnation: ex.incarnation,
	}
	c.attach(r)
	st.removePending(listed.Task.Index)
	c.markStarted(now, j)
	c.Stats.Adopted++
	return r
}

// markLost gives up a run that can no longer be running.
func (c *Core) markLost(now time.Time, r *run, reason string) {
	c.Stats.Lost++
	r.job.lostRuns++
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("why", reason).
		WithField("age_ms", r.ex.silentSince.Sub(r.startedAt).Milliseconds()).
		WithField("crashes", r.job.crashes(r.task)).Info("run lost")
	c.detach(r)
	c.applyEndToJob(now, r.job, r.task, r.number, fleet.Lost, "", r)
}

// NeedsSecondPoll reports whether two polls of an executor should be in flight, so that one that is held does not
// delay the news whether a start without a response has run, or whether a suspect has outlived its start.
func (c *Core) NeedsSecondPoll(id string) bool {
	ex := c.executors[id]
	if ex == nil || !ex.claimed || ex.missedPolls >= maxMissedPolls || len(ex.runs) == 0 {
		return false
	}
	return ex.unconfirmedStarts > 0 || ex.trial != nil && ex.runs[ex.trial.key] == ex.trial && !ex.trial.outlivedStart
}
