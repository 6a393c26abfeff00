package place

import (
	"cmp"
	"slices"
	"time"
)

// victim is a running task that could be stopped, with what stopping it loses.
type victim struct {
	task int32
	tier int
	lost float64
}

// tiers is the number of tiers in which victims are taken.
const tiers = 6

// tierOf orders victims: deferrable before normal work, services of both classes last;
// within a class an all-at-once task comes after batch tasks because its whole job stops.
func tierOf(t *Task) int {
	if t.Class != Deferrable && t.Class != Normal {
		return tiers
	}
	tier := 0
	if t.Class == Normal {
		tier = 1
	}
	switch t.Kind {
	case AllAtOnce:
		return tier*2 + 1
	case Batch:
		return tier * 2
	}
	return 4 + tier
}

// Preempt decides which tasks to stop so that the urgent task t fits on the returned worker.
// It changes nothing: the caller stops the victims, releases them and places t.
// Only urgent tasks preempt. Victims are deferrable before normal, services last; among the
// workers the one is chosen that loses the least work (time since the last checkpoint times
// size). The victims of an all-at-once job include its tasks on other workers.
func (c *Cell) Preempt(now time.Time, t Task) (worker string, victims []string, ok bool) {
	if t.Class != Urgent || t.Need.negative() {
		return "", nil, false
	}
	var best []victim
	at := none
	for i := range c.workers {
		w := &c.workers[i]
		if !w.used || w.cordoned || !t.Need.Fits(w.capacity) {
			continue
		}
		if set, enough := c.clear(now, w, &t); enough && (at == none || cheaper(set, best)) {
			best, at = set, int32(i)
		}
	}
	if at == none {
		return "", nil, false
	}
	return c.workers[at].name, c.idsOf(best), true
}

// clear chooses the tasks to stop on one worker.
func (c *Cell) clear(now time.Time, w *worker, t *Task) ([]victim, bool) {
	var all []victim
	for i := w.first; i != none; i = c.tasks[i].next {
		if tier := tierOf(&c.tasks[i].Task); tier < tiers {
			all = append(all, victim{i, tier, c.lost(now, i)})
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.lost, b.lost),
			cmp.Compare(c.tasks[a.task].ID, c.tasks[b.task].ID))
	})
	lasts := c.res != nil && w.reserved && !c.res.mayBackfill(now, t)
	free, after := w.free, w.after
	room := func() bool {
		return t.Need.Fits(free) && (!lasts || t.Need.Fits(after.Sub(w.held)))
	}
	n := 0
	for ; n < len(all) && !room(); n++ {
		free = free.Add(c.tasks[all[n].task].Need)
		if !c.tasks[all[n].task].ends {
			after = after.Add(c.tasks[all[n].task].Need)
		}
	}
	if !room() {
		return nil, false
	}
	return c.spare(all[:n], &free, &after, room), true
}

// spare takes out the victims that turn out not to be needed, the dearest first.
func (c *Cell) spare(set []victim, free, after *Resources, room func() bool) []victim {
	for n := len(set) - 1; n >= 0; n-- {
		t := &c.tasks[set[n].task]
		f, a := *free, *after
		*free = f.Sub(t.Need)
		if !t.ends {
			*after = a.Sub(t.Need)
		}
		if room() {
			set = slices.Delete(set, n, n+1)
			continue
		}
		*free, *after = f, a
	}
	return set
}

// lost is the work lost by stopping a task: seconds since its last checkpoint, or its
// start, times its size; for an all-at-once task that of its whole job.
func (c *Cell) lost(now time.Time, i int32) float64 {
	t := &c.tasks[i]
	if t.Kind != AllAtOnce || t.job == none {
		return c.lostOne(now, t)
	}
	sum := 0.0
	for k := c.jobs[t.job].first; k != none; k = c.tasks[k].jobNext {
		sum += c.lostOne(now, &c.tasks[k])
	}
	return sum
}

func (c *Cell) lostOne(now time.Time, t *task) float64 {
	since := t.LastCheckpoint
	if since.Before(t.Started) {
		since = t.Started
	}
	return max(now.Sub(since).Seconds(), 0) * c.grid.size(t.Need)
}

// cheaper compares by the highest tier that is touched, then by the lost work.
func cheaper(a, b []victim) bool {
	ta, la := costOf(a)
	tb, lb := costOf(b)
	return ta < tb || ta == tb && la < lb
}

func costOf(set []victim) (tier int, lost float64) {
	tier = -1
	for _, v := range set {
		tier = max(tier, v.tier)
		lost += v.lost
	}
	return tier, lost
}

// idsOf lists the victims, completed by the other tasks of their all-at-once jobs.
func (c *Cell) idsOf(set []victim) []string {
	ids := make([]string, 0, len(set))
	for _, v := range set {
		t := &c.tasks[v.task]
		ids = append(ids, t.ID)
		if t.Kind != AllAtOnce {
			continue
		}
		for k := c.jobs[t.job].first; k != none; k = c.tasks[k].jobNext {
			ids = append(ids, c.tasks[k].ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
