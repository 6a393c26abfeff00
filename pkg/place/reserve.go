package place

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const defaultUnknownRunTime = time.Hour

// Reservation is what Reserve planned for an all-at-once job.
type Reservation struct {
	Job string

	// Held is set when the workers are held for the job; if not, Reason says why.
	Held   bool
	Reason Reason

	// Start is when the job is expected to start.
	Start time.Time

	// StartKnown is set when Start depends only on tasks whose run time is known.
	StartKnown bool

	// Workers has the planned worker of each task, in the order of the tasks.
	Workers []string

	// Victims are the backfilled tasks on these workers that must be stopped by Start, sorted.
	Victims []string
}

// reservation is the state behind the Reservation of the job that holds it.
type reservation struct {
	job   string
	start time.Time
	known bool
	tasks []Task
	// workers has the planned worker of each task.
	workers []int32
	// ends has the running tasks in the order of their expected ends; dropped once applied.
	ends []ending
}

// covers reports whether all tasks belong to the job that holds the reservation.
func (r *reservation) covers(ts []Task) bool {
	for i := range ts {
		if ts[i].Job != r.job {
			return false
		}
	}
	return true
}

// mayBackfill reports whether t may use held capacity until the start.
func (r *reservation) mayBackfill(now time.Time, t *Task) bool {
	return stoppable(t) || !r.start.Before(endOf(now, t)) && t.RunTime > 0 && t.Kind != Service
}

// stoppable reports whether a task may be stopped at the start of a reservation.
func stoppable(t *Task) bool {
	return t.Class == Deferrable && t.Kind == Batch
}

func endOf(started time.Time, t *Task) time.Time {
	return started.Add(t.RunTime)
}

// Reserve holds workers for an all-at-once job that does not fit yet. Only one job holds
// a reservation; for any other job the answer has Held unset and ReservationTaken.
// A repeated call by the same job plans again with the present state and keeps the old plan
// unless the new one starts earlier or the old one can not be met. The reservation ends
// with a successful PlaceAll of the job, with Unreserve or with RemoveWorker of a planned worker.
// At Start the caller repeats Reserve, stops and releases the Victims and calls PlaceAll.
func (c *Cell) Reserve(now time.Time, name string, ts []Task) Reservation {
	if c.res != nil && c.res.job != name {
		return Reservation{Job: name, Reason: Reason{Code: ReservationTaken}}
	}
	plan, reason := c.plan(now, name, ts)
	switch {
	case c.res != nil && c.res.plans(ts) && c.onTime(now) && (plan == nil || !plan.start.Before(c.res.start)):
		c.res.start = latest(now, c.res.start)
	case plan == nil:
		c.dropReservation()
		return Reservation{Job: name, Reason: reason}
	default:
		c.suspend()
		c.resume(plan)
	}
	return Reservation{
		Job: name, Held: true, Start: c.res.start, StartKnown: c.res.known,
		Workers: c.names(c.res.workers), Victims: c.victims(),
	}
}

// plans reports whether the reservation is for exactly these tasks.
func (r *reservation) plans(ts []Task) bool {
	return slices.EqualFunc(r.tasks, ts, func(a, b Task) bool { return a.ID == b.ID && a.Need == b.Need })
}

// onTime reports whether the planned workers will hold the tasks at the planned start, or
// hold them now when that time is over, once the backfilled tasks are stopped.
func (c *Cell) onTime(now time.Time) bool {
	for _, i := range c.res.workers {
		w := &c.workers[i]
		room := w.after
		if !now.Before(c.res.start) {
			room = w.free
			for t := w.first; t != none; t = c.tasks[t].next {
				if c.tasks[t].backfill {
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Unreserve ends the reservation of the job and reports whether it held one.
func (c *Cell) Unreserve(name string) bool {
	if c.res == nil || c.res.job != name {
		return false
	}
	c.dropReservation()
	return true
}

// Reserved returns the job that holds the reservation and its start.
func (c *Cell) Reserved() (job string, start time.Time, ok bool) {
	if c.res == nil {
		return "", time.Time{}, false
	}
	return c.res.job, c.res.start, true
}

// ending is a running task in the order of expected ends.
type ending struct {
	at    time.Time
	known bool
	task  int32
}

// plan finds the earliest time at which all tasks fit when running tasks end as expected.
func (c *Cell) plan(now time.Time, name string, ts []Task) (*reservation, Reason) {
	if reason := c.holdable(ts); reason.Code != Placed {
		return nil, reason
	}
	order := bySize(ts, &c.grid)
	free := make([]Resources, len(c.workers))
	for i := range c.workers {
		free[i] = c.workers[i].free
	}
	ends := c.endings(now)
	// Free capacity only grows along ends, so the shortest prefix that suffices is found by halving.
	release := func(n int) []Resources {
		at := slices.Clone(free)
		for _, e := range ends[:n] {
			t := &c.tasks[e.task]
			at[t.worker] = at[t.worker].Add(t.Need)
		}
		return at
	}
	fits := func(n int) bool { return c.pack(ts, order, release(n)) != nil }
	n := sort.Search(len(ends), fits)
	if n == len(ends) && !fits(n) {
		return nil, Reason{Code: NeverFits}
	}
	plan := &reservation{job: name, start: now, known: true, tasks: slices.Clone(ts), ends: ends}
	plan.workers = c.pack(ts, order, release(n))
	for _, e := range ends[:n] {
		plan.start = latest(plan.start, e.at)
		used := slices.Contains(plan.workers, c.tasks[e.task].worker)
		plan.known = plan.known && (e.known || !used)
	}
	return plan, Reason{}
}

// holdable reports why the empty cell could not hold the tasks, or Placed.
func (c *Cell) holdable(ts []Task) Reason {
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

// pack assigns each task to the worker with the tightest fit, or returns nil when one does not fit.
func (c *Cell) pack(ts []Task, order []int, free []Resources) []int32 {
	at := make([]int32, len(ts))
	for _, i := range order {
		best, low := none, 0.0
		for w := range free {
			if !c.workers[w].used || c.workers[w].cordoned || !ts[i].Need.Fits(free[w]) {
				continue
			}
			if s := c.grid.size(free[w].Sub(ts[i].Need)); best == none || s < low {
				best, low = int32(w), s
			}
		}
		if best == none {
			return nil
		}
		at[i] = best
		free[best] = free[best].Sub(ts[i].Need)
	}
	return at
}

func (c *Cell) endings(now time.Time) []ending {
	ends := make([]ending, 0, len(c.byID))
	unknown := c.DefaultRunTime
	if unknown <= 0 {
		unknown = defaultUnknownRunTime
	}
	for _, i := range c.byID {
		t := &c.tasks[i]
		switch {
		case t.backfill:
			ends = append(ends, ending{now, true, i})
		case t.Kind != Service:
			ends = append(ends, ending{expectedEnd(now, &t.Task, unknown), t.RunTime > 0, i})
		}
	}
	slices.SortFunc(ends, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(c.tasks[a.task].ID, c.tasks[b.task].ID))
	})
	return ends
}

// expectedEnd is the end by the run time of the task. A task that is overdue by some time
// is expected to need as long again, at least a second.
func expectedEnd(now time.Time, t *Task, unknown time.Duration) time.Time {
	run := t.RunTime
	if run <= 0 {
		run = unknown
	}
	end := t.Started.Add(run)
	if end.After(now) {
		return end
	}
	return now.Add(min(max(now.Sub(end), time.Second), unknown))
}

// suspend takes the holds off the workers and keeps the flags of the tasks.
func (c *Cell) suspend() {
	if c.res == nil {
		return
	}
	for _, w := range c.res.workers {
		c.workers[w].reserved = false
		c.workers[w].held = Resources{}
	}
	c.res = nil
}

// mark flags the running tasks that are expected to end by the start of a new plan.
func (c *Cell) mark(r *reservation) {
	if r.ends == nil {
		return
	}
	for i := range c.tasks {
		c.tasks[i].ends = false
	}
	for _, e := range r.ends {
		c.tasks[e.task].ends = !e.at.After(r.start)
	}
	r.ends = nil
}

// resume holds the workers of the plan.
func (c *Cell) resume(r *reservation) {
	c.res = r
	if r == nil {
		return
	}
	c.mark(r)
	for i, w := range r.workers {
		wk := &c.workers[w]
		wk.reserved = true
		wk.held = wk.held.Add(r.tasks[i].Need)
		wk.after = wk.free
		for t := wk.first; t != none; t = c.tasks[t].next {
			if c.tasks[t].ends {
				wk.after = wk.after.Add(c.tasks[t].Need)
			}
		}
	}
}

func (c *Cell) dropReservation() {
	c.suspend()
	for i := range c.tasks {
		c.tasks[i].ends = false
		c.tasks[i].backfill = false
	}
}

// holdAfter accounts a new task in the capacity that is free at the start of the reservation.
func (c *Cell) holdAfter(w *worker, t *task) {
	if c.res == nil {
		return
	}
	t.ends = !t.Started.IsZero() && c.res.mayBackfill(t.Started, &t.Task)
	t.backfill = t.ends && (t.RunTime <= 0 || endOf(t.Started, &t.Task).After(c.res.start))
	if !t.ends {
		w.after = w.after.Sub(t.Need)
	}
}

// roomAfter reports whether a growing task leaves the held capacity alone.
func (c *Cell) roomAfter(w *worker, t *task, growth Resources) bool {
	return !w.reserved || t.ends || growth.positive().Fits(w.after.Sub(w.held).positive())
}

// victims lists the backfilled tasks on workers whose free capacity does not cover the holds yet.
func (c *Cell) victims() []string {
	var ids []string
	for i := range c.workers {
		w := &c.workers[i]
		if !w.reserved || w.held.Fits(w.free) {
			continue
		}
		for t := w.first; t != none; t = c.tasks[t].next {
			if c.tasks[t].backfill {
				ids = append(ids, c.tasks[t].ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *Cell) names(ws []int32) []string {
	out := make([]string, len(ws))
	for i, w := range ws {
		out[i] = c.workers[w].name
	}
	return out
}

// placePlanned grants the tasks their planned workers when all of them fit there now.
func (c *Cell) placePlanned(now time.Time, r *reservation, ts []Task) Decisions {
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
	return wk.used && !wk.cordoned && need.Fits(wk.free)
}
