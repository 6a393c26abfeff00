package place

import (
	"slices"
	"time"
)

// victim is a running task that could be stopped, with what stopping it loses.
type victim struct {
	task int32
	// job is set for a task that stops its whole job; lost is then that of the job.
	job  int32
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
	case Gang:
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
	q := clearing{need: t.Need, lasts: c.res != nil && !c.res.mayBackfill(now, &t)}
	c.preempts++
	best, spare := c.victimBuf[0][:0], c.victimBuf[1][:0]
	at := none
	for i := range c.workers {
		w := &c.workers[i]
		if !w.used || w.cordoned || !t.Need.Fits(w.capacity) {
			continue
		}
		set, enough := c.clear(now, w, &q, spare[:0])
		if enough && (at == none || cheaper(set, best)) {
			best, set = set, best
			at = int32(i)
		}
		spare = set
	}
	c.victimBuf = [2][]victim{best, spare}
	if at == none {
		return "", nil, false
	}
	return c.workers[at].name, c.idsOf(best), true
}

// clearing is the search for tasks to stop on one worker.
type clearing struct {
	need Resources
	// lasts is set when the task may not use capacity held for the reservation.
	lasts bool
	held  Resources
	free  Resources
	// after is what is free at the start of the reservation.
	after    Resources
	reserved bool
}

func (q *clearing) room() bool {
	if !q.need.Fits(q.free) {
		return false
	}
	return !q.lasts || !q.reserved || q.need.Fits(q.after.Sub(q.held))
}

func (q *clearing) stop(t *task) {
	q.free = q.free.Add(t.Need)
	if !t.ends {
		q.after = q.after.Add(t.Need)
	}
}

func (q *clearing) keep(t *task) {
	q.free = q.free.Sub(t.Need)
	if !t.ends {
		q.after = q.after.Sub(t.Need)
	}
}

// clear appends to set the tasks to stop on one worker and reports whether they suffice.
func (c *Cell) clear(now time.Time, w *worker, q *clearing, set []victim) ([]victim, bool) {
	q.held, q.free, q.after, q.reserved = w.held, w.free, w.after, w.reserved
	for i := w.first; i != none; i = c.tasks[i].next {
		if tier := tierOf(&c.tasks[i].Task); tier < tiers {
			set = append(set, c.victim(now, i, tier))
		}
	}
	c.sortVictims(set)
	n := 0
	for ; n < len(set) && !q.room(); n++ {
		q.stop(&c.tasks[set[n].task])
	}
	if !q.room() {
		return set, false
	}
	return c.needed(q, set[:n]), true
}

// sortVictims sorts by insertion: a worker holds few tasks, and the calls of a general sort
// took most of the time of Preempt.
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
	if a.lost != b.lost {
		return a.lost < b.lost
	}
	return c.tasks[a.task].ID < c.tasks[b.task].ID
}

// needed takes out the victims that turn out not to be needed, the dearest first.
func (c *Cell) needed(q *clearing, set []victim) []victim {
	for n := len(set) - 1; n >= 0; n-- {
		t := &c.tasks[set[n].task]
		q.keep(t)
		if q.room() {
			set = slices.Delete(set, n, n+1)
			continue
		}
		q.stop(t)
	}
	return set
}

// victim rates the stopping of a task: the lost work is the seconds since its last
// checkpoint, or its start, times its size; for an all-at-once task that of its whole job.
func (c *Cell) victim(now time.Time, i int32, tier int) victim {
	t := &c.tasks[i]
	if t.Kind != Gang {
		return victim{i, none, tier, c.lostOne(now, t)}
	}
	jb := &c.jobs[t.job]
	if jb.lostIn != c.preempts {
		jb.lostIn, jb.lost = c.preempts, 0
		for k := jb.first; k != none; k = c.tasks[k].jobNext {
			jb.lost += c.lostOne(now, &c.tasks[k])
		}
	}
	return victim{i, t.job, tier, jb.lost}
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

// costOf returns the highest tier and the lost work; a job that stops counts once.
func costOf(set []victim) (tier int, lost float64) {
	tier = -1
	for i, v := range set {
		tier = max(tier, v.tier)
		if v.job == none || !slices.ContainsFunc(set[:i], func(o victim) bool { return o.job == v.job }) {
			lost += v.lost
		}
	}
	return tier, lost
}

// idsOf lists the victims, completed by the other tasks of their all-at-once jobs.
func (c *Cell) idsOf(set []victim) []string {
	ids := make([]string, 0, len(set))
	for _, v := range set {
		t := &c.tasks[v.task]
		ids = append(ids, t.ID)
		if t.Kind != Gang {
			continue
		}
		for k := c.jobs[t.job].first; k != none; k = c.tasks[k].jobNext {
			ids = append(ids, c.tasks[k].ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
