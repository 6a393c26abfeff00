package place

import "math/bits"

const (
	// numBuckets is the number of buckets in each dimension of a level, so that the bitmap of
	// a row is one 64-bit word.
	numBuckets = 64
	// maxLevel is the highest level; it also has the workers with more free accelerators.
	maxLevel = 16
)

// capacityGrid indexes the workers by free capacity. It has one level for each number of free
// accelerators, and each level has a matrix of buckets by free CPU (row) and memory (column).
type capacityGrid struct {
	levels   []level
	cpuShift uint
	memShift uint
	// cpuNorm, memNorm and accNorm convert amounts to fractions of the largest worker.
	cpuNorm float64
	memNorm float64
	accNorm float64
	// cpuWeight and memWeight are cpuNorm and memNorm times the scarcity of the dimension.
	cpuWeight float64
	memWeight float64
	largest   Resources
}

type level struct {
	// rows is the bitmap of the rows with a worker.
	rows uint64
	// columns has, for each row, the bitmap of the buckets with a worker.
	columns [numBuckets]uint64
	// heads has the first worker of each bucket.
	heads [numBuckets * numBuckets]int32
}

// resizeGrid rebuilds the grid with wider buckets when a worker is larger than all before.
func (c *Cell) resizeGrid(capacity Resources) {
	g := &c.grid
	largest := g.largest.Max(capacity)
	if largest == g.largest && g.levels != nil {
		return
	}
	g.largest = largest
	g.cpuShift = shiftFor(largest.CPUMillis)
	g.memShift = shiftFor(largest.MemoryMB)
	g.cpuNorm = 1 / float64(max(largest.CPUMillis, 1))
	g.memNorm = 1 / float64(max(largest.MemoryMB, 1))
	g.accNorm = 1 / float64(max(largest.Accelerators, 1))
	g.levels = make([]level, min(largest.Accelerators, maxLevel)+1)
	for i := range g.levels {
		for k := range g.levels[i].heads {
			g.levels[i].heads[k] = none
		}
	}
	for i := range c.workers {
		c.workers[i].bucket = none
	}
	for i := range c.workers {
		c.link(int32(i))
	}
}

// shiftFor returns the right shift that maps 0..largest to the buckets. Where the largest
// value itself would map beyond the last bucket, bucketIndex clamps it.
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
