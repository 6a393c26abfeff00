package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/near"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// maxMissedPolls is the number of consecutive missed polls from which an executor gets no new
	// tasks. One lost response is common.
	maxMissedPolls = 2

	// pollWait is how long an executor may hold its response until a run ends.
	pollWait = 700 * time.Millisecond

	// idlePollWait is the same for an executor without runs.
	idlePollWait = 2 * time.Second

	// mixedPollWait is the same for best-effort tasks beside latency-sensitive ones, whose response
	// times change quickly.
	mixedPollWait = 400 * time.Millisecond

	// unknownRunsPollWait is the same while the executor lists runs of unknown jobs: it gets no tasks until it
	// lists them no more. unstoredPollWait is the same while ended runs are not stored: they are acknowledged
	// with the next poll only, and until then the executor does not hold its responses.
	unknownRunsPollWait = 100 * time.Millisecond
	unstoredPollWait    = 200 * time.Millisecond

	// pollTimeoutMargin is how long the result of a poll may take beyond the time for which it may be held. It
	// leaves time for two attempts without a response and for the way through a relay.
	pollTimeoutMargin = 900 * time.Millisecond

	// pollPause is the pause between polls. It groups runs that end in quick succession.
	pollPause = 15 * time.Millisecond

	// unresponsivePollPause is the pause between polls of an executor that does not respond.
	unresponsivePollPause = 150 * time.Millisecond

	// maxEndsPerPoll is the maximum number of ended runs in one response.
	maxEndsPerPoll = 500

	// unlistedGrace is how long an executor that responds is used without an entry in the instance
	// list. Entries that expired during a store outage are back within two seconds of its end.
	unlistedGrace = 2500 * time.Millisecond

	// minLeaseLeft is the minimum remaining lease for which a start is worth sending.
	minLeaseLeft = time.Second

	// drainingLease is the lease of a draining executor, whose tasks start elsewhere soon after.
	drainingLease = 3 * time.Second

	// lateStartWindow is how long a start that timed out may still be executed.
	lateStartWindow = 15 * time.Second

	// passInterval is the minimum time between two scheduling passes for each executor of the fleet.
	passInterval = 2 * time.Microsecond

	// maxPassInterval, maxPollPause and maxPollWait limit the intervals while the owner has no time to
	// spare. Longer ones delay urgent work by more than the time that they save: a response held for 2 s
	// returns at the end of a run in most cases already.
	maxPassInterval = 20 * time.Millisecond
	maxPollPause    = 120 * time.Millisecond
	maxPollWait     = 2 * time.Second

	// failureWindow is how long the failures of an executor count.
	failureWindow = 8 * time.Second

	// failureShareWeight is the weight of one run in the moving average of the share of failed runs.
	failureShareWeight = 0.01

	// unlikelyFailures is the probability below which consecutive failures are blamed on the executor.
	unlikelyFailures = 0.001

	// maxKeptAwayShare is the share of the fleet's executors that may be kept away after failures.
	maxKeptAwayShare = 0.25
)

// executor is the owner's record of one executor.
type executor struct {
	fleet.Executor
	// listed is set while the executor has an entry in the instance list.
	listed bool
	// counted is set once the executor is counted in its pool.
	counted bool
	// writtenAt is about when the executor wrote its entry, as given to SetExecutor.
	writtenAt time.Time
	// unlistedAt is when the entry was removed. Entries also expire while the store is unavailable.
	unlistedAt time.Time
	// claimed is set when the executor responded under this epoch, runsKnown when all runs and
	// ended runs of earlier owners on it are known.
	claimed, runsKnown bool
	incarnation        int64
	// incarnationSince is when the current incarnation was first seen.
	incarnationSince time.Time
	// listedRunsAt is when the last list of all runs was applied.
	listedRunsAt time.Time
	missedPolls  int
	// undelivered is set while the result of a poll since the last response was not delivered.
	undelivered bool
	// crashed is set from a recorded crash until the executor responds again.
	crashed bool
	// silentSince is when the first of the current missed polls was noticed.
	silentSince time.Time
	// unconfirmedStarts is the number of starts that timed out since the last response.
	unconfirmedStarts int
	runs              map[string]*run

	// trial is the run of a task that is suspected of crashing its executors, if there is one.
	trial *run

	// clock is the reading of the executor's clock in the response that arrived at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseUntil is the latest lease end sent to the executor, on its clock.
	leaseUntil time.Duration

	// appliedSequence is the sequence number of the last ended run that was applied, ackedSequence that
	// of the last one that is stored, so that it can be acknowledged.
	appliedSequence int64
	ackedSequence   int64

	// unackedEnds are the ended runs that were applied and are not acknowledged.
	unackedEnds []unackedEnd

	// heldRetries are starts that are repeated once the executor responds.
	heldRetries []Command
	// lateStarts are starts that timed out and may still be executed.
	lateStarts []lateStart

	// freed is set while the executor is in Core.freed.
	freed bool

	// unknownRuns is the number of runs in the last response whose resource need is not known.
	unknownRuns int

	// avoidUntil is when the executor may get new tasks again after failures.
	avoidUntil time.Time
	// failures counts the consecutive failed runs of different jobs, failedJobs holds these jobs, and
	// failedAt is when the last run failed.
	failures   int
	failedJobs map[*job]bool
	failedAt   time.Time
	// machineCrashes is the number of crashes of its machine within crashWindow.
	machineCrashes int
	// promises holds, by step, the CPU in millicores that slow calls to the policy service in flight are
	// expected to claim here, promisedCPU their sum.
	promises    map[*stepState]int64
	promisedCPU int64
	// holds holds until when room for one task is held here, by long-running step.
	holds map[*stepState]time.Time
	// slowdown is the average run time on this executor relative to the estimates; 1 is normal.
	slowdown float64
	// freedCPU is the CPU in millicores of runs that end here, takenCPU that of tasks which other steps start here
	// while steps wait for the rack.
	freedCPU, takenCPU near.Rate
	// relativeSlowdown is slowdown relative to the average of all executors, as of Core.near.racksAt; 0 if unknown.
	relativeSlowdown float64
}

// lateStart is a start that got no response in time.
type lateStart struct {
	task   fleet.TaskID
	number int64
	sentAt time.Time
}

// SetExecutor adds or updates an executor of the instance list. Its entry was written after the given
// time, or up to watchInterval and one read of the list before it; the zero time means that its age is
// not known.
func (c *Core) SetExecutor(now, written time.Time, e fleet.Executor) {
	ex := c.executors[e.ID]
	if ex == nil {
		ex = &executor{
			Executor: e, runs: make(map[string]*run), promises: make(map[*stepState]int64), holds: make(map[*stepState]time.Time),
			slowdown: 1, machineCrashes: len(c.crashedAt[e.Address]),
		}
		c.executors[e.ID] = ex
		i, _ := slices.BinarySearchFunc(c.sortedExecutors, e.ID, func(ex *executor, id string) int { return cmp.Compare(ex.ID, id) })
		c.sortedExecutors = slices.Insert(c.sortedExecutors, i, ex)
		c.newExecutors = append(c.newExecutors, e.ID)
		c.Log.WithField("executor", e.ID).WithField("domain", e.Domain).WithField("rack", e.Rack).
			WithField("cpu_millis", e.Capacity.CPUMillis).Info("executor added")
	}
	if ex.writtenAt.IsZero() || e.EntryVersion != ex.EntryVersion {
		if !c.entryIsValid(now, ex) {
			c.markFreed(ex)
		}
		ex.writtenAt, ex.EntryVersion = written, e.EntryVersion
	}
	if ex.listed && ex.Equal(&e) {
		return // most writes of an entry only show that the executor is alive
	}
	leaving := e.Draining && !ex.Draining
	if ex.counted {
		c.countExecutor(ex, -1)
	}
	ex.Executor = e
	ex.listed, ex.counted = true, true
	c.countExecutor(ex, 1)
	c.allocator.SetWorker(place.Worker{Name: e.ID, Rack: e.Rack, Capacity: e.Capacity})
	c.largest = c.largest.Max(e.Capacity.Min(place.Resources{
		CPUMillis: place.MaxCPUMillis, MemoryMB: place.MaxMemoryMB, Accelerators: place.MaxAccelerators,
	}))
	c.updateCordon(ex)
	if leaving {
		c.Log.WithField("executor", e.ID).WithField("remaining_ms", e.MinRemaining.Milliseconds()).
			WithField("runs", len(ex.runs)).Info("executor is draining")
		c.evacuate(now, ex)
	}
}

// RemoveExecutor records that an executor has no entry any more. Its runs are given up when it no
// longer responds and its lease has expired.
func (c *Core) RemoveExecutor(now time.Time, id string) {
	ex := c.executors[id]
	if ex == nil || !ex.listed {
		return
	}
	ex.listed = false
	ex.unlistedAt = now
	c.Log.WithField("executor", id).WithField("runs", len(ex.runs)).Info("executor removed from the instance list")
}

// PassInterval returns the minimum time between two scheduling passes. A pass takes longer the larger
// the fleet is, and one pass can cover many events.
func (c *Core) PassInterval() time.Duration {
	return c.Pace.Interval(passInterval*time.Duration(len(c.sortedExecutors)), maxPassInterval)
}

// TakeNewExecutors returns the IDs of the executors added since the last call.
func (c *Core) TakeNewExecutors() []string {
	ids := c.newExecutors
	c.newExecutors = nil
	return ids
}

// ExecutorIDs returns the IDs of all known executors.
func (c *Core) ExecutorIDs() []string {
	ids := make([]string, 0, len(c.sortedExecutors))
	for _, ex := range c.sortedExecutors {
		ids = append(ids, ex.ID)
	}
	return ids
}

// updateCordon cordons executors that must not get new tasks, and uncordons the others.
func (c *Core) updateCordon(ex *executor) {
	c.allocator.Cordon(ex.ID, ex.Draining || !ex.claimed || ex.missedPolls >= maxMissedPolls)
	c.markFreed(ex)
}

// canStart reports whether the executor may get a task now.
func (c *Core) canStart(now time.Time, ex *executor) bool {
	if ex.Draining || !ex.claimed || ex.missedPolls >= maxMissedPolls || ex.unconfirmedStarts > 0 || ex.unknownRuns > 0 ||
		!ex.entryIsCurrent() || !c.entryIsValid(now, ex) {
		return false
	}
	if !ex.listed && now.Sub(ex.unlistedAt) >= unlistedGrace || ex.inTrial(now) && ex.trial.unproven() {
		return false
	}
	return c.mayStart(now) && c.trusted(now, ex) && c.leaseEnd(ex)-ex.estimatedClock(now) >= minLeaseLeft
}

// isKeptAway reports whether the executor gets new tasks only from steps that have waited for long.
func (ex *executor) isKeptAway(now time.Time) bool {
	return now.Before(ex.avoidUntil) || ex.inTrial(now)
}

// entryIsCurrent reports whether the entry in the instance list belongs to the incarnation that
// responds; another incarnation may have less capacity.
func (ex *executor) entryIsCurrent() bool {
	return ex.Incarnation == 0 || ex.incarnation == 0 || ex.Incarnation == ex.incarnation
}

// entryIsValid reports whether the entry is recent enough to rely on the capacity that it names.
func (c *Core) entryIsValid(now time.Time, ex *executor) bool {
	return c.EntryValidity == 0 || now.Sub(ex.writtenAt) < c.EntryValidity && now.Round(0).Sub(ex.writtenAt.Round(0)) < c.EntryValidity
}

// overcommitted reports whether the tasks on an executor need more than its capacity, because it has
// shrunk.
func (c *Core) overcommitted(ex *executor) bool {
	free, _ := c.allocator.Free(ex.ID)
	return free.CPUMillis < 0 || free.MemoryMB < 0 || free.Accelerators < 0
}

// NextPoll returns the next poll of an executor; the result is false if the executor is no longer
// known.
func (c *Core) NextPoll(now time.Time, id string) (fleet.Executor, fleet.Poll, bool) {
	ex := c.executors[id]
	if ex == nil {
		return fleet.Executor{}, fleet.Poll{}, false
	}
	poll := fleet.Poll{Epoch: c.Epoch}
	if ex.missedPolls == 0 && !ex.undelivered {
		// Since its last response the executor may have restarted, which resets its sequence numbers.
		poll.AckedSequence, poll.KnownSequence = ex.ackedSequence, ex.appliedSequence
	}
	if ex.claimed && ex.missedPolls == 0 {
		poll.Incarnation = ex.incarnation
		switch {
		case len(ex.runs) == 0:
			poll.Wait = idlePollWait
		case ex.trial != nil:
			poll.Wait = trialPollWait
		case ex.isMixed():
			poll.Wait = mixedPollWait
		default:
			poll.Wait = c.Pace.Interval(pollWait, maxPollWait)
		}
	}
	switch {
	case ex.unconfirmedStarts > 0 || !ex.runsKnown || ex.undelivered:
		poll.Wait = 0
	case ex.unknownRuns > 0:
		poll.Wait = min(poll.Wait, unknownRunsPollWait)
	case ex.appliedSequence > ex.ackedSequence:
		poll.Wait = min(poll.Wait, unstoredPollWait)
	}
	if ex.claimed && ex.missedPolls == 0 && len(ex.runs) > 0 {
		// News of ended runs comes without a list of the runs, so that one is due at regular times.
		poll.Wait = max(poll.Wait-now.Sub(ex.listedRunsAt), 0)
	}
	if ex.claimed && ex.missedPolls == 0 {
		// The lease of an unresponsive executor is not extended, so that it expires.
		if len(ex.runs) > 0 {
			poll.LeaseEnd = c.leaseEnd(ex)
			ex.extendLease(poll.LeaseEnd)
		}
	}
	poll.Timeout = poll.Wait + pollTimeoutMargin
	poll.Timeout += c.Pace.Allowance()
	c.Stats.Polls++
	return ex.Executor, poll, true
}

// PollPause returns the pause before the next poll.
func (c *Core) PollPause(id string) time.Duration {
	if ex := c.executors[id]; ex != nil && ex.missedPolls >= maxMissedPolls {
		return unresponsivePollPause
	}
	return c.Pace.Interval(pollPause, maxPollPause)
}

// HasUnstoredEnds reports whether the executor still lists ended runs that were applied but not
// stored.
func (c *Core) HasUnstoredEnds(id string) bool {
	ex := c.executors[id]
	return ex != nil && ex.missedPolls == 0 && ex.appliedSequence > ex.ackedSequence
}

// isMixed reports whether best-effort tasks run beside latency-sensitive ones.
func (ex *executor) isMixed() bool {
	var latencySensitive, bestEffort bool
	for _, r := range ex.runs {
		spec := r.spec()
		latencySensitive = latencySensitive || spec.LatencyTarget > 0
		bestEffort = bestEffort || spec.BestEffort
	}
	return latencySensitive && bestEffort
}

// hasLateStarts reports whether a start that timed out may still be executed.
func (ex *executor) hasLateStarts(now time.Time) bool {
	ex.lateStarts = slices.DeleteFunc(ex.lateStarts, func(s lateStart) bool { return now.Sub(s.sentAt) > lateStartWindow })
	return len(ex.lateStarts) > 0
}

func (c *Core) dropExecutor(ex *executor) {
	c.allocator.RemoveWorker(ex.ID)
	c.pool(ex.Service).capacity -= ex.poolCPU()
	delete(c.executors, ex.ID)
	delete(c.unacked, ex.ID)
	c.sortedExecutors = slices.DeleteFunc(slices.Clone(c.sortedExecutors), func(other *executor) bool { return other == ex })
	c.Log.WithField("executor", ex.ID).Info("executor dropped")
}

// sortedRuns returns the runs sorted by key. The slice is a copy, so that runs can be removed while
// iterating.
func (ex *executor) sortedRuns() []*run {
	out := make([]*run, 0, len(ex.runs))
	for _, r := range ex.runs {
		out = append(out, r)
	}
	sortRuns(out)
	return out
}

// sortRuns sorts runs by key, which makes decisions deterministic.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.key, b.key) })
}

// recordFailure counts a failed run against its executor, which gets no new tasks for some seconds if it
// is to blame; true is returned then. That takes at least three consecutive failures of different jobs
// that the share of failed runs in the whole fleet does not explain: where most jobs fail, a sound
// executor fails many in a row.
func (c *Core) recordFailure(now time.Time, ex *executor, j *job) bool {
	if now.Sub(ex.failedAt) > failureWindow {
		ex.recordSuccess()
	}
	ex.failedAt = now
	if ex.failedJobs[j] {
		return false // the job may be the cause
	}
	if ex.failedJobs == nil {
		ex.failedJobs = make(map[*job]bool)
	}
	ex.failedJobs[j] = true
	ex.failures++
	if ex.failures < 3 || math.Pow(c.failureShare, float64(ex.failures)) > unlikelyFailures || c.manyAreKeptAway(now) {
		return false
	}
	ex.avoidUntil = now.Add(time.Duration(math.Min(float64(ex.failures), 8)) * time.Second)
	return true
}

// manyAreKeptAway reports whether so many executors are kept away after failures that these are likely to
// have another cause.
func (c *Core) manyAreKeptAway(now time.Time) bool {
	n := 0
	for _, ex := range c.sortedExecutors {
		if now.Before(ex.avoidUntil) {
			n++
		}
	}
	return n > 0 && float64(n) >= maxKeptAwayShare*float64(len(c.sortedExecutors))
}

func (ex *executor) recordSuccess() {
	ex.failures = 0
	clear(ex.failedJobs)
}
