package place

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxPerBucket limits how many workers of one bucket are compared. Their free capacity
	// differs by less than the width of a bucket, so comparing more gains little.
	maxPerBucket = 16
	// maxCompared limits the workers compared for one task once a candidate is found.
	maxCompared = 128
	// maxComparedForSpread is the limit while a rack with fewer replicas may still be found.
	// It covers a failure domain of the target size (222 workers).
	maxComparedForSpread = 256
)

// query is the state of one search for a worker.
type query struct {
	need Resources
	// avoidHeld is set when the task may not use capacity held for the reservation.
	avoidHeld bool
	// replicasPerRack counts the replicas of the service on each rack; nil if there are none.
	replicasPerRack []int32
	// minReplicas is the lowest replica count of any rack.
	minReplicas int32
	// best is the best worker so far, replicas the replica count of its rack.
	best     int32
	replicas int32
	score    float64
	// compared is the number of workers compared so far.
	compared int
	// blockedByHold is set when a worker has room but its free capacity is held.
	blockedByHold bool
}

// Place chooses a worker for t and grants it t.Need. Besides setting t.Started, now decides
// whether t may backfill held capacity while there is a reservation.
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

// choose returns the best worker for t without granting anything.
func (c *Cell) choose(now time.Time, t *Task) (int32, Reason) {
	if c.schedulable == 0 {
		return none, Reason{Code: NoWorkers}
	}
	if c.failed.contains(t.Need) {
		return none, c.noFitReason(t.Need)
	}
	q := query{need: t.Need, best: none, avoidHeld: c.reservation != nil && !c.reservation.mayBackfill(now, t)}
	if t.Kind == Service {
		c.preferSparseRacks(&q, t.Job)
	}
	c.updateWeights()
	c.search(&q)
	if q.best != none {
		return q.best, Reason{}
	}
	if q.blockedByHold {
		return none, Reason{Code: Reserved}
	}
	c.failed.add(t.Need)
	return none, c.noFitReason(t.Need)
}

// noFitReason distinguishes a task that has to wait from one that fits on no worker at all.
func (c *Cell) noFitReason(need Resources) Reason {
	if need.Fits(c.grid.largest) {
		return Reason{Code: NoCapacity}
	}
	return c.tooLarge(need)
}

// preferSparseRacks makes the search prefer racks with few replicas of the job.
func (c *Cell) preferSparseRacks(q *query, name string) {
	j, ok := c.byJob[name]
	if !ok {
		return
	}
	q.replicasPerRack = c.jobs[j].perRack
	if c.jobs[j].count < c.usedRacks {
		return // fewer replicas than racks, so some rack has none
	}
	q.minReplicas = math.MaxInt32
	for i, n := range q.replicasPerRack {
		if c.racks[i].workers > 0 {
			q.minReplicas = min(q.minReplicas, n)
		}
	}
}

// search visits the levels in order of free accelerators, starting with the fewest that
// suffice, so that accelerators stay free for the tasks that need them.
func (c *Cell) search(q *query) {
	first := int(min(q.need.Accelerators, int64(len(c.grid.levels)-1)))
	for lv := first; lv < len(c.grid.levels); lv++ {
		c.searchLevel(q, &c.grid.levels[lv])
		if q.best != none && q.replicas <= q.minReplicas {
			return
		}
	}
}

// searchLevel visits the buckets that can hold the need, tightest fit first, until no
// remaining bucket can contain a better worker than the best one found.
func (c *Cell) searchLevel(q *query, l *level) {
	g := &c.grid
	row := bucketIndex(q.need.CPUMillis, g.cpuShift)
	col := bucketIndex(q.need.MemoryMB, g.memShift)
	rows := l.rows >> row << row
	for rows != 0 {
		r := bits.TrailingZeros64(rows)
		rows &= rows - 1
		if q.canStop(g.minScore(q.need, r, col)) {
			return
		}
		columns := l.columns[r] >> col << col
		for columns != 0 {
			k := bits.TrailingZeros64(columns)
			columns &= columns - 1
			if q.canStop(g.minScore(q.need, r, k)) {
				break
			}
			c.searchBucket(q, l.heads[r*numBuckets+k])
		}
	}
}

// canStop reports whether the search can end when no remaining worker has a score below bound.
// It goes on while scores may be equal, because ties go to the lowest worker index.
func (q *query) canStop(bound float64) bool {
	if q.best == none {
		return false
	}
	if q.replicas > q.minReplicas {
		return q.compared >= maxComparedForSpread
	}
	return bound > q.score || q.compared >= maxCompared
}

// minScore returns a lower bound for the score of the workers in a bucket.
func (g *capacityGrid) minScore(need Resources, row, col int) float64 {
	return g.score(Resources{
		CPUMillis: max(int64(row)<<g.cpuShift-need.CPUMillis, 0),
		MemoryMB:  max(int64(col)<<g.memShift-need.MemoryMB, 0),
	})
}

// score rates the capacity left on a worker after a placement; lower is better. It is best
// fit by the sum of the remaining fractions of the reference, weighted by scarcity.
func (g *capacityGrid) score(left Resources) float64 {
	return float64(left.CPUMillis)*g.cpuWeight + float64(left.MemoryMB)*g.memWeight
}

// updateWeights sets the weight of each dimension in the score to the fourth power of its
// utilization relative to the most utilized dimension, so that an abundant resource has
// little influence. A worker above the reference counts only up to it. Exponents 1 and 2 packed less densely, as did 16 and 32 on workers with
// little memory (docs/policy.md).
func (c *Cell) updateWeights() {
	cpu := utilization(c.granted.CPUMillis, c.typical.CPUMillis)
	mem := utilization(c.granted.MemoryMB, c.typical.MemoryMB)
	highest := max(cpu, mem)
	c.grid.cpuWeight = c.grid.cpuNorm * pow4(cpu/highest)
	c.grid.memWeight = c.grid.memNorm * pow4(mem/highest)
}

// utilization returns part / whole, but at least 1e-6 so that an empty cell weights all
// dimensions equally.
func utilization(part, whole int64) float64 {
	return max(float64(part)/float64(max(whole, 1)), 1e-6)
}

func pow4(x float64) float64 { return x * x * x * x }

// searchBucket compares the workers of one bucket. It goes beyond maxPerBucket while there is
// no candidate, so that a task is never refused when some worker could hold it, and while a
// rack with fewer replicas may be found.
func (c *Cell) searchBucket(q *query, i int32) {
	for n := 0; i != none; n++ {
		spread := q.replicas > q.minReplicas && q.compared < maxComparedForSpread
		if n >= maxPerBucket && q.best != none && !spread {
			return
		}
		w := &c.workers[i]
		c.consider(q, i, w)
		i = w.nextInBucket
	}
}

func (c *Cell) consider(q *query, i int32, w *worker) {
	q.compared++
	if !q.need.Fits(w.free) {
		return
	}
	if q.avoidHeld && w.reserved && !q.need.Fits(w.freeAtStart.Sub(w.held)) {
		q.blockedByHold = true
		return
	}
	var count int32
	if q.replicasPerRack != nil {
		count = q.replicasPerRack[w.rack]
	}
	s := c.grid.score(w.free.Sub(q.need))
	if q.best != none && (count > q.replicas || count == q.replicas && (s > q.score || s == q.score && i > q.best)) {
		return
	}
	q.best, q.replicas, q.score = i, count, s
}

// PlaceAll places either all tasks or none; if one does not fit, every decision carries the
// reason. The job that holds the reservation may use the capacity held for it, and placing
// its tasks ends the reservation.
func (c *Cell) PlaceAll(now time.Time, ts []Task) Decisions {
	out := make(Decisions, len(ts))
	if len(ts) == 0 {
		return out
	}
	if c.reservation == nil || !c.reservation.covers(ts) {
		c.placeEach(now, ts, out)
		return out
	}
	plan := c.reservation
	c.clearHolds()
	if planned := c.placeAsPlanned(now, plan, ts); planned != nil {
		c.dropReservation()
		return planned
	}
	if c.placeEach(now, ts, out) {
		c.dropReservation()
		return out
	}
	c.applyHolds(plan)
	return out
}

// placeEach places the tasks one by one, fills out and reports success. On failure it rolls
// back the tasks placed so far.
func (c *Cell) placeEach(now time.Time, ts []Task, out Decisions) bool {
	order := bySize(ts, &c.grid)
	for n, i := range order {
		out[i] = c.Place(now, ts[i])
		if out[i].Reason.Code != Placed {
			c.rollBack(ts, order[:n], out, out[i].Reason)
			return false
		}
	}
	return true
}

// rollBack releases the tasks placed so far and sets the reason of every decision.
func (c *Cell) rollBack(ts []Task, placed []int, out Decisions, reason Reason) {
	for _, i := range placed {
		c.Release(ts[i].ID)
	}
	for i := range out {
		out[i] = Decision{Reason: reason}
	}
}

// bySize returns the indexes of the tasks in order of decreasing size, so that small tasks
// fill the gaps that large ones leave.
func bySize(ts []Task, g *capacityGrid) []int {
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

// size returns the need as a sum of fractions of the reference.
func (g *capacityGrid) size(need Resources) float64 {
	return float64(need.CPUMillis)*g.cpuNorm + float64(need.MemoryMB)*g.memNorm + float64(need.Accelerators)*g.accNorm
}

// Feasible reports whether the cell, if it were empty, could hold count tasks of this need
// at the same time; otherwise the Reason says why not. Cordoned workers count as well.
func (c *Cell) Feasible(need Resources, count int) (bool, Reason) {
	if need.negative() {
		return false, Reason{Code: Invalid}
	}
	if len(c.byName) == 0 {
		return false, Reason{Code: NoWorkers}
	}
	var total int64
	for i := range c.workers {
		if c.workers[i].inUse && total < int64(count) {
			total += countFitting(need, c.workers[i].capacity, int64(count)-total)
		}
	}
	if total >= int64(count) {
		return true, Reason{}
	}
	if total == 0 {
		return false, c.tooLarge(need)
	}
	return false, Reason{Code: TooManyTasks, Need: int64(count), Have: total}
}

// countFitting returns how many tasks of this need fit into free, at most limit.
func countFitting(need, free Resources, limit int64) int64 {
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

// tooLarge returns the reason for a need that exceeds every worker, with the dimension that
// no worker has enough of.
func (c *Cell) tooLarge(need Resources) Reason {
	var largest Resources
	for i := range c.workers {
		largest = largest.Max(c.workers[i].capacity)
	}
	switch {
	case need.CPUMillis > largest.CPUMillis:
		return Reason{TooLarge, CPU, need.CPUMillis, largest.CPUMillis}
	case need.MemoryMB > largest.MemoryMB:
		return Reason{TooLarge, Memory, need.MemoryMB, largest.MemoryMB}
	case need.Accelerators > largest.Accelerators:
		return Reason{TooLarge, Accelerators, need.Accelerators, largest.Accelerators}
	}
	return Reason{Code: TooLarge}
}
