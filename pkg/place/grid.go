package place

import (
	"math/bits"
	"slices"
)

const (
	// numBuckets is the number of buckets in each dimension of a level, so that the bitmap of
	// a row is one 64-bit word.
	numBuckets = 64
	// maxLevel is the highest level; it also has the workers with more free accelerators.
	maxLevel = 16
	// outlierFactor is how many times the median capacity the grid covers. A larger worker shares
	// the last buckets; covering it would leave the others too few buckets to tell them apart.
	outlierFactor = 8
)

// capacityGrid indexes the workers by free capacity. It has one level for each number of free
// accelerators, and each level has a matrix of buckets by free CPU (row) and memory (column).
type capacityGrid struct {
	levels   []level
	cpuShift uint
	memShift uint
	// cpuNorm, memNorm and accNorm convert amounts to fractions of the reference.
	cpuNorm float64
	memNorm float64
	accNorm float64
	// cpuWeight and memWeight are cpuNorm and memNorm times the scarcity of the dimension.
	cpuWeight float64
	memWeight float64
	// largest is the maximum over the workers, median the median of those that have any of a
	// dimension, and reference the largest capacity up to outlierFactor times the median. They may
	// include workers that were removed since the median was taken.
	largest   Resources
	median    Resources
	reference Resources
	// changes is the number of changed workers since the median was taken.
	changes int
}

type level struct {
	// rows is the bitmap of the rows with a worker.
	rows uint64
	// columns has, for each row, the bitmap of the buckets with a worker.
	columns [numBuckets]uint64
	// heads has the first worker of each bucket.
	heads [numBuckets * numBuckets]int32
}

// resizeGrid records that a worker was added, changed or removed. It rebuilds the grid when the
// reference changes. The median is taken again once half of the workers have changed.
func (c *Cell) resizeGrid(capacity Resources) {
	g := &c.grid
	former, formerLevels := g.reference, g.numLevels()
	g.changes++
	g.largest = g.largest.Max(capacity)
	if 2*g.changes > len(c.byName) {
		c.measure()
	} else {
		g.reference = g.reference.Max(capacity.within(g.median))
	}
	if g.levels == nil || g.reference != former || g.numLevels() != formerLevels {
		c.rebuildGrid()
	}
}

// measure sets the largest, median and reference capacity from the present workers.
func (c *Cell) measure() {
	g := &c.grid
	g.changes = 0
	g.largest, g.reference = Resources{}, Resources{}
	var cpu, mem, acc []int64
	for i := range c.workers {
		capacity := c.workers[i].capacity
		g.largest = g.largest.Max(capacity)
		cpu = appendPositive(cpu, capacity.CPUMillis)
		mem = appendPositive(mem, capacity.MemoryMB)
		acc = appendPositive(acc, capacity.Accelerators)
	}
	g.median = Resources{median(cpu), median(mem), median(acc)}
	for i := range c.workers {
		g.reference = g.reference.Max(c.workers[i].capacity.within(g.median))
	}
}

// within returns r without the dimensions that exceed outlierFactor times the median.
func (r Resources) within(median Resources) Resources {
	if r.CPUMillis > outlierFactor*median.CPUMillis {
		r.CPUMillis = 0
	}
	if r.MemoryMB > outlierFactor*median.MemoryMB {
		r.MemoryMB = 0
	}
	if r.Accelerators > outlierFactor*median.Accelerators {
		r.Accelerators = 0
	}
	return r
}

func appendPositive(to []int64, n int64) []int64 {
	if n <= 0 {
		return to
	}
	return append(to, n)
}

// median returns the lower median, or 0 for no amounts.
func median(amounts []int64) int64 {
	if len(amounts) == 0 {
		return 0
	}
	slices.Sort(amounts)
	return amounts[(len(amounts)-1)/2]
}

func (g *capacityGrid) numLevels() int64 {
	return min(g.largest.Accelerators, maxLevel) + 1
}

// rebuildGrid sizes the buckets for the reference and links all workers again.
func (c *Cell) rebuildGrid() {
	g := &c.grid
	g.cpuShift = shiftFor(g.reference.CPUMillis)
	g.memShift = shiftFor(g.reference.MemoryMB)
	g.cpuNorm = 1 / float64(max(g.reference.CPUMillis, 1))
	g.memNorm = 1 / float64(max(g.reference.MemoryMB, 1))
	g.accNorm = 1 / float64(max(g.reference.Accelerators, 1))
	g.levels = make([]level, g.numLevels())
	for i := range g.levels {
		for k := range g.levels[i].heads {
			g.levels[i].heads[k] = none
		}
	}
	c.typical = Resources{}
	for i := range c.workers {
		c.workers[i].bucket = none
		c.typical = c.typical.Add(c.workers[i].capacity.Min(g.reference))
	}
	for i := range c.workers {
		c.link(int32(i))
	}
}

// shiftFor returns the right shift that maps 0..largest to the buckets. bucketIndex clamps the
// values that map beyond the last bucket.
func shiftFor(largest int64) uint {
	if largest < numBuckets {
		return 0
	}
	return uint(bits.Len64(uint64(largest-1) / numBuckets))
}

func bucketIndex(amount int64, shift uint) int {
	if amount <= 0 {
		return 0
	}
	return min(int(amount>>shift), numBuckets-1)
}

// locate returns the level and bucket of a worker with this free capacity.
func (g *capacityGrid) locate(free Resources) (lv, bucket int32) {
	lv = int32(min(max(free.Accelerators, 0), int64(len(g.levels)-1)))
	return lv, int32(bucketIndex(free.CPUMillis, g.cpuShift)*numBuckets + bucketIndex(free.MemoryMB, g.memShift))
}

// link adds a worker to the grid unless it is cordoned.
func (c *Cell) link(i int32) {
	w := &c.workers[i]
	if !w.inUse || w.cordoned || w.bucket != none {
		return
	}
	w.level, w.bucket = c.grid.locate(w.free)
	l := &c.grid.levels[w.level]
	w.prevInBucket = none
	w.nextInBucket = l.heads[w.bucket]
	if w.nextInBucket != none {
		c.workers[w.nextInBucket].prevInBucket = i
	}
	l.heads[w.bucket] = i
	row, col := w.bucket/numBuckets, w.bucket%numBuckets
	l.columns[row] |= 1 << col
	l.rows |= 1 << row
}

// unlink removes a worker from the grid.
func (c *Cell) unlink(i int32) {
	w := &c.workers[i]
	if w.bucket == none {
		return
	}
	l := &c.grid.levels[w.level]
	if w.prevInBucket != none {
		c.workers[w.prevInBucket].nextInBucket = w.nextInBucket
	} else {
		l.heads[w.bucket] = w.nextInBucket
	}
	if w.nextInBucket != none {
		c.workers[w.nextInBucket].prevInBucket = w.prevInBucket
	}
	if l.heads[w.bucket] == none {
		row, col := w.bucket/numBuckets, w.bucket%numBuckets
		l.columns[row] &^= 1 << col
		if l.columns[row] == 0 {
			l.rows &^= 1 << row
		}
	}
	w.bucket = none
}

// relink moves a worker to the bucket that matches its current free capacity.
func (c *Cell) relink(i int32) {
	w := &c.workers[i]
	if w.bucket == none {
		return
	}
	if lv, bucket := c.grid.locate(w.free); lv == w.level && bucket == w.bucket {
		return
	}
	c.unlink(i)
	c.link(i)
}
