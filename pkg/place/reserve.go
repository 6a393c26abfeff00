package place

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const fallbackRunTime = time.Hour

// Reservation is the plan that Reserve made for a gang.
type Reservation struct {
	Job string

	// Held is set when the workers are held for the job; otherwise Reason says why not.
	Held   bool
	Reason Reason

	// Start is the time at which the job is expected to start.
	Start time.Time

	// StartKnown is set when Start depends only on tasks with a known run time.
	StartKnown bool

	// Workers has the planned worker for each task, in the order of the tasks.
	Workers []string

	// Victims has the sorted ids of the backfilled tasks on these workers that must be stopped
	// at Start.
	Victims []string
}

// reservationPlan is the plan for the gang that holds capacity.
type reservationPlan struct {
	job        string
	start      time.Time
	startKnown bool
	tasks      []Task
	// workers has the planned worker for each task.
	workers []int32
	// ends has the running tasks in order of their expected end; nil once applied.
	ends []taskEnd
}

// covers reports whether all tasks belong to the job that holds the reservation.
func (r *reservationPlan) covers(ts []Task) bool {
	for i := range ts {
		if ts[i].Job != r.job {
			return false
		}
	}
	return true
}

// mayBackfill reports whether t may use held capacity until the start of the reservation.
func (r *reservationPlan) mayBackfill(now time.Time, t *Task) bool {
	return stoppable(t) || !r.start.Before(endOf(now, t)) && t.RunTime > 0 && t.Kind != Service
}

// stoppable reports whether a task may be stopped at the start of a reservation.
func stoppable(t *Task) bool {
	return t.Class == Deferrable && t.Kind == Batch
}

func endOf(started time.Time, t *Task) time.Time {
	return started.Add(t.RunTime)
}

// Reserve holds capacity for a gang that does not fit yet. Only one job can hold a reservation;
// other jobs get a Reservation that is not Held, with the reason ReservationTaken.
//
// Calling Reserve again for the same job makes a new plan from the current state. The old plan
// is kept unless the new one starts earlier or the old one is no longer feasible. At Start the
// caller calls Reserve again, stops and releases the Victims and then calls PlaceAll. The
// reservation ends when PlaceAll succeeds, when Unreserve is called or when a planned worker
// is removed.
func (c *Cell) Reserve(now time.Time, name string, ts []Task) Reservation {
	if c.reservation != nil && c.reservation.job != name {
		return Reservation{Job: name, Reason: Reason{Code: ReservationTaken}}
	}
	plan, reason := c.plan(now, name, ts)
	switch {
	case c.reservation != nil && c.reservation.matches(ts) && c.planFeasible(now) && (plan == nil || !plan.start.Before(c.reservation.start)):
		c.reservation.start = later(now, c.reservation.start)
	case plan == nil:
		c.dropReservation()
		return Reservation{Job: name, Reason: reason}
	default:
		c.clearHolds()
		c.applyHolds(plan)
	}
	return Reservation{
		Job: name, Held: true, Start: c.reservation.start, StartKnown: c.reservation.startKnown,
		Workers: c.workerNames(c.reservation.workers), Victims: c.backfillVictims(),
	}
}

// matches reports whether the reservation is for exactly these tasks.
func (r *reservationPlan) matches(ts []Task) bool {
	return slices.EqualFunc(r.tasks, ts, func(a, b Task) bool { return a.ID == b.ID && a.Need == b.Need })
}

// planFeasible reports whether the tasks will fit on the planned workers at the planned start,
// or now if that time has passed, once the backfilled tasks have been stopped.
func (c *Cell) planFeasible(now time.Time) bool {
	for _, i := range c.reservation.workers {
		w := &c.workers[i]
		room := w.freeAtStart
		if !now.Before(c.reservation.start) {
			room = w.free
			for t := w.firstTask; t != none; t = c.tasks[t].nextOnWorker {
				if c.tasks[t].stopAtStart {
					room = room.Add(c.tasks[t].Need)
				}
			}
		}
		if w.cordoned || !w.held.Fits(room) {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Unreserve cancels the reservation of the job and reports whether the job held one.
func (c *Cell) Unreserve(name string) bool {
	if c.reservation == nil || c.reservation.job != name {
		return false
	}
	c.dropReservation()
	return true
}

// Reserved returns the job that holds the reservation and the planned start.
func (c *Cell) Reserved() (job string, start time.Time, ok bool) {
	if c.reservation == nil {
		return "", time.Time{}, false
	}
	return c.reservation.job, c.reservation.start, true
}

// taskEnd is the expected end of a running task.
type taskEnd struct {
	at time.Time
	// known is set when the run time of the task is known.
	known bool
	task  int32
}

// plan finds the earliest time at which all tasks fit if the running tasks end as expected.
func (c *Cell) plan(now time.Time, name string, ts []Task) (*reservationPlan, Reason) {
	if reason := c.checkFeasible(ts); reason.Code != Placed {
		return nil, reason
	}
	order := bySize(ts, &c.grid)
	free := make([]Resources, len(c.workers))
	for i := range c.workers {
		free[i] = c.workers[i].free
	}
	ends := c.taskEnds(now)
	// Free capacity only grows with each end, so a binary search finds the fewest ends needed.
	freeAfter := func(n int) []Resources {
		freed := slices.Clone(free)
		for _, e := range ends[:n] {
			t := &c.tasks[e.task]
			freed[t.worker] = freed[t.worker].Add(t.Need)
		}
		return freed
	}
	fits := func(n int) bool { return c.pack(ts, order, freeAfter(n)) != nil }
	n := sort.Search(len(ends), fits)
	if n == len(ends) && !fits(n) {
		return nil, Reason{Code: NeverFits}
	}
	plan := &reservationPlan{job: name, start: now, startKnown: true, tasks: slices.Clone(ts), ends: ends}
	plan.workers = c.pack(ts, order, freeAfter(n))
	for _, e := range ends[:n] {
		plan.start = later(plan.start, e.at)
		used := slices.Contains(plan.workers, c.tasks[e.task].worker)
		plan.startKnown = plan.startKnown && (e.known || !used)
	}
	return plan, Reason{}
}

// feasible returns the reason why the tasks would not fit into the empty cell, or Placed.
func (c *Cell) checkFeasible(ts []Task) Reason {
	if len(ts) == 0 {
		return Reason{Code: Invalid}
	}
	for i := range ts {
		if ok, reason := c.Feasible(ts[i].Need, 1); !ok {
			return reason
		}
	}
	smallest := ts[0].Need
	for i := range ts {
		smallest = smallest.Min(ts[i].Need)
	}
	_, reason := c.Feasible(smallest, len(ts))
	return reason
}

// pack assigns each task to the worker with the tightest fit. It returns nil if one does not fit.
func (c *Cell) pack(ts []Task, order []int, free []Resources) []int32 {
	assigned := make([]int32, len(ts))
	for _, i := range order {
		best, lowest := none, 0.0
		for w := range free {
			if !c.workers[w].inUse || c.workers[w].cordoned || !ts[i].Need.Fits(free[w]) {
				continue
			}
			if s := c.grid.size(free[w].Sub(ts[i].Need)); best == none || s < lowest {
				best, lowest = int32(w), s
			}
		}
		if best == none {
			return nil
		}
		assigned[i] = best
		free[best] = free[best].Sub(ts[i].Need)
	}
	return assigned
}

func (c *Cell) taskEnds(now time.Time) []taskEnd {
	ends := make([]taskEnd, 0, len(c.byID))
	fallback := c.DefaultRunTime
	if fallback <= 0 {
		fallback = fallbackRunTime
	}
	for _, i := range c.byID {
		t := &c.tasks[i]
		switch {
		case t.stopAtStart:
			ends = append(ends, taskEnd{now, true, i})
		case t.Kind != Service:
			ends = append(ends, taskEnd{expectedEnd(now, &t.Task, fallback), t.RunTime > 0, i})
		}
	}
	slices.SortFunc(ends, func(a, b taskEnd) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(c.tasks[a.task].ID, c.tasks[b.task].ID))
	})
	return ends
}

// expectedEnd returns the start of the task plus its run time. A task that is overdue is
// expected to run on for as long as it has been overdue, at least 1 s and at most fallback.
func expectedEnd(now time.Time, t *Task, fallback time.Duration) time.Time {
	run := t.RunTime
	if run <= 0 {
		run = fallback
	}
	end := t.Started.Add(run)
	if end.After(now) {
		return end
	}
	return now.Add(min(max(now.Sub(end), time.Second), fallback))
}

// clearHolds removes the reservation from the workers but keeps the flags of the tasks.
func (c *Cell) clearHolds() {
	if c.reservation == nil {
		return
	}
	for _, w := range c.reservation.workers {
		c.workers[w].reserved = false
		c.workers[w].held = Resources{}
	}
	c.reservation = nil
}

// markEnding flags the running tasks that are expected to end by the start of a new plan.
func (c *Cell) markEnding(r *reservationPlan) {
	if r.ends == nil {
		return
	}
	for i := range c.tasks {
		c.tasks[i].endsByStart = false
	}
	for _, e := range r.ends {
		c.tasks[e.task].endsByStart = !e.at.After(r.start)
	}
	r.ends = nil
}

// applyHolds installs the plan and holds capacity on its workers.
func (c *Cell) applyHolds(r *reservationPlan) {
	c.reservation = r
	if r == nil {
		return
	}
	c.markEnding(r)
	for i, w := range r.workers {
		wk := &c.workers[w]
		wk.reserved = true
		wk.held = wk.held.Add(r.tasks[i].Need)
		wk.freeAtStart = wk.free
		for t := wk.firstTask; t != none; t = c.tasks[t].nextOnWorker {
			if c.tasks[t].endsByStart {
				wk.freeAtStart = wk.freeAtStart.Add(c.tasks[t].Need)
			}
		}
	}
}

func (c *Cell) dropReservation() {
	c.clearHolds()
	for i := range c.tasks {
		c.tasks[i].endsByStart = false
		c.tasks[i].stopAtStart = false
	}
}

// accountAtStart sets the flags of a new task and, unless the task ends by the start of the
// reservation, deducts it from the capacity that is free then.
func (c *Cell) accountAtStart(w *worker, t *task) {
	if c.reservation == nil {
		return
	}
	t.endsByStart = !t.Started.IsZero() && c.reservation.mayBackfill(t.Started, &t.Task)
	t.stopAtStart = t.endsByStart && (t.RunTime <= 0 || endOf(t.Started, &t.Task).After(c.reservation.start))
	if !t.endsByStart {
		w.freeAtStart = w.freeAtStart.Sub(t.Need)
	}
}

// preservesHeld reports whether a growing task leaves enough capacity for the reservation.
func (c *Cell) preservesHeld(w *worker, t *task, growth Resources) bool {
	return !w.reserved || t.endsByStart || growth.positive().Fits(w.freeAtStart.Sub(w.held).positive())
}

// backfillVictims returns the sorted ids of the tasks to be stopped at the start, on workers
// that do not have the held capacity free yet.
func (c *Cell) backfillVictims() []string {
	var ids []string
	for i := range c.workers {
		w := &c.workers[i]
		if !w.reserved || w.held.Fits(w.free) {
			continue
		}
		for t := w.firstTask; t != none; t = c.tasks[t].nextOnWorker {
			if c.tasks[t].stopAtStart {
				ids = append(ids, c.tasks[t].ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *Cell) workerNames(ws []int32) []string {
	out := make([]string, len(ws))
	for i, w := range ws {
		out[i] = c.workers[w].name
	}
	return out
}

// placeAsPlanned places all tasks on their planned workers, or returns nil if one does not fit.
func (c *Cell) placeAsPlanned(now time.Time, r *reservationPlan, ts []Task) Decisions {
	planned := make(map[string]int32, len(r.tasks))
	for i := range r.tasks {
		planned[r.tasks[i].ID] = r.workers[i]
	}
	out := make(Decisions, len(ts))
	for i := range ts {
		w, ok := planned[ts[i].ID]
		_, held := c.byID[ts[i].ID]
		if !ok || held || ts[i].ID == "" || ts[i].Need.negative() || !c.accepts(w, ts[i].Need) {
			for k := range i {
				c.Release(ts[k].ID)
			}
			return nil
		}
		t := ts[i]
		t.Started = now
		c.grant(w, &t)
		out[i] = Decision{Worker: c.workers[w].name}
	}
	return out
}

func (c *Cell) accepts(w int32, need Resources) bool {
	wk := &c.workers[w]
	return wk.inUse && !wk.cordoned && need.Fits(wk.free)
}
