package cell

import (
	"slices"
	"sort"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// ticketMargin is how long before its expiry a ticket is no longer used, since the start has to
	// arrive while the ticket is valid.
	ticketMargin = 150 * time.Millisecond

	// failurePenalty is the penalty of an executor for each failure of the step's tasks on it.
	failurePenalty = 100

	// crashPenalty is the penalty of an executor for each recent crash of its machine, which is likely to
	// crash again.
	crashPenalty = 20

	// mixedPenalty keeps best-effort and latency-sensitive tasks apart where there is a choice.
	mixedPenalty = 10

	// otherDomainPenalty keeps the tasks of a job in one failure domain.
	otherDomainPenalty = 3

	// otherRackPenalty prefers the rack where the data is.
	otherRackPenalty = 5
)

// stepState is a step of a job with the scheduling state of its tasks.
type stepState struct {
	job    *job
	stepID fleet.StepID
	spec   *flow.StepSpec
	queue  *fleet.Queue
	// pending holds the indexes of the tasks to start.
	pending []int
	// queued is set while the step is in Core.runnable.
	queued bool
	// preferredRack is set for steps that are slower when spread over several racks.
	preferredRack string

	tickets map[string]ticket
	// asked holds, by executor, the incarnation for which the policy service was asked. If there is
	// no ticket for it, the policy service did not allow that incarnation.
	asked          map[string]int64
	adviceInFlight int
	// askedAt is when the last call was sent.
	askedAt time.Time
	// asking holds the executors named in calls in flight, with the number of tasks that fit there.
	asking       map[string]promise
	nextAdviceAt time.Time
	// runsOn counts the runs of the step by executor.
	runsOn map[string]int
	// unclaimed holds the executors on which an earlier owner may have started tasks of the step
	// and that are not claimed yet. While there are any, no task of the step is started.
	unclaimed map[string]bool
	// nextGangAt is when a gang may be placed again after it did not fit.
	nextGangAt time.Time
	// fullScan is set when the next scheduling pass has to consider all executors, skipped when one has left the
	// step out. visitedAt is when one last did not.
	fullScan, skipped bool
	visitedAt         time.Time
	// trialSince is when a suspect began to wait for a suitable executor, nextTrialAt when it is tried
	// again. trialOverdue is set when it has waited for so long that any executor will do.
	trialSince, nextTrialAt time.Time
	trialOverdue            bool
	// scansAll is set while tasks are placed on all executors, not only on those that were just freed.
	scansAll bool
	// waitingSince is when the step began to wait, see updateWaiting; waitReported is set once that was
	// logged, examineAt is when the reasons are looked for next. impatient is set while the step uses
	// executors that are kept away.
	waitingSince, examineAt time.Time
	waitReported, impatient bool
	// heldTooLong is set once the step has waited for so long that an owner that is behind no longer holds
	// it back.
	heldTooLong bool
	// endedAt is, by index, when the last run of a long-running task that does not run any more ended.
	endedAt map[int]time.Time
	// quotaHeldSince is since when the quota of the team has held the step back without a start of it.
	quotaHeldSince time.Time
	// claim is the contest that the step takes part in, account what its team has of it; both may be nil.
	claim   *claim
	account *account
	// claimedAt is since when the step has claimed room without a start although there was enough.
	claimedAt time.Time
	// claimsBefore is the CPU in millicores that steps of other teams before it claimed in the last pass.
	claimsBefore int64
	// turn orders the steps of teams beyond their share, which come after those of all others.
	turn float64
	// failuresOn counts failed and stalled runs of the step by executor.
	failuresOn map[string]int
	// remoteSlowdown is Core.RemoteSlowdown if that is above 1, near the wait for a place on the step's rack.
	remoteSlowdown float64
	near           nearWait
}

// promise is an executor named in a call to the policy service in flight, with the number of tasks that fit
// there.
type promise struct {
	ex   *executor
	fits int
}

// ticket allows the step on one incarnation of an executor.
type ticket struct {
	value       string
	until       time.Time
	incarnation int64
}

// addSteps makes the tasks of steps that may start pending.
func (c *Core) addSteps(_ time.Time, j *job, steps []fleet.StepID) {
	for _, s := range steps {
		c.refillPending(c.stateOf(j, s))
	}
}

// domainWithMostFreeCPU returns the failure domain whose responsive executors have the most free CPU.
func (c *Core) domainWithMostFreeCPU() string {
	free := make(map[string]int64)
	best := ""
	for _, ex := range c.sortedExecutors {
		if !ex.listed || ex.Draining || !ex.claimed || ex.missedPolls > 0 {
			continue
		}
		available, _ := c.allocator.Free(ex.ID)
		free[ex.Domain] += max(available.CPUMillis, 0)
		if best == "" || free[ex.Domain] > free[best] || free[ex.Domain] == free[best] && ex.Domain < best {
			best = ex.Domain
		}
	}
	return best
}

// rackFittingMostTasks returns the rack whose responsive executors fit the most tasks of a step.
func (c *Core) rackFittingMostTasks(st *stepState) string {
	fits := make(map[string]int)
	best := ""
	for _, ex := range c.sortedExecutors {
		if !ex.listed || ex.Draining || !ex.claimed || ex.missedPolls > 0 || !st.matches(ex) {
			continue
		}
		fits[ex.Rack] += c.fits(st, ex)
		if best == "" || fits[ex.Rack] > fits[best] || fits[ex.Rack] == fits[best] && ex.Rack < best {
			best = ex.Rack
		}
	}
	return best
}

// stateOf returns the state of a step; a new one has no pending tasks.
func (c *Core) stateOf(j *job, s fleet.StepID) *stepState {
	if st := j.steps[s]; st != nil {
		return st
	}
	st := &stepState{
		job: j, stepID: s, spec: &j.Spec.Steps[s.Step], queue: c.queueOf(j.Spec.Queue, j.Spec.AcceptedBy),
		tickets: make(map[string]ticket), asked: make(map[string]int64), asking: make(map[string]promise),
		runsOn: make(map[string]int), failuresOn: make(map[string]int), endedAt: make(map[int]time.Time),
		unclaimed: make(map[string]bool), remoteSlowdown: validSlowdown(c.RemoteSlowdown),
	}
	if st.queue == nil {
		st.queue = &fleet.Queue{Name: j.Spec.Queue}
	}
	if st.spec.SameRack && st.spec.DataRack == "" {
		st.preferredRack = c.rackFittingMostTasks(st)
	}
	c.joinContest(st)
	j.steps[s] = st
	c.blockStep(st)
	return st
}

// refillPending makes all tasks of the step pending that are neither done nor running.
func (c *Core) refillPending(st *stepState) {
	if !st.job.Ready(st.stepID) || len(st.unclaimed) > 0 {
		return
	}
	st.pending = st.pending[:0]
	for _, i := range st.job.UnfinishedTasks(st.stepID) {
		t := fleet.TaskID{Job: st.job.ID, Occurrence: st.stepID.Occurrence, Step: st.stepID.Step, Index: i}
		if len(st.job.runs[t]) == 0 {
			st.pending = append(st.pending, i)
		}
	}
	c.enqueue(st)
}

func (st *stepState) addPending(index int) {
	if !slices.Contains(st.pending, index) {
		st.pending = append(st.pending, index)
	}
}

// removePending removes a task from the pending ones.
func (st *stepState) removePending(index int) {
	if i := slices.Index(st.pending, index); i >= 0 {
		st.pending = slices.Delete(st.pending, i, i+1)
	}
}

// liveRuns returns the runs of the step's tasks.
func (st *stepState) liveRuns() []*run {
	var out []*run
	for t, runs := range st.job.runs {
		if stepOf(t) == st.stepID {
			out = append(out, runs...)
		}
	}
	sortRuns(out)
	return out
}

// enqueue inserts the step into runnable, in scheduling order.
func (c *Core) enqueue(st *stepState) {
	if len(st.pending) == 0 || st.job.State.Final() {
		return
	}
	st.fullScan = true
	if st.queued {
		return
	}
	st.queued = true
	st.resetWaiting()
	c.setTurn(st)
	i := sort.Search(len(c.runnable), func(i int) bool { return schedulesBefore(st, c.runnable[i]) })
	c.runnable = slices.Insert(c.runnable, i, st)
}

func (c *Core) dequeue(st *stepState) {
	st.pending = nil
	if !st.queued {
		return
	}
	st.queued = false
	if i := slices.Index(c.runnable, st); i >= 0 {
		c.runnable = slices.Delete(c.runnable, i, i+1)
	}
}

// schedulesBefore orders steps by priority, then by the rate and the share of their team, then by the objective of their job. This
// strict order suits ordinary load and short bursts: no step starves as long as the fleet catches up.
func schedulesBefore(a, b *stepState) bool {
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if a.job.overRate != b.job.overRate {
		return b.job.overRate
	}
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	if !a.job.sloDeadline.Equal(b.job.sloDeadline) {
		return a.job.sloDeadline.Before(b.job.sloDeadline)
	}
	if a.job.ID != b.job.ID {
		return a.job.ID < b.job.ID
	}
	return a.stepID.Occurrence < b.stepID.Occurrence || a.stepID.Occurrence == b.stepID.Occurrence && a.stepID.Step < b.stepID.Step
}

// without returns the candidates except an executor.
func without(candidates []place.Candidate, ex *executor) []place.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(cand place.Candidate) bool { return cand.Worker == ex.ID })
}

func (st *stepState) taskID(index int) fleet.TaskID {
	return fleet.TaskID{Job: st.job.ID, Occurrence: st.stepID.Occurrence, Step: st.stepID.Step, Index: index}
}

// candidates returns the executors that may run the step now.
func (c *Core) candidates(now time.Time, st *stepState) []place.Candidate {
	var out []place.Candidate
	if st.queue.Advice == nil {
		for _, ex := range c.sortedExecutors {
			if st.job.recordedOn[ex.ID] && c.isEligible(now, st, ex) {
				out = append(out, place.Candidate{Worker: ex.ID, Penalty: penalty(st, ex)})
			}
		}
		return out
	}
	for id := range st.tickets {
		if ex := c.executors[id]; ex != nil && st.job.recordedOn[id] && c.hasTicket(now, st, ex) && c.isEligible(now, st, ex) {
			out = append(out, place.Candidate{Worker: id, Penalty: penalty(st, ex)})
		}
	}
	return out
}

// candidatesAmong returns those of the given executors that may run the step now.
func (c *Core) candidatesAmong(now time.Time, st *stepState, among []*executor) []place.Candidate {
	var out []place.Candidate
	for _, ex := range among {
		if st.job.recordedOn[ex.ID] && (st.queue.Advice == nil || c.hasTicket(now, st, ex)) && c.isEligible(now, st, ex) {
			out = append(out, place.Candidate{Worker: ex.ID, Penalty: penalty(st, ex)})
		}
	}
	return out
}

// hasTicket reports whether the step has a usable ticket for the executor.
func (c *Core) hasTicket(now time.Time, st *stepState, ex *executor) bool {
	t, ok := st.tickets[ex.ID]
	return ok && t.incarnation == ex.incarnation && !now.Add(ticketMargin).After(t.until)
}

// expireTicket records that an executor rejected a ticket, and reports whether it should not have run out yet. The step
// is still allowed there and asks for another one: without any it would count as denied.
func (st *stepState) expireTicket(now time.Time, id, value string) bool {
	t, ok := st.tickets[id]
	if !ok || t.value != value || !now.Before(t.until) {
		return false
	}
	t.until = now
	st.tickets[id] = t
	return true
}

// isEligible reports whether the executor may run tasks of the step, regardless of free capacity.
func (c *Core) isEligible(now time.Time, st *stepState, ex *executor) bool {
	return c.canStart(now, ex) && (st.impatient || !ex.isKeptAway(now)) && st.matches(ex)
}

// matches reports whether the executor suits the step, regardless of its state and free capacity.
func (st *stepState) matches(ex *executor) bool {
	if ex.Service != st.queue.Service || !ex.HasLabel(st.spec.RequiredLabel) {
		return false
	}
	return st.spec.MaxPerExecutor == 0 || st.runsOn[ex.ID] < st.spec.MaxPerExecutor
}

// penalty returns the placement penalty of an executor for a step; lower is better.
func penalty(st *stepState, ex *executor) float64 {
	p := float64(st.failuresOn[ex.ID])*failurePenalty + slowdownPenalty*(ex.slowdown-1) + float64(ex.failures) + float64(ex.machineCrashes)*crashPenalty
	if rack := st.rack(); rack != "" && rack != ex.Rack {
		p += st.elsewherePenalty(ex)
	}
	if !st.spec.LongRunning && st.spec.DataRack == "" && st.preferredRack == "" && st.job.homeDomain != ex.Domain {
		p += otherDomainPenalty
	}
	if st.spec.BestEffort || st.spec.LatencyTarget > 0 {
		for _, r := range ex.runs {
			if st.spec.BestEffort && r.spec().LatencyTarget > 0 || st.spec.LatencyTarget > 0 && r.spec().BestEffort {
				return p + mixedPenalty
			}
		}
	}
	return p
}

// allocate reserves the resources of a task on the best candidate; nil means that none fits.
func (c *Core) allocate(now time.Time, st *stepState, index int, number int64, candidates []place.Candidate) *executor {
	usable := c.withoutHeld(now, st, candidates)
	if st.spec.MaxPerExecutor > 0 {
		all := usable
		usable = nil
		for _, cand := range all {
			if st.runsOn[cand.Worker] < st.spec.MaxPerExecutor {
				usable = append(usable, cand)
			}
		}
	}
	t := place.Task{
		ID: runKey(st.taskID(index), number), Job: st.job.ID, Kind: place.Batch,
		Need: st.spec.Reserved(), RunTime: st.spec.Estimate,
	}
	if st.isSuspect(index) && (!st.spec.Gang || !st.trialOverdue) {
		if c.delaysTrial(now, st, index) {
			return nil
		}
		return c.allocateTrial(now, st, t, usable)
	}
	decision := c.allocator.PlaceAmong(now, t, usable)
	if decision.Worker == "" {
		return nil
	}
	return c.executors[decision.Worker]
}
