package cell

import (
	"strconv"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// runsPerEpoch is the range of run numbers of one epoch. It keeps the numbers of a later epoch
	// above those of all earlier ones.
	runsPerEpoch = 1000

	fullCPUPercent = 100

	// runKeySuffix is about the length of the numbers in the key of a run.
	runKeySuffix = 24

	// commandTimeout is the timeout of the first attempt of a command; a response usually takes a
	// few milliseconds. Each retry doubles it, up to maxCommandTimeout.
	commandTimeout    = 150 * time.Millisecond
	maxCommandTimeout = 1200 * time.Millisecond

	// maxTimeoutDoublings limits the doublings of commandTimeout; this many exceed maxCommandTimeout.
	maxTimeoutDoublings = 4

	// rejectionBackoff is how long an executor that rejected a start gets no new tasks.
	rejectionBackoff = 500 * time.Millisecond
)

func runKey(t fleet.TaskID, number int64) string {
	b := make([]byte, 0, len(t.Job)+runKeySuffix)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(strconv.AppendInt(append(b, '#'), number, 10))
}

func stepOf(t fleet.TaskID) fleet.StepID {
	return fleet.StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

func (r *run) spec() *flow.StepSpec {
	return &r.job.Spec.Steps[r.task.Step]
}

// CommandTimeout returns how long to wait for the response to a command.
func (c *Core) CommandTimeout(now time.Time, attempt int) time.Duration {
	if c.Overloaded(now) {
		return maxCommandTimeout + c.Pace.Allowance() // retries would only add to the load of this instance
	}
	return min(commandTimeout<<min(attempt, maxTimeoutDoublings), maxCommandTimeout) + c.Pace.Allowance()
}

// nextRunNumber returns the number of the next run of a task.
func (c *Core) nextRunNumber(j *job, t fleet.TaskID) int64 {
	j.lastRunNumber[t]++
	return (c.Epoch-1)*runsPerEpoch + j.lastRunNumber[t]
}

// startRun starts a task on an executor whose capacity was already allocated under the key of the
// run.
func (c *Core) startRun(now time.Time, st *stepState, index int, number int64, ex *executor) {
	t := fleet.TaskID{Job: st.job.ID, Occurrence: st.stepID.Occurrence, Step: st.stepID.Step, Index: index}
	state := st.job.Task(t)
	until := c.leaseEnd(ex)
	ex.extendLease(until)
	r := &run{
		job: st.job, step: st, task: t, number: number, ex: ex, key: runKey(t, number),
		startedAt: now, cpuPercent: fullCPUPercent, commandPending: true, incarnation: ex.incarnation,
	}
	r.start = &fleet.Start{
		Task: t, Number: number, Text: st.job.Spec.Text, Checkpoint: state.Checkpoint,
		Ticket: st.tickets[ex.ID].value, LeaseEnd: until, Incarnation: ex.incarnation, Epoch: c.Epoch,
	}
	c.attach(r)
	if state.Suspect() {
		ex.trial = r
		if state.SuspectedLater() {
			c.lateTrialAt = now
		}
		c.secondPolls = append(c.secondPolls, ex.ID)
		c.Stats.Trials++
	}
	c.observeRestart(now, st, index, ex)
	c.observeTaken(now, st, ex)
	st.quotaHeldSince, st.claimedAt = time.Time{}, time.Time{}
	st.job.startedRuns++
	st.job.lastStart = now
	c.Stats.Starts++
	c.commands = append(c.commands, Command{Executor: ex.Executor, Start: r.start, run: r})
}

// attach adds a run to its job and its executor.
func (c *Core) attach(r *run) {
	r.job.runs[r.task] = append(r.job.runs[r.task], r)
	r.ex.runs[r.key] = r
	need := r.spec().Reserved()
	if _, held := c.allocator.WorkerOf(r.key); !held {
		err := c.allocator.Adopt(place.Task{ID: r.key, Job: r.job.ID, Kind: place.Batch, Need: need}, r.ex.ID)
		if err != nil {
			c.Log.WithField("executor", r.ex.ID).WithField("run", r.key).WithError(err).Warn("adopted run exceeds the capacity of its executor")
		}
	}
	c.countRun(r, 1)
	c.countForTeam(r, 1)
	r.step.runsOn[r.ex.ID]++
}

// detach is the inverse of attach.
func (c *Core) detach(r *run) {
	if r.ex.runs[r.key] != r {
		return
	}
	delete(r.ex.runs, r.key)
	c.allocator.Release(r.key)
	c.markFreed(r.ex)
	c.countRun(r, -1)
	c.countForTeam(r, -1)
	r.step.runsOn[r.ex.ID]--
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
	c.releaseEnded(r.job)
}

// stopRun stops a run. Its capacity is released when the executor lists the run as ended.
func (c *Core) stopRun(_ time.Time, r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping = true
	c.Stats.Stops++
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("why", reason).Debug("stopping run")
	if !r.commandPending {
		c.sendStop(r)
	}
}

func (c *Core) sendStop(r *run) {
	r.commandPending = true
	c.commands = append(c.commands, Command{
		Executor: r.ex.Executor, run: r,
		Stop: &fleet.Stop{Task: r.task, Number: r.number, Epoch: c.Epoch},
	})
}

// DiscardUnwanted reports whether a queued start is no longer wanted and must not be sent. It also
// updates the run of the start.
func (c *Core) DiscardUnwanted(now time.Time, cmd Command) bool {
	r := cmd.run
	if cmd.Start == nil || r == nil {
		return false
	}
	if r.ex.runs[r.key] != r {
		return true // the run was lost in the meantime
	}
	if !r.stopping && cmd.Attempt > 0 && !r.confirmedAt.IsZero() {
		r.commandPending = false
		return true // a list has told meanwhile that an earlier attempt was executed
	}
	if why := c.whyUnwanted(r); why != "" && !r.stopping {
		c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
			WithField("run", r.number).WithField("executor", r.ex.ID).Info("start discarded: " + why)
		r.stopping = true
	}
	if !r.stopping && !c.entryIsValid(now, r.ex) {
		c.heldStarts = append(c.heldStarts, cmd)
		return true
	}
	if !r.stopping {
		return false
	}
	r.commandPending = false
	if r.mayHaveRun() {
		c.sendStop(r)
		return true
	}
	c.giveBack(now, r)
	return true
}

// whyUnwanted returns what has become of the executor of a run, since the start was decided, so that it must not be sent
// any more; an empty reason means that it may.
func (c *Core) whyUnwanted(r *run) string {
	switch {
	case r.isForFormerIncarnation():
		return "executor has restarted"
	case c.overcommitted(r.ex):
		return "executor has shrunk"
	case r.ex.Draining:
		return "executor is draining"
	case r.job.team != nil && r.job.team.quota.Exceeded() && !r.mayHaveRun():
		return "quota of the team was lowered"
	}
	return ""
}

// isForFormerIncarnation reports whether the executor has restarted since the start was decided. The lease end, the
// ticket and the room of the start are those of the former incarnation.
func (r *run) isForFormerIncarnation() bool {
	return r.incarnation != 0 && r.incarnation != r.ex.incarnation
}

// mayHaveRun reports whether an attempt to start the run was executed or may still be. The response to one that is
// in flight decides about that one.
func (r *run) mayHaveRun() bool {
	return r.unconfirmed || r.mayStartLate || !r.confirmedAt.IsZero()
}

// awaitsProof reports whether the response to the only attempt to start the run is still due.
func (r *run) awaitsProof() bool {
	return r.commandPending && !r.mayHaveRun()
}

// giveBack makes the task of a run pending again that was certainly not started. Nothing of it counts: neither
// as a run, nor as a trial, nor as one that a crash has ended.
func (c *Core) giveBack(now time.Time, r *run) {
	c.withdrawCrash(r.job, r.task, r.number)
	if r.ex.trial == r {
		r.ex.trial = nil
	}
	r.job.startedRuns--
	c.detach(r)
	c.applyEndToJob(now, r.job, r.task, r.number, fleet.Lost, "", r)
}

// ApplyCommandResponse applies the response to a command.
func (c *Core) ApplyCommandResponse(now time.Time, cmd Command, resp fleet.Response) {
	r := cmd.run
	if resp.Status == fleet.Fenced {
		c.loseOwnership("executor " + cmd.Executor.ID)
		return
	}
	attached := r != nil && r.ex.runs[r.key] == r
	if attached {
		r.commandPending = false
	} else if r != nil && cmd.Start != nil {
		c.applyLateProof(now, r, resp)
	}
	if resp.Status == fleet.WrongExecutor {
		if attached && cmd.Start != nil && !r.mayHaveRun() {
			c.giveBack(now, r)
		}
		c.handleReplacementAt(now, cmd.Executor)
		return
	}
	if !attached {
		return
	}
	switch {
	case cmd.Stop != nil:
		c.applyStopResponse(now, cmd, resp)
		return
	case cmd.Start != nil:
		c.applyStartResponse(now, cmd, resp)
	}
	if r.ex.runs[r.key] == r && r.stopping && !r.commandPending {
		c.sendStop(r)
	}
}

// applyLateProof applies the response to the start of a run that was given up meanwhile: it decides whether the run
// may have caused the crash of its executor.
func (c *Core) applyLateProof(now time.Time, r *run, resp fleet.Response) {
	if !r.blameDeferred {
		return
	}
	r.blameDeferred = false
	switch resp.Status.ProofOfStart() {
	case fleet.HasNotRun:
		return
	case fleet.HasRun:
		c.confirm(now, r, resp.Clock, resp.HasClock)
	case fleet.MayRun:
	}
	c.recordTaskCrash(now, r, r.ex.crashed, resp.Status.String())
}

func (c *Core) applyStopResponse(now time.Time, cmd Command, resp fleet.Response) {
	r := cmd.run
	if resp.Status.Silent() || resp.Status == fleet.Unavailable {
		c.Stats.Resent++
		c.sendStop(r)
		c.commands[len(c.commands)-1].Attempt = cmd.Attempt + 1
		return
	}
	// From here on the run cannot be started; the next poll tells whether it was.
	r.unconfirmed = false
	r.stoppedAt = now
}

func (c *Core) applyStartResponse(now time.Time, cmd Command, resp fleet.Response) {
	r := cmd.run
	switch resp.Status.ProofOfStart() {
	case fleet.HasRun:
		if resp.Status == fleet.AlreadyEnded && cmd.Attempt == 0 && !r.stopping {
			// An earlier owner has used more numbers than its range holds. The next range overlaps with the
			// next owner's, which moves on in the same way.
			r.job.lastRunNumber[r.task] += runsPerEpoch
		}
		r.unconfirmed = false
		if r.isForFormerIncarnation() {
			c.confirm(now, r, 0, false) // the clock of the response is the former one's
			c.loseFormerRun(now, r)
			return
		}
		c.confirm(now, r, resp.Clock, resp.HasClock)
		if !r.progressKnown {
			r.progressKnown, r.progressClock = true, r.confirmedClock
		}
		return
	case fleet.MayRun:
		r.unconfirmed, r.mayStartLate = true, true
		c.awaitResponse(r.ex)
		r.ex.lateStarts = append(r.ex.lateStarts, lateStart{task: r.task, number: r.number, sentAt: now})
		if r.blameDeferred {
			r.blameDeferred = false
			c.presumeTaskCrash(now, r, "start without a response")
		}
		c.retryStart(now, cmd)
		return
	case fleet.HasNotRun:
	}
	if resp.Status == fleet.NotSent || resp.Status == fleet.Restarted {
		c.awaitResponse(r.ex)
		switch {
		case !r.mayHaveRun():
		case resp.Status == fleet.Restarted:
			return // the run is lost with the former incarnation once a poll shows the restart
		case r.isForFormerIncarnation():
			c.loseFormerRun(now, r)
			return
		default:
			c.holdRetry(cmd)
			return
		}
	}
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("verdict", resp.Status.String()).
		WithField("doubtful", r.unconfirmed).WithField("cause", resp.Cause).Info("start rejected")
	switch resp.Status {
	case fleet.InvalidTicket:
		if r.step.expireTicket(now, r.ex.ID, cmd.Start.Ticket) {
			r.ex.avoidUntil = now.Add(rejectionBackoff)
		}
	case fleet.Unavailable, fleet.InsufficientCapacity, fleet.Malformed:
		r.ex.avoidUntil = now.Add(rejectionBackoff)
	}
	if !r.confirmedAt.IsZero() {
		return // an earlier attempt was executed, as a list of runs has told since
	}
	if r.unconfirmed {
		// An earlier attempt may still arrive; a stop prevents it from being executed.
		c.stopRun(now, r, "start rejected after an unconfirmed one")
		return
	}
	c.giveBack(now, r)
}

// awaitResponse keeps new tasks from an executor until it responds to a poll, which is sent at once: it did not respond
// to a start, or has restarted since.
func (c *Core) awaitResponse(ex *executor) {
	ex.unconfirmedStarts++
	c.secondPolls = append(c.secondPolls, ex.ID)
}

// holdRetry repeats a start once the executor responds. While no connection can be opened, each attempt would fail at
// once.
func (c *Core) holdRetry(cmd Command) {
	r := cmd.run
	if r.stopping {
		return
	}
	r.commandPending = true
	r.ex.heldRetries = append(r.ex.heldRetries, Command{Executor: r.ex.Executor, Start: r.start, run: r, Attempt: cmd.Attempt + 1})
}

// releaseRetries sends the starts again that were held until the executor responds.
func (c *Core) releaseRetries(now time.Time, ex *executor) {
	for _, retry := range ex.heldRetries {
		c.resend(now, retry)
	}
	ex.heldRetries = nil
}

// retryStart sends a start again whose earlier attempt may have been executed.
func (c *Core) retryStart(now time.Time, cmd Command) {
	r := cmd.run
	if r.stopping {
		return
	}
	if r.isForFormerIncarnation() {
		c.loseFormerRun(now, r)
		return
	}
	r.commandPending = true
	c.resend(now, Command{Executor: r.ex.Executor, Start: r.start, run: r, Attempt: cmd.Attempt + 1})
}

// loseFormerRun gives up a run of the former incarnation of an executor that was still in doubt when the restart was
// noticed. If it was executed, it may be what crashed that incarnation.
func (c *Core) loseFormerRun(now time.Time, r *run) {
	c.recordTaskCrash(now, r, true, "executor restarted")
	c.markLost(now, r, "executor restarted")
}

// resend queues the repetition of a start.
func (c *Core) resend(now time.Time, retry Command) {
	c.Stats.Resent++
	if c.OwnershipConfirmed(now) {
		c.commands = append(c.commands, retry)
		return
	}
	// The executor may restart, lose the epoch of a successor and accept an outdated start.
	c.heldStarts = append(c.heldStarts, retry)
}
