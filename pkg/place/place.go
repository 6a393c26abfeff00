package place

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// perBucket bounds how many workers of one bucket are compared; they differ by less than a bucket.
	perBucket = 16
	// enough bounds the workers compared for one task once one is found.
	enough = 128
	// enoughRacks is the same bound while a rack with fewer replicas may be found; it covers a
	// failure domain of the target size (222 workers).
	enoughRacks = 256
)

// query is one search for a worker.
type query struct {
	need Resources
	// lasts is set when the task may not use capacity held for the reservation.
	lasts bool
	// job is the replica count by rack of a service, or nil.
	job []int32
	// least is the lowest replica count that a rack can have.
	least int32
	best  int32
	count int32
	score float64
	seen  int
	// blocked is set when only the reservation ruled a worker out.
	blocked bool
}

// Place chooses a worker for t and grants it t.Need. The decision is made at time now,
// which matters only while a reservation is held.
func (c *Cell) Place(now time.Time, t Task) Decision {
	if t.ID == "" || t.Need.negative() {
		return Decision{Reason: Reason{Code: Invalid}}
	}
	if _, held := c.byID[t.ID]; held {
		return Decision{Reason: Reason{Code: Duplicate}}
	}
	w, reason := c.choose(now, &t)
	if w == none {
		return Decision{Reason: reason}
	}
	t.Started = now
	c.grant(w, &t)
	return Decision{Worker: c.workers[w].name}
}

// choose finds the worker for t without granting anything.
func (c *Cell) choose(now time.Time, t *Task) (int32, Reason) {
	if c.open == 0 {
		return none, Reason{Code: NoWorkers}
	}
	if c.fails.known(t.Need) {
		return none, c.noRoom(t.Need)
	}
	q := query{need: t.Need, best: none, lasts: c.res != nil && !c.res.mayBackfill(now, t)}
	if t.Kind == Service {
		c.spread(&q, t.Job)
	}
	c.weigh()
	c.search(&q)
	if q.best != none {
		return q.best, Reason{}
	}
	if q.blocked {
		return none, Reason{Code: Reserved}
	}
	c.fails.add(t.Need)
	return none, c.noRoom(t.Need)
}

// noRoom tells a task that has to wait from one that can never be placed.
func (c *Cell) noRoom(need Resources) Reason {
	if need.Fits(c.grid.largest) {
		return Reason{Code: NoCapacity}
	}
	return c.tooLarge(need)
}

// spread prepares a search that prefers racks with few replicas of the job.
func (c *Cell) spread(q *query, name string) {
	j, ok := c.byJob[name]
	if !ok {
		return
	}
	q.job = c.jobs[j].perRack
	if c.jobs[j].count < c.inRacks {
		return // fewer replicas than racks: some rack has none
	}
	q.least = math.MaxInt32
	for i, n := range q.job {
		if c.racks[i].workers > 0 {
			q.least = min(q.least, n)
		}
	}
}

// search visits the levels from the fewest free accelerators that suffice, so that
// accelerators stay free for the tasks that need them.
func (c *Cell) search(q *query) {
	first := int(min(q.need.Accelerators, int64(len(c.grid.levels)-1)))
	for lv := first; lv < len(c.grid.levels); lv++ {
		c.searchLevel(q, &c.grid.levels[lv])
		if q.best != none && q.count <= q.least {
			return
		}
	}
}

// searchLevel visits the buckets that can hold the need, tightest first, until no remaining
// bucket can hold a better worker than the best one found.
func (c *Cell) searchLevel(q *query, l *level) {
	g := &c.grid
	row := bucketOf(q.need.CPUMillis, g.cpuShift)
	col := bucketOf(q.need.MemoryMB, g.memShift)
	rows := l.rows >> row << row
	for rows != 0 {
		r := bits.TrailingZeros64(rows)
		rows &= rows - 1
		if q.settled(g.bound(q.need, r, col)) {
			return
		}
		columns := l.columns[r] >> col << col
		for columns != 0 {
			k := bits.TrailingZeros64(columns)
			columns &= columns - 1
			if q.settled(g.bound(q.need, r, k)) {
				break
			}
			c.searchBucket(q, l.head[r*buckets+k])
		}
	}
}

// settled reports whether no worker with at least this score can replace the best one.
// Workers with an equal score can: the one that was added first is taken.
func (q *query) settled(bound float64) bool {
	if q.best == none {
		return false
	}
	if q.count > q.least {
		return q.seen >= enoughRacks
	}
	return bound > q.score || q.seen >= enough
}

// bound is the lowest score that a worker in the bucket can have.
func (g *index) bound(need Resources, row, col int) float64 {
	return g.score(Resources{
		CPUMillis: max(int64(row)<<g.cpuShift-need.CPUMillis, 0),
		MemoryMB:  max(int64(col)<<g.memShift-need.MemoryMB, 0),
	})
}

// score rates what would stay free on a worker; lower is better. It is best fit by the sum
// of what is left in fractions of the largest worker, each weighed by its scarcity.
func (g *index) score(left Resources) float64 {
	return float64(left.CPUMillis)*g.cpuCost + float64(left.MemoryMB)*g.memCost
}

// weigh sets the weights of the score: the fourth power of the granted share of each
// dimension. A dimension that nobody lacks then hardly decides where a task goes; powers 1
// and 2 packed less, 16 and 32 packed less on workers with little memory (docs/policy.md).
func (c *Cell) weigh() {
	cpu := share(c.granted.CPUMillis, c.total.CPUMillis)
	mem := share(c.granted.MemoryMB, c.total.MemoryMB)
	most := max(cpu, mem)
	c.grid.cpuCost = c.grid.perCPU * fourth(cpu/most)
	c.grid.memCost = c.grid.perMem * fourth(mem/most)
}

// share is part of whole, at least one in a million so that an empty cell weighs all dimensions.
func share(part, whole int64) float64 {
	return max(float64(part)/float64(max(whole, 1)), 1e-6)
}

func fourth(x float64) float64 { return x * x * x * x }

// searchBucket compares the workers of one bucket. It goes past perBucket workers while none
// is found, so that a task is never refused when a worker could hold it, and while a rack
// with fewer replicas may be found.
func (c *Cell) searchBucket(q *query, i int32) {
	for n := 0; i != none; n++ {
		spread := q.count > q.least && q.seen < enoughRacks
		if n >= perBucket && q.best != none && !spread {
			return
		}
		w := &c.workers[i]
		c.consider(q, i, w)
		i = w.next
	}
}

func (c *Cell) consider(q *query, i int32, w *worker) {
	q.seen++
	if !q.need.Fits(w.free) {
		return
	}
	if q.lasts && w.reserved && !q.need.Fits(w.after.Sub(w.held)) {
		q.blocked = true
		return
	}
	var count int32
	if q.job != nil {
		count = q.job[w.rack]
	}
	s := c.grid.score(w.free.Sub(q.need))
	if q.best != none && (count > q.count || count == q.count && (s > q.score || s == q.score && i > q.best)) {
		return
	}
	q.best, q.count, q.score = i, count, s
}

// PlaceAll places every task or, when one does not fit, none; then each decision
// carries the reason. The job that holds the reservation may use what is held for it,
// and a successful PlaceAll of that job ends the reservation.
func (c *Cell) PlaceAll(now time.Time, ts []Task) Decisions {
	out := make(Decisions, len(ts))
	if len(ts) == 0 {
		return out
	}
	if c.res == nil || !c.res.covers(ts) {
		c.placeEach(now, ts, out)
		return out
	}
	plan := c.res
	c.suspend()
	if planned := c.placePlanned(now, plan, ts); planned != nil {
		c.dropReservation()
		return planned
	}
	if c.placeEach(now, ts, out) {
		c.dropReservation()
		return out
	}
	c.resume(plan)
	return out
}

// placeEach fills out and reports whether every task was placed; if not, none is.
func (c *Cell) placeEach(now time.Time, ts []Task, out Decisions) bool {
	order := bySize(ts, &c.grid)
	for n, i := range order {
		out[i] = c.Place(now, ts[i])
		if out[i].Reason.Code != Placed {
			c.undo(ts, order[:n], out, out[i].Reason)
			return false
		}
	}
	return true
}

// undo releases the tasks placed so far and gives every decision the reason.
func (c *Cell) undo(ts []Task, placed []int, out Decisions, reason Reason) {
	for _, i := range placed {
		c.Release(ts[i].ID)
	}
	for i := range out {
		out[i] = Decision{Reason: reason}
	}
}

// bySize returns the indexes of the tasks, largest need first; that order leaves
// the small tasks for the gaps.
func bySize(ts []Task, g *index) []int {
	order := make([]int, len(ts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := g.size(ts[a].Need), g.size(ts[b].Need)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return order
}

// size is the need as a sum of fractions of the largest worker.
func (g *index) size(need Resources) float64 {
	return float64(need.CPUMillis)*g.perCPU + float64(need.MemoryMB)*g.perMem + float64(need.Accelerators)*g.perAcc
}

// Feasible reports whether the empty cell could hold count tasks of this need at the
// same time, cordoned workers included, and why not.
func (c *Cell) Feasible(need Resources, count int) (bool, Reason) {
	if need.negative() {
		return false, Reason{Code: Invalid}
	}
	if len(c.byName) == 0 {
		return false, Reason{Code: NoWorkers}
	}
	var room int64
	for i := range c.workers {
		if c.workers[i].used {
			room += times(need, c.workers[i].capacity, int64(count))
		}
	}
	if room >= int64(count) {
		return true, Reason{}
	}
	if room == 0 {
		return false, c.tooLarge(need)
	}
	return false, Reason{Code: TooManyTasks, Need: int64(count), Have: room}
}

// times returns how many tasks of this need fit into free, at most limit.
func times(need, free Resources, limit int64) int64 {
	n := limit
	if need.CPUMillis > 0 {
		n = min(n, free.CPUMillis/need.CPUMillis)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	return max(n, 0)
}

// tooLarge names the dimension that no worker has enough of.
func (c *Cell) tooLarge(need Resources) Reason {
	var most Resources
	for i := range c.workers {
		most = most.Max(c.workers[i].capacity)
	}
	switch {
	case need.CPUMillis > most.CPUMillis:
		return Reason{TooLarge, CPU, need.CPUMillis, most.CPUMillis}
	case need.MemoryMB > most.MemoryMB:
		return Reason{TooLarge, Memory, need.MemoryMB, most.MemoryMB}
	case need.Accelerators > most.Accelerators:
		return Reason{TooLarge, Accelerators, need.Accelerators, most.Accelerators}
	}
	return Reason{Code: TooLarge}
}
