package cell

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// maxAdviceExecutors is the number of executors that the policy service accepts in one call.
	maxAdviceExecutors = 100

	// usualAdviceExecutors is the number of executors assumed when the duration of the next call is
	// estimated. The objective of a job leaves time for 30.
	usualAdviceExecutors = 30

	// spareExecutors is the number of executors requested beyond what the expected allowed share
	// requires.
	spareExecutors = 2

	// maxParallelGangAdvice is the maximum number of slow calls in flight for one gang. Its tasks need
	// tickets that are valid at the same time, and one call often allows too few executors. Most other
	// steps make one call at a time: in a burst the advisers do not suffice for all.
	maxParallelGangAdvice = 4

	// maxParallelLongRunningAdvice is the same for long-running steps: on a full fleet executors become
	// free a few at a time, and each would wait for the end of the call in flight. The calls are
	// longRunningAdviceInterval apart, so that each names more than one of them.
	maxParallelLongRunningAdvice = 4
	longRunningAdviceInterval    = 150 * time.Millisecond

	// spareForOne is the same for a step with a single pending task. With two of them one call in six
	// would allow none.
	spareForOne = 6

	// capacityFactor is the capacity to request relative to the pending tasks, since other steps
	// may take part of it first.
	capacityFactor = 1.15

	// unrecordedPenalty is the penalty of an executor that has to be stored for the job first.
	unrecordedPenalty = 0.5

	// slowAdvice is the decision time above which a queue's calls are slow and must not delay those
	// that urgent work waits for.
	slowAdvice = 100 * time.Millisecond

	// adviceTimeoutMargin is how long a call to the policy service may take beyond its expected
	// duration.
	adviceTimeoutMargin = 400 * time.Millisecond

	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 50 * time.Millisecond

	// adviceRecheckInterval limits the processor time spent on steps for which no call would help.
	adviceRecheckInterval = 20 * time.Millisecond

	// adviceRecheckSteps is the number of steps in scheduling order after which the interval grows.
	adviceRecheckSteps = 4

	// maxRecheckDelay limits the interval for steps far back in the order, which may move to the front
	// meanwhile.
	maxRecheckDelay = 500 * time.Millisecond

	// roomyInterval is how long a list of executors with room is used, for each executor of the fleet,
	// since the time that it takes to make the list grows with the fleet.
	roomyInterval = 5 * time.Microsecond

	// maxRecheckInterval and maxRoomyInterval limit these intervals while the owner has no time to spare.
	maxRecheckInterval = 80 * time.Millisecond
	maxRoomyInterval   = 20 * time.Millisecond

	// initialAllowedShare is the share of executors assumed to be allowed before the first
	// response.
	initialAllowedShare = 0.5

	// allowedShareWeight is the weight of one response in the moving average of the allowed share.
	allowedShareWeight = 0.1
)

// allowedShare is a moving average of the share of executors that the policy service allows for a
// queue.
type allowedShare struct {
	value float64
}

// AdviceRequest is one call to the policy service.
type AdviceRequest struct {
	Step      fleet.StepID
	Executors []string
	// Slow is set when the call takes so long that urgent ones must not wait behind it.
	Slow bool

	state        *stepState
	incarnations map[string]int64
	sentAt       time.Time
	// toRecord holds the executors on which tasks of the job may start, including those of later
	// steps.
	toRecord []string
}

// NextAdviceRequest returns the most urgent call to the policy service, or nil if none is needed.
// With fastOnly it returns only calls that are not slow.
func (c *Core) NextAdviceRequest(now time.Time, fastOnly bool) *AdviceRequest {
	for i, st := range c.runnable {
		if st.queue.Advice == nil || st.adviceInFlight >= maxParallelAdvice(st) || len(st.pending) == 0 || now.Before(st.nextAdviceAt) {
			continue
		}
		if st.spec.LongRunning && st.adviceInFlight > 0 && now.Sub(st.askedAt) < longRunningAdviceInterval {
			continue
		}
		slow := st.hasSlowAdvice()
		if slow && fastOnly {
			continue
		}
		if !c.leavesReserve(st, 1) || st.holdsForQuota() || !c.leavesClaims(st, st.quotaTasks()) {
			continue
		}
		if req := c.newAdviceRequest(now, st); req != nil {
			req.Slow = slow
			st.adviceInFlight++
			st.askedAt = now
			if !slow {
				// The executors are stored while the call is in flight.
				c.recordExecutors(st.job, req.toRecord)
			}
			c.Stats.AdviceAsked += int64(len(req.Executors))
			return req
		}
		// Steps far back in the order find room only when those before them do not need it.
		recheck := c.Pace.Interval(adviceRecheckInterval, maxRecheckInterval) * time.Duration(1+i/adviceRecheckSteps)
		st.nextAdviceAt = now.Add(min(recheck, maxRecheckDelay))
	}
	return nil
}

// AdviceTimeout returns how long to wait for the response to an advice request.
func (c *Core) AdviceTimeout(req *AdviceRequest) time.Duration {
	timeout := adviceTimeoutMargin + c.Pace.Allowance()
	if a := req.state.queue.Advice; a != nil {
		timeout += a.BaseLatency + a.LatencyPerExecutor*time.Duration(len(req.Executors))
	}
	return timeout
}

// roomyExecutor is an executor with room for tasks.
type roomyExecutor struct {
	*executor
	// free are its free resources when the list was made.
	free place.Resources
}

// roomyExecutors returns the executors that may start tasks and have room for the smallest pending
// task, which is no larger than those of st. The list can be a few milliseconds old: on a full fleet it
// is short, and looking for room for every pending step among all executors would take most of the
// processor.
func (c *Core) roomyExecutors(now time.Time, st *stepState) []roomyExecutor {
	smallest := st.spec.Reserved().CPUMillis
	interval := c.Pace.Interval(roomyInterval*time.Duration(len(c.sortedExecutors)), maxRoomyInterval)
	if !c.roomyAt.IsZero() && now.Sub(c.roomyAt) < interval && smallest >= c.roomyFor {
		return c.roomy
	}
	for _, other := range c.runnable {
		if len(other.pending) > 0 {
			smallest = min(smallest, other.spec.Reserved().CPUMillis)
		}
	}
	c.roomy, c.roomyAt, c.roomyFor = nil, now, smallest
	for _, ex := range c.sortedExecutors {
		if free, _ := c.allocator.Free(ex.ID); free.CPUMillis >= smallest && c.canStart(now, ex) {
			c.roomy = append(c.roomy, roomyExecutor{ex, free})
		}
	}
	return c.roomy
}

// maxParallelAdvice returns the maximum number of calls in flight for a step.
func maxParallelAdvice(st *stepState) int {
	switch {
	case !st.hasSlowAdvice():
		return 1
	case st.spec.Gang:
		return maxParallelGangAdvice
	case st.spec.LongRunning:
		return maxParallelLongRunningAdvice
	}
	return 1
}

// hasSlowAdvice reports whether calls to the policy service for the step take long.
func (st *stepState) hasSlowAdvice() bool {
	return st.queue.Advice.BaseLatency > slowAdvice
}

// newAdviceRequest selects the executors to ask for; nil means that a call would not help.
func (c *Core) newAdviceRequest(now time.Time, st *stepState) *AdviceRequest {
	renewBefore := now.Add(ticketMargin + st.queue.Advice.LatencyPerExecutor*usualAdviceExecutors + st.queue.Advice.BaseLatency)
	placeable := 0
	var options []option
	neededCPU := st.spec.Reserved().CPUMillis
	slow, declines := st.hasSlowAdvice(), st.declinesElsewhere(now)
	for _, roomy := range c.roomyExecutors(now, st) {
		if roomy.free.CPUMillis < neededCPU {
			continue
		}
		ex := roomy.executor
		id := ex.ID
		if !st.matches(ex) || ex.isKeptAway(now) && !st.impatient || declines && !st.isNear(ex) {
			continue
		}
		t, ticketValid := st.tickets[id]
		ticketValid = ticketValid && t.incarnation == ex.incarnation
		if askedIncarnation, seen := st.asked[id]; seen && askedIncarnation == ex.incarnation && !ticketValid {
			continue // denied
		}
		fits := c.fitsInto(st, ex, roomy.free)
		if slow {
			fits = min(fits, st.fitsBesidePromises(ex, roomy.free.CPUMillis))
		}
		if fits == 0 {
			continue
		}
		if ticketValid && renewBefore.Before(t.until) || ticketValid && now.Add(ticketMargin).Before(t.until) {
			placeable += fits
			continue
		}
		if _, inFlight := st.asking[id]; inFlight {
			continue
		}
		options = append(options, option{ex: ex, fits: fits, allowed: ticketValid, penalty: penalty(st, ex) + c.recordingPenalty(st.job, ex)})
	}
	need := st.quotaRoom()
	if placeable >= need {
		return nil
	}
	standby := append(c.standbyExecutors(now, st, renewBefore), c.nearStandby(now, st, renewBefore)...)
	if len(options)+len(standby) == 0 || st.spec.Gang && !c.gangFits(st, placeable, len(options)) {
		return nil
	}
	share := c.allowedShareOf(st.queue.Name).value
	expected := 0.0
	for _, p := range st.asking {
		expected += share * float64(p.fits)
	}
	if expected += float64(placeable); expected >= float64(need)*capacityFactor {
		return nil
	}
	req := &AdviceRequest{Step: st.stepID, state: st, incarnations: make(map[string]int64), sentAt: now}
	chosen := chooseExecutors(options, int(expected), need, share, maxAdviceExecutors-len(standby))
	for _, ex := range standby {
		if !slices.Contains(chosen, ex) {
			chosen = append(chosen, ex)
		}
	}
	for _, ex := range chosen {
		st.asking[ex.ID] = promise{ex: ex, fits: c.fits(st, ex)}
		req.Executors = append(req.Executors, ex.ID)
		req.incarnations[ex.ID] = ex.incarnation
	}
	if slow {
		st.promiseRoom(chosen, share)
	}
	c.holdRoom(now, req)
	req.toRecord = req.Executors
	if widest := st.job.Spec.WidestStep(); widest > need {
		req.toRecord = nil
		for _, ex := range chooseExecutors(options, placeable, widest, share, maxAdviceExecutors) {
			req.toRecord = append(req.toRecord, ex.ID)
		}
	}
	return req
}

// recordingPenalty prefers executors that the store already names for the job: tasks can start
// there without a commit.
func (c *Core) recordingPenalty(j *job, ex *executor) float64 {
	if j.recordedOn[ex.ID] {
		return 0
	}
	return unrecordedPenalty
}

// option is an executor with capacity for tasks of a step.
type option struct {
	ex *executor
	// fits is the number of tasks that fit on it.
	fits int
	// allowed is set when the step has a valid ticket for the executor.
	allowed bool
	penalty float64
}

// optionHeap is a heap of options with the best one first.
type optionHeap []option

func (h optionHeap) Len() int      { return len(h) }
func (h optionHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

func (h optionHeap) Less(i, k int) bool {
	a, b := &h[i], &h[k]
	switch {
	case a.allowed != b.allowed:
		return a.allowed
	case a.penalty != b.penalty:
		return a.penalty < b.penalty
	case a.fits != b.fits:
		return a.fits > b.fits
	}
	return a.ex.ID < b.ex.ID
}

// Push is not used: all options are known from the start.
func (h *optionHeap) Push(x any) { *h = append(*h, x.(option)) }

// Pop removes the last element, as heap.Interface requires.
func (h *optionHeap) Pop() any {
	o := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return o
}

// take removes the best option. Unlike heap.Pop it allocates nothing.
func (h *optionHeap) take() option {
	o := (*h)[0]
	last := len(*h) - 1
	h.Swap(0, last)
	*h = (*h)[:last]
	if last > 0 {
		heap.Fix(h, 0)
	}
	return o
}

// chooseExecutors returns the best executors, at most limit, to place need tasks of which placeable
// already fit on allowed executors; share is the fraction of the other executors expected to be
// allowed.
func chooseExecutors(options []option, placeable, need int, share float64, limit int) []*executor {
	// Few of many options are chosen, so sorting all of them would take several times as long.
	best := optionHeap(options)
	heap.Init(&best)
	var chosen []*executor
	expected := float64(placeable)
	spare := spareExecutors
	if need == 1 {
		spare = spareForOne
	}
	for len(best) > 0 && len(chosen) < limit {
		if expected >= float64(need)*capacityFactor {
			if spare == 0 {
				break
			}
			spare--
		}
		o := best.take()
		chosen = append(chosen, o.ex)
		if o.allowed {
			expected += float64(o.fits)
		} else {
			expected += share * float64(o.fits)
		}
	}
	return chosen
}

// gangFits reports whether a gang could fit on executors that are or may be allowed.
func (c *Core) gangFits(st *stepState, placeable, options int) bool {
	p := c.pool(st.queue.Service)
	free := p.capacity - p.urgent - p.other
	return placeable+options > 0 && free >= st.spec.Reserved().CPUMillis*int64(st.spec.Count)
}

// fits returns how many tasks of the step fit on an executor.
func (c *Core) fits(st *stepState, ex *executor) int {
	free, _ := c.allocator.Free(ex.ID)
	return c.fitsInto(st, ex, free)
}

// fitsInto returns how many tasks of the step fit into the free resources of an executor. It takes one suspect at
// a time.
func (c *Core) fitsInto(st *stepState, ex *executor, free place.Resources) int {
	suspects := !st.trialOverdue && st.hasSuspects()
	if suspects && ex.hasUnprovenRuns() {
		return 0
	}
	n := int64(math.MaxInt32)
	need := st.spec.Reserved()
	if need.CPUMillis > 0 {
		n = min(n, free.CPUMillis/need.CPUMillis)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	if st.spec.MaxPerExecutor > 0 {
		n = min(n, int64(st.spec.MaxPerExecutor-st.runsOn[ex.ID]))
	}
	if suspects {
		n = min(n, 1)
	}
	return int(max(n, 0))
}

func (c *Core) allowedShareOf(queue string) *allowedShare {
	s := c.allowedShares[queue]
	if s == nil {
		s = &allowedShare{value: initialAllowedShare}
		c.allowedShares[queue] = s
	}
	return s
}

// ApplyAdvice applies the response to an advice request; ok is false when the call failed.
func (c *Core) ApplyAdvice(now time.Time, req *AdviceRequest, tickets []fleet.Ticket, validity time.Duration, ok bool) {
	st := req.state
	st.adviceInFlight--
	tickets = slices.DeleteFunc(slices.Clone(tickets), func(t fleet.Ticket) bool {
		_, asked := req.incarnations[t.Executor]
		return !asked // the job's record must not grow with names that nobody asked for
	})
	allowed := make(map[string]bool, len(tickets))
	for _, t := range tickets {
		allowed[t.Executor] = true
	}
	if validity <= 0 && st.queue.Advice != nil {
		validity = st.queue.Advice.TicketTTL
	}
	c.extendHolds(now, req, allowed, validity)
	for _, id := range req.Executors {
		ex := st.asking[id].ex
		ex.promisedCPU -= ex.promises[st]
		delete(ex.promises, st)
		delete(st.asking, id)
	}
	st.fullScan = true
	if !ok {
		st.nextAdviceAt = now.Add(adviceRetryDelay)
		return
	}
	newlyAsked, newlyAllowed := 0, 0
	for id, executorIncarnation := range req.incarnations {
		if _, seen := st.asked[id]; !seen {
			newlyAsked++
			if allowed[id] {
				newlyAllowed++
			}
		}
		st.asked[id] = executorIncarnation
	}
	c.Stats.AdviceAllowed += int64(newlyAllowed)
	c.Log.WithField("job", st.job.ID).WithField("step", st.stepID.Step).WithField("asked", len(req.Executors)).
		WithField("good", len(tickets)).WithField("pending", len(st.pending)).
		WithField("took_ms", now.Sub(req.sentAt).Milliseconds()).Debug("advice received")
	if newlyAsked > 0 {
		s := c.allowedShareOf(st.queue.Name)
		s.value += allowedShareWeight * (float64(newlyAllowed)/float64(newlyAsked) - s.value)
		s.value = max(s.value, 0.05)
	}
	ids := make([]string, 0, len(tickets))
	for _, t := range tickets {
		ids = append(ids, t.Executor)
	}
	c.recordExecutors(st.job, ids)
	for _, t := range tickets {
		// The policy service issued the ticket some time before its response arrived.
		st.tickets[t.Executor] = ticket{value: t.Value, until: now.Add(validity), incarnation: req.incarnations[t.Executor]}
	}
}
