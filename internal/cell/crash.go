package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// A task that crashes its executor takes the other runs there along. Which run is to blame is not
// known at first: the suspects are those that the executor is not known to have survived. A suspect
// starts again on an executor on which no other run is one (a trial), and the executor gets no other
// tasks until the run has proven harmless. flow.Job decides when the task is given up; docs/platform.md lists
// what counts as evidence.

const (
	// startCrashWindow is how long after the confirmation of a start a crash of the executor counts as
	// caused by it.
	startCrashWindow = 150 * time.Millisecond

	// trialPollWait is how long an executor may hold its response during a trial, which ends with it.
	trialPollWait = 80 * time.Millisecond

	// maxTrialTime limits the trial of a task under which several executors have crashed; it lasts
	// until the run ends.
	maxTrialTime = 10 * time.Second

	// trialRetryInterval is the interval between attempts to place a suspect for which no executor was
	// suitable.
	trialRetryInterval = 50 * time.Millisecond

	// trialPatience is how long a suspect waits for an executor without other suspects.
	trialPatience = time.Second

	// crashWindow is how long a crash counts against the address of an executor: a machine that keeps
	// crashing by itself is not suitable for trials.
	crashWindow = 20 * time.Second

	// commonSilenceWindow is the time within which executors that fall silent have a common cause.
	commonSilenceWindow = 100 * time.Millisecond

	// sameMomentWindow is the time within which executors that crash at the same moment are noticed if
	// their connections break. It is short, since on a day with many deadly tasks ten executors a second
	// crash.
	sameMomentWindow = 12 * time.Millisecond

	// disruptionWindow is the time within which executors that crash silently at the same moment are
	// noticed: a poll that is held breaks off when it times out only.
	disruptionWindow = time.Second

	// minDisruption is the number of other executors that have to fall silent to clear a run that was not
	// just started. A single one may have run another task that crashes its executors.
	minDisruption = 2

	// lateTrialInterval is the minimum time between the trials of two tasks that crash their executors later
	// than at the start. Crashes of tasks that start together can be together, within commonSilenceWindow, and
	// then say nothing about either.
	lateTrialInterval = 250 * time.Millisecond

	// likelyCrash is the probability of a crash of the machine by itself from which the crash does not
	// speak against the run. minCrashSpan is the shortest time over which the crashes of a machine are
	// averaged to estimate it.
	likelyCrash  = 0.1
	minCrashSpan = time.Second

	// longRunningRisk is the number of ordinary runs that a long-running one is worth when the
	// executor with the least to lose is chosen.
	longRunningRisk = 4
)

// silence is an executor that has stopped responding.
type silence struct {
	executor string
	at       time.Time
	// explained is set when a run had just been started there, which may be the cause.
	explained bool
}

// unproven reports whether the executor is not known to have survived the start of the run. Its own clock
// tells that, since a response can arrive long after the executor sent it.
func (r *run) unproven() bool {
	return r.confirmedAt.IsZero() || r.ex.clock-r.confirmedClock < startCrashWindow
}

// confirm records that the executor confirmed the run in a response with the given reading of its clock.
func (c *Core) confirm(now time.Time, r *run, clock time.Duration, hasClock bool) {
	if !r.confirmedAt.IsZero() {
		return
	}
	c.markStarted(now, r.job)
	if !hasClock {
		clock = r.ex.estimatedClock(now)
	}
	r.confirmedAt, r.confirmedClock = now, clock
}

// inTrial reports whether the executor must not get other tasks because of the trial of a suspect.
func (ex *executor) inTrial(now time.Time) bool {
	r := ex.trial
	if r == nil || ex.runs[r.key] != r {
		return false
	}
	if !r.outlivedStart {
		return true
	}
	task := r.job.Task(r.task)
	return task != nil && len(task.Crashes) > 1 && now.Sub(r.startedAt) < maxTrialTime
}

// TakeSecondPolls returns the IDs of the executors for which NeedsSecondPoll may have changed since the last call.
func (c *Core) TakeSecondPolls() []string {
	ids := c.secondPolls
	c.secondPolls = nil
	return ids
}

// endTrial makes the executor available again if the trial of a suspect is over.
func (c *Core) endTrial(now time.Time, ex *executor) {
	if ex.trial != nil && !ex.inTrial(now) {
		ex.trial = nil
		c.markFreed(ex)
	}
}

// presumeCrash records a crash for the runs that may have caused the silence of an executor. That is
// stored at once, since this owner may be gone before the crash is certain. It is withdrawn if the
// executor turns out to be alive.
func (c *Core) presumeCrash(now time.Time, ex *executor) {
	if ex.Draining {
		return
	}
	c.recordSilence(ex)
	for _, r := range ex.sortedRuns() {
		switch {
		case r.awaitsProof():
			r.blameDeferred = true
		case r.unproven():
			c.presumeTaskCrash(now, r, "executor does not respond")
		}
	}
}

// recordSilence records that an executor has stopped responding, unless it was about to leave.
func (c *Core) recordSilence(ex *executor) {
	if !ex.Draining {
		c.silences = append(c.silences, silence{executor: ex.ID, at: ex.silentSince, explained: ex.hasUnprovenRuns()})
	}
}

// presumeTaskCrash records a crash for a run that may have caused the silence of its executor.
func (c *Core) presumeTaskCrash(now time.Time, r *run, evidence string) {
	if r.ex.missedPolls >= maxMissedPolls && c.recordTaskCrash(now, r, false, evidence) {
		c.writes.recordDue = true
		c.presumedOn[r.ex.ID] = append(c.presumedOn[r.ex.ID], flow.RunID{Task: r.task, Number: r.number})
	}
}

// recordCrash records the crash of an executor for the given runs on it. An executor that was draining
// left as planned.
func (c *Core) recordCrash(now time.Time, ex *executor, runs []*run, evidence string) {
	if ex.Draining {
		return
	}
	if ex.missedPolls == 0 {
		ex.silentSince = now
	}
	if !ex.crashed && !slices.ContainsFunc(runs, (*run).unproven) {
		c.spontaneousCrashAt = ex.silentSince
	}
	ex.crashed = true
	// What is known by now about other causes counts before a crash that was presumed becomes certain.
	defer c.confirmCrashes(ex.ID)
	if len(runs) == 0 {
		return
	}
	c.Stats.Crashes++
	youngest := runs[0]
	for _, r := range runs {
		if r.startedAt.After(youngest.startedAt) {
			youngest = r
		}
		if r.awaitsProof() {
			r.blameDeferred = true
			continue
		}
		c.recordTaskCrash(now, r, true, evidence)
		if task := r.job.Task(r.task); task != nil && len(task.Crashes) > 1 {
			c.Stats.RepeatedCrashes++
		}
	}
	c.crashedAt[ex.Address] = append(c.crashedAt[ex.Address], now)
	c.updateMachineCrashes(ex.Address)
	c.Log.WithField("executor", ex.ID).WithField("address", ex.Address).WithField("why", evidence).
		WithField("runs", len(runs)).WithField("silent_ms", now.Sub(ex.silentSince).Milliseconds()).
		WithField("youngest_run", youngest.key).WithField("youngest_confirmed", !youngest.confirmedAt.IsZero()).
		WithField("trial", ex.trial != nil).WithField("machine_crashes", len(c.crashedAt[ex.Address])).
		WithField("youngest_age_ms", ex.silentSince.Sub(youngest.startedAt).Milliseconds()).Warn("executor crashed")
}

// confirmCrashes confirms the crashes that were presumed of an executor, by this owner or an earlier one.
func (c *Core) confirmCrashes(id string) {
	for _, r := range c.presumedOn[id] {
		if j := c.jobs[r.Task.Job]; j != nil && !j.State.Final() && j.ConfirmCrash(r.Task, r.Number) {
			c.writes.markDirty(j)
		}
	}
	delete(c.presumedOn, id)
}

// confirmCrashesOfGone confirms the crashes that earlier owners presumed of executors that have not
// been seen since.
func (c *Core) confirmCrashesOfGone() {
	for _, id := range slices.Sorted(maps.Keys(c.presumedOn)) {
		if c.executors[id] == nil {
			c.confirmCrashes(id)
		}
	}
}

// recordTaskCrash records the crash of its executor for the task of a run, and reports whether that
// changed anything.
func (c *Core) recordTaskCrash(now time.Time, r *run, confirmed bool, evidence string) bool {
	expected, disrupted := c.expectsCrash(r), c.isDisrupted(r)
	if !r.unproven() && (disrupted || expected) {
		c.withdrawCrash(r.job, r.task, r.number)
		return false
	}
	crash := flow.Crash{Run: r.number, AtStart: r.unproven(), Alone: c.isAloneToBlame(r), At: now}
	// A start without a response may not have reached the executor.
	if !r.confirmedAt.IsZero() && !expected && !disrupted {
		crash.Executor, crash.Confirmed = r.ex.ID, confirmed
	}
	if !r.job.RecordCrash(r.task, crash) {
		return false
	}
	c.Log.WithField("job", r.job.ID).WithField("step", r.task.Step).WithField("index", r.task.Index).
		WithField("run", r.number).WithField("executor", r.ex.ID).WithField("why", evidence).
		WithField("run_confirmed", !r.confirmedAt.IsZero()).WithField("certain", crash.Confirmed).
		WithField("at_start", crash.AtStart).WithField("alone", crash.Alone).
		WithField("crashes", r.job.crashes(r.task)).Info("crash counted against task")
	if !r.job.State.Final() {
		c.writes.markDirty(r.job)
	}
	return true
}

// isAloneToBlame reports whether only the run can have caused the crash of its executor: the machine does
// not crash by itself, no other executor crashed with it, and no other run was on it. If it crashed right
// after the start of the run, the other runs there must not have just been started, and no executor may have
// crashed lately without such a run.
func (c *Core) isAloneToBlame(r *run) bool {
	if r.confirmedAt.IsZero() || c.expectsCrash(r) || c.isDisrupted(r) {
		return false
	}
	atStart := r.unproven()
	switch {
	case atStart && r.ex.silentSince.Sub(r.startedAt) > startCrashWindow:
		return false // it may have crashed at any time since
	case atStart && (c.silentWithin(r.ex, sameMomentWindow) > 1 || r.ex.silentSince.Sub(c.spontaneousCrashAt) < crashWindow):
		return false
	case !atStart && c.silentWithin(r.ex, commonSilenceWindow) > 1:
		return false
	}
	for _, other := range r.ex.runs {
		if other != r && (!atStart || other.unproven()) {
			return false
		}
	}
	return true
}

// expectsCrash reports whether the machine of a run has crashed so often lately that another crash during
// the run was likely anyway.
func (c *Core) expectsCrash(r *run) bool {
	crashes := c.crashedAt[r.ex.Address]
	if len(crashes) == 0 {
		return false
	}
	span := max(r.ex.silentSince.Sub(crashes[0]), minCrashSpan)
	return float64(len(crashes))*float64(r.ex.silentSince.Sub(r.startedAt)) >= likelyCrash*float64(span)
}

// silentWithin returns the number of executors that fell silent within a time of an executor, itself
// included: a rack that lost power, or a network partition.
func (c *Core) silentWithin(ex *executor, window time.Duration) int {
	n := 0
	for _, s := range c.silences {
		if s.at.Sub(ex.silentSince).Abs() < window {
			n++
		}
	}
	return n
}

// isDisrupted reports whether other executors on which no run had just been started fell silent at the same
// time as that of a run, at least minDisruption if the run had not just been started: its crash then says
// nothing about the run. Executors that crash silently are noticed over disruptionWindow; one that falls
// silent right after a start was noticed at once.
func (c *Core) isDisrupted(r *run) bool {
	window := disruptionWindow
	if r.ex.silentSince.Sub(r.startedAt) <= startCrashWindow {
		window = commonSilenceWindow
	}
	others := 0
	for _, s := range c.silences {
		if s.executor != r.ex.ID && !s.explained && s.at.Sub(r.ex.silentSince).Abs() < window {
			others++
		}
	}
	if r.unproven() {
		return others > 0
	}
	return others >= minDisruption
}

// recordSurvivedStarts records that the listed runs on an executor have outlived their starts, as a
// response to a poll sent at the given time shows.
func (c *Core) recordSurvivedStarts(sent time.Time, ex *executor, listed map[string]bool) {
	for _, r := range ex.runs {
		if !r.job.Suspicious() || !listed[r.key] || r.confirmedAt.IsZero() || sent.Sub(r.confirmedAt) < startCrashWindow {
			continue
		}
		r.outlivedStart = true
		outlivedTrial := sent.Sub(r.confirmedAt) > maxTrialTime
		if r.job.RecordSurvivedStart(r.task, r.number, outlivedTrial) && !r.job.State.Final() {
			c.writes.markDirty(r.job)
		}
	}
}

// withdrawCrash removes the crash presumed for a run that its executor has survived.
func (c *Core) withdrawCrash(j *job, t fleet.TaskID, number int64) {
	if j.WithdrawCrash(t, number) && !j.State.Final() {
		c.writes.markDirty(j)
	}
}

// expireCrashes forgets crashes and silences that no longer count.
func (c *Core) expireCrashes(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) > crashWindow }
	c.silences = slices.DeleteFunc(c.silences, func(s silence) bool { return old(s.at) })
	for address, times := range c.crashedAt {
		left := slices.DeleteFunc(times, old)
		if len(left) == len(times) {
			continue
		}
		c.crashedAt[address] = left
		if len(left) == 0 {
			delete(c.crashedAt, address)
		}
		c.updateMachineCrashes(address)
	}
}

// updateMachineCrashes makes the executors at an address show how often their machine has crashed lately.
func (c *Core) updateMachineCrashes(address string) {
	for _, ex := range c.sortedExecutors {
		if ex.Address == address {
			ex.machineCrashes = len(c.crashedAt[address])
		}
	}
}

// allocateTrial reserves the resources of a suspect on the candidate with the least to lose: one that
// has not crashed lately and has few runs. It answers tasks that crash one executor after another; nil
// means that no candidate is suitable now. One that has crashed lately is only chosen from all candidates:
// among those that were just freed, it is often the only one.
func (c *Core) allocateTrial(now time.Time, st *stepState, t place.Task, candidates []place.Candidate) *executor {
	type option struct {
		candidate     place.Candidate
		crashes, risk int
	}
	var options []option
	for _, cand := range candidates {
		ex := c.executors[cand.Worker]
		crashed := len(c.crashedAt[ex.Address]) > 0
		if st.trialOverdue || !ex.hasUnprovenRuns() && (st.scansAll || !crashed) {
			options = append(options, option{cand, len(c.crashedAt[ex.Address]), ex.risk()})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.risk, b.risk),
			cmp.Compare(a.candidate.Penalty, b.candidate.Penalty), cmp.Compare(a.candidate.Worker, b.candidate.Worker))
	})
	for _, o := range options {
		if decision := c.allocator.PlaceAmong(now, t, []place.Candidate{o.candidate}); decision.Worker != "" {
			return c.executors[decision.Worker]
		}
	}
	return nil
}

// isSuspect reports whether a task of the step may be the cause of crashes of executors.
func (st *stepState) isSuspect(index int) bool {
	return st.job.Suspicious() && st.job.Task(st.taskID(index)).Suspect()
}

// delaysTrial reports whether the trial of a task has to wait because that of another task, which may crash
// its executor at the same time, has just begun.
func (c *Core) delaysTrial(now time.Time, st *stepState, index int) bool {
	return !st.spec.Gang && !st.trialOverdue && st.job.Task(st.taskID(index)).SuspectedLater() &&
		now.Sub(c.lateTrialAt) < lateTrialInterval
}

func (st *stepState) hasSuspects() bool {
	return st.job.Suspicious() && slices.ContainsFunc(st.pending, st.isSuspect)
}

// updateTrial records how long suspects of the step have been waiting, and makes the step consider all
// executors for them at intervals: one can become suitable without getting any room.
func (st *stepState) updateTrial(now time.Time) {
	switch {
	case !st.hasSuspects():
		st.endTrialWait()
		return
	case st.trialSince.IsZero():
		st.trialSince = now
	case now.Before(st.nextTrialAt):
		return
	}
	st.trialOverdue = now.Sub(st.trialSince) > trialPatience
	st.nextTrialAt = now.Add(trialRetryInterval)
	st.fullScan = true
}

// endTrialWait records that no suspect of the step is waiting.
func (st *stepState) endTrialWait() {
	st.trialSince, st.trialOverdue = time.Time{}, false
}

func (ex *executor) hasUnprovenRuns() bool {
	for _, r := range ex.runs {
		if r.unproven() {
			return true
		}
	}
	return false
}

// risk returns what a crash of the executor would destroy, in ordinary runs.
func (ex *executor) risk() int {
	risk := 0
	for _, r := range ex.runs {
		if r.spec().LongRunning {
			risk += longRunningRisk
		} else {
			risk++
		}
	}
	return risk
}

// crashingTask returns a pending task of the step that is given up because it crashes its executors. An
// earlier owner may have recorded the crashes.
func (c *Core) crashingTask(now time.Time, st *stepState) (fleet.TaskID, bool) {
	if !st.job.Suspicious() {
		return fleet.TaskID{}, false
	}
	for _, index := range st.pending {
		if t := st.taskID(index); len(st.job.runs[t]) == 0 && st.job.FailIfCrashing(now, t) {
			return t, true
		}
	}
	return fleet.TaskID{}, false
}

// crashes returns the number of executors that crashed while they ran a task.
func (j *job) crashes(t fleet.TaskID) int {
	if task := j.Task(t); task != nil {
		return len(task.Crashes)
	}
	return 0
}

// logCrashingTask logs that a job failed because of a task that crashes its executors.
func (c *Core) logCrashingTask(j *job, t fleet.TaskID) {
	c.Stats.GivenUp++
	c.Log.WithField("job", j.ID).WithField("step", t.Step).WithField("index", t.Index).
		Warn("job failed: task crashes its executors")
}
