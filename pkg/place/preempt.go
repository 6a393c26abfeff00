package place

import (
	"slices"
	"time"
)

// victim is a running task that may be preempted, with the cost of stopping it.
type victim struct {
	task int32
	// job is set for a gang task: its whole job stops, and lostWork is that of the job.
	job      int32
	tier     int
	lostWork float64
}

// numTiers is the number of preemption tiers.
const numTiers = 6

// tierOf returns the preemption tier of a task, lowest first, or numTiers for a task that may
// not be preempted. Deferrable work comes before normal work and services of both classes
// come last. Within a class gang tasks come after batch tasks, as their whole job stops.
func tierOf(t *Task) int {
	if t.Class != Deferrable && t.Class != Normal {
		return numTiers
	}
	tier := 0
	if t.Class == Normal {
		tier = 1
	}
	switch t.Kind {
	case Gang:
		return tier*2 + 1
	case Batch:
		return tier * 2
	}
	return 4 + tier
}

// Preempt selects the tasks to stop so that the urgent task t fits on the returned worker. It
// does not change the cell: the caller stops and releases the victims and then places t.
//
// Only urgent tasks preempt others. Deferrable tasks are stopped before normal ones and
// services last. Preempt selects the worker with the lowest top tier of its victims and, among
// those, the one that loses the least work (time since the last checkpoint times size). If a
// task of a gang is stopped, its tasks on other workers are victims as well.
func (c *Cell) Preempt(now time.Time, t Task) (worker string, victims []string, ok bool) {
	if t.Class != Urgent || t.Need.negative() {
		return "", nil, false
	}
	p := preemption{need: t.Need, avoidHeld: c.reservation != nil && !c.reservation.mayBackfill(now, &t)}
	c.preemptCalls++
	best, spare := c.victimBuf[0][:0], c.victimBuf[1][:0]
	target := none
	for i := range c.workers {
		w := &c.workers[i]
		if !w.inUse || w.cordoned || !t.Need.Fits(w.capacity) {
			continue
		}
		set, enough := c.selectVictims(now, w, &p, spare[:0])
		if enough && (target == none || cheaper(set, best)) {
			best, set = set, best
			target = int32(i)
		}
		spare = set
	}
	c.victimBuf = [2][]victim{best, spare}
	if target == none {
		return "", nil, false
	}
	return c.workers[target].name, c.victimIDs(best), true
}

// preemption is the state of the selection of victims on one worker.
type preemption struct {
	need Resources
	// avoidHeld is set when the task may not use capacity held for the reservation.
	avoidHeld bool
	held      Resources
	// free is the free capacity without the victims selected so far.
	free Resources
	// freeAtStart is the same at the start of the reservation.
	freeAtStart Resources
	reserved    bool
}

// fits reports whether the task fits once the victims selected so far have stopped.
func (p *preemption) fits() bool {
	if !p.need.Fits(p.free) {
		return false
	}
	return !p.avoidHeld || !p.reserved || p.need.Fits(p.freeAtStart.Sub(p.held))
}

// stop accounts for t as a victim.
func (p *preemption) stop(t *task) {
	p.free = p.free.Add(t.Need)
	if !t.endsByStart {
		p.freeAtStart = p.freeAtStart.Add(t.Need)
	}
}

// keep is the inverse of stop.
func (p *preemption) keep(t *task) {
	p.free = p.free.Sub(t.Need)
	if !t.endsByStart {
		p.freeAtStart = p.freeAtStart.Sub(t.Need)
	}
}

// selectVictims appends the tasks to stop on one worker to set and reports whether stopping
// them frees enough capacity.
func (c *Cell) selectVictims(now time.Time, w *worker, p *preemption, set []victim) ([]victim, bool) {
	p.held, p.free, p.freeAtStart, p.reserved = w.held, w.free, w.freeAtStart, w.reserved
	for i := w.firstTask; i != none; i = c.tasks[i].nextOnWorker {
		if tier := tierOf(&c.tasks[i].Task); tier < numTiers {
			set = append(set, c.victim(now, i, tier))
		}
	}
	c.sortVictims(set)
	n := 0
	for ; n < len(set) && !p.fits(); n++ {
		p.stop(&c.tasks[set[n].task])
	}
	if !p.fits() {
		return set, false
	}
	return c.pruneVictims(p, set[:n]), true
}

// sortVictims is an insertion sort: a worker runs few tasks, and the overhead of a general
// sort took most of the time of Preempt.
func (c *Cell) sortVictims(set []victim) {
	for i := 1; i < len(set); i++ {
		for k := i; k > 0 && c.before(&set[k], &set[k-1]); k-- {
			set[k], set[k-1] = set[k-1], set[k]
		}
	}
}

func (c *Cell) before(a, b *victim) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if a.lostWork != b.lostWork {
		return a.lostWork < b.lostWork
	}
	return c.tasks[a.task].ID < c.tasks[b.task].ID
}

// pruneVictims removes the victims that are not needed, the most costly ones first.
func (c *Cell) pruneVictims(p *preemption, set []victim) []victim {
	for n := len(set) - 1; n >= 0; n-- {
		t := &c.tasks[set[n].task]
		p.keep(t)
		if p.fits() {
			set = slices.Delete(set, n, n+1)
			continue
		}
		p.stop(t)
	}
	return set
}

// victim returns the task with the cost of stopping it. The lost work is the number of seconds
// since its last checkpoint, or its start, times its size. For a gang task it is the sum over
// the tasks of the job.
func (c *Cell) victim(now time.Time, i int32, tier int) victim {
	t := &c.tasks[i]
	if t.Kind != Gang {
		return victim{i, none, tier, c.lostWorkOf(now, t)}
	}
	jb := &c.jobs[t.job]
	if jb.lostWorkCall != c.preemptCalls {
		jb.lostWorkCall, jb.lostWork = c.preemptCalls, 0
		for k := jb.firstTask; k != none; k = c.tasks[k].nextInJob {
			jb.lostWork += c.lostWorkOf(now, &c.tasks[k])
		}
	}
	return victim{i, t.job, tier, jb.lostWork}
}

func (c *Cell) lostWorkOf(now time.Time, t *task) float64 {
	since := t.LastCheckpoint
	if since.Before(t.Started) {
		since = t.Started
	}
	return max(now.Sub(since).Seconds(), 0) * c.grid.size(t.Need)
}

// cheaper reports whether a costs less than b: by the highest tier, then by the lost work.
func cheaper(a, b []victim) bool {
	ta, la := costOf(a)
	tb, lb := costOf(b)
	return ta < tb || ta == tb && la < lb
}

// costOf returns the highest tier and the lost work of a set. Each gang counts once.
func costOf(set []victim) (tier int, lost float64) {
	tier = -1
	for i, v := range set {
		tier = max(tier, v.tier)
		if v.job == none || !slices.ContainsFunc(set[:i], func(o victim) bool { return o.job == v.job }) {
			lost += v.lostWork
		}
	}
	return tier, lost
}

// victimIDs returns the sorted ids of the victims, including the other tasks of their gangs.
func (c *Cell) victimIDs(set []victim) []string {
	ids := make([]string, 0, len(set))
	for _, v := range set {
		t := &c.tasks[v.task]
		ids = append(ids, t.ID)
		if t.Kind != Gang {
			continue
		}
		for k := c.jobs[t.job].firstTask; k != none; k = c.tasks[k].nextInJob {
			ids = append(ids, c.tasks[k].ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
