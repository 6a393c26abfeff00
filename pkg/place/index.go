package place

import "math/bits"

const (
	// buckets is the number of buckets in each of the two dimensions of a level;
	// a row of buckets is then one 64-bit word of the bitmap.
	buckets = 64
	// maxLevel is the highest level; workers with more free accelerators share it.
	maxLevel = 16
)

// index groups the workers by free capacity: one level for each number of free accelerators,
// and in a level a grid of buckets by free processors (row) and free memory (column).
type index struct {
	levels   []level
	cpuShift uint
	memShift uint
	// perCPU and perMem turn amounts into fractions of the largest worker.
	perCPU float64
	perMem float64
	perAcc float64
	// cpuCost and memCost are perCPU and perMem times the scarcity of the dimension.
	cpuCost float64
	memCost float64
	largest Resources
}

type level struct {
	// rows has a bit for each row that holds a worker.
	rows uint64
	// columns has a bit for each bucket of a row that holds a worker.
	columns [buckets]uint64
	head    [buckets * buckets]int32
}

// fitGrid widens the buckets when a worker is larger than every worker before.
func (c *Cell) fitGrid(capacity Resources) {
	g := &c.grid
	largest := g.largest.Max(capacity)
	if largest == g.largest && g.levels != nil {
		return
	}
	g.largest = largest
	g.cpuShift = shiftFor(largest.CPUMillis)
	g.memShift = shiftFor(largest.MemoryMB)
	g.perCPU = 1 / float64(max(largest.CPUMillis, 1))
	g.perMem = 1 / float64(max(largest.MemoryMB, 1))
	g.perAcc = 1 / float64(max(largest.Accelerators, 1))
	g.levels = make([]level, min(largest.Accelerators, maxLevel)+1)
	for i := range g.levels {
		for k := range g.levels[i].head {
			g.levels[i].head[k] = none
		}
	}
	for i := range c.workers {
		c.workers[i].slot = none
	}
	for i := range c.workers {
		c.link(int32(i))
	}
}

// shiftFor returns the shift that maps 0..largest to the buckets; the largest value shares the last one.
func shiftFor(largest int64) uint {
	if largest < buckets {
		return 0
	}
	return uint(bits.Len64(uint64(largest-1) / buckets))
}

func bucketOf(amount int64, shift uint) int {
	if amount <= 0 {
		return 0
	}
	return min(int(amount>>shift), buckets-1)
}

// slotOf returns the level and bucket where a worker with this free capacity belongs.
func (g *index) slotOf(free Resources) (lv, slot int32) {
	lv = int32(min(max(free.Accelerators, 0), int64(len(g.levels)-1)))
	return lv, int32(bucketOf(free.CPUMillis, g.cpuShift)*buckets + bucketOf(free.MemoryMB, g.memShift))
}

// link enters a worker into the index; cordoned workers stay out.
func (c *Cell) link(i int32) {
	w := &c.workers[i]
	if !w.used || w.cordoned || w.slot != none {
		return
	}
	w.level, w.slot = c.grid.slotOf(w.free)
	l := &c.grid.levels[w.level]
	w.prev = none
	w.next = l.head[w.slot]
	if w.next != none {
		c.workers[w.next].prev = i
	}
	l.head[w.slot] = i
	row, col := w.slot/buckets, w.slot%buckets
	l.columns[row] |= 1 << col
	l.rows |= 1 << row
}

// unlink removes a worker from the index.
func (c *Cell) unlink(i int32) {
	w := &c.workers[i]
	if w.slot == none {
		return
	}
	l := &c.grid.levels[w.level]
	if w.prev != none {
		c.workers[w.prev].next = w.next
	} else {
		l.head[w.slot] = w.next
	}
	if w.next != none {
		c.workers[w.next].prev = w.prev
	}
	if l.head[w.slot] == none {
		row, col := w.slot/buckets, w.slot%buckets
		l.columns[row] &^= 1 << col
		if l.columns[row] == 0 {
			l.rows &^= 1 << row
		}
	}
	w.slot = none
}

// relink moves a worker to the bucket of its present free capacity.
func (c *Cell) relink(i int32) {
	w := &c.workers[i]
	if w.slot == none {
		return
	}
	if lv, slot := c.grid.slotOf(w.free); lv == w.level && slot == w.slot {
		return
	}
	c.unlink(i)
	c.link(i)
}

// failures remembers needs that no worker can hold, so that a flood of equal tasks
// costs one search until capacity is freed that would hold one of them.
type failures struct {
	needs [failureSlots]Resources
	n     int
	next  int
}

const failureSlots = 8

func (f *failures) clear() { f.n, f.next = 0, 0 }

// known reports whether a need that is nowhere larger than this one has failed.
func (f *failures) known(need Resources) bool {
	for i := range f.n {
		if f.needs[i].Fits(need) {
			return true
		}
	}
	return false
}

func (f *failures) add(need Resources) {
	if f.n < failureSlots {
		f.needs[f.n] = need
		f.n++
		return
	}
	f.needs[f.next] = need
	f.next = (f.next + 1) % failureSlots
}

// freed forgets the needs that a worker with this free capacity can hold.
func (f *failures) freed(free Resources) {
	for i := 0; i < f.n; {
		if !f.needs[i].Fits(free) {
			i++
			continue
		}
		f.n--
		f.needs[i] = f.needs[f.n]
	}
	f.next = 0
}
