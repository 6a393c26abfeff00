package queue

import (
	"math/bits"
	"time"
)

const (
	wheelBits   = 6
	wheelSlots  = 1 << wheelBits
	wheelLevels = 7
	wheelTick   = time.Millisecond
	// farthestTick is the last tick the levels can hold, 139 years ahead of the first.
	farthestTick = 1<<(wheelBits*wheelLevels) - 1
)

// timer is the place of an entry in the wheel.
type timer struct {
	tick       int64
	set        bool
	level      int8
	slot       int8
	prev, next *entry
}

// wheel orders entries by deadline with constant cost to add and remove; a heap
// would make the cost of a cancellation grow with the queue. An entry is moved
// down at most once for each level.
type wheel struct {
	start    time.Time
	now      int64
	slots    [wheelLevels][wheelSlots]*entry
	occupied [wheelLevels]uint64
	due      *entry
	// moved counts the entries that were moved down a level.
	moved uint64
}

// tickOf rounds up, so that no entry comes out before its deadline.
func (w *wheel) tickOf(t time.Time) int64 {
	d := t.Sub(w.start)
	tick := int64(d / wheelTick)
	if d%wheelTick > 0 {
		tick++
	}
	return min(max(tick, 0), farthestTick)
}

func (w *wheel) add(e *entry) {
	if e.item.Deadline.IsZero() {
		return
	}
	e.timer = timer{tick: w.tickOf(e.item.Deadline), set: true}
	w.place(e)
}

// place links e into the slot of the highest digit in which its tick differs from now.
func (w *wheel) place(e *entry) {
	t := &e.timer
	head := &w.due
	t.level = -1
	if t.tick > w.now {
		level := (bits.Len64(uint64(t.tick^w.now)) - 1) / wheelBits
		t.level = int8(level)
		t.slot = int8(t.tick >> (wheelBits * level) & (wheelSlots - 1))
		head = &w.slots[level][t.slot]
		w.occupied[level] |= 1 << t.slot
	}
	t.prev, t.next = nil, *head
	if *head != nil {
		(*head).timer.prev = e
	}
	*head = e
}

func (w *wheel) remove(e *entry) {
	t := &e.timer
	if !t.set {
		return
	}
	if t.next != nil {
		t.next.timer.prev = t.prev
	}
	switch {
	case t.prev != nil:
		t.prev.timer.next = t.next
	case t.level < 0:
		w.due = t.next
	default:
		w.slots[t.level][t.slot] = t.next
		if t.next == nil {
			w.occupied[t.level] &^= 1 << t.slot
		}
	}
	e.timer = timer{}
}

// advance moves the entries whose tick has come to the due list.
func (w *wheel) advance(now time.Time) {
	// The running tick is not over yet, so entries of it stay.
	to := min(int64(now.Sub(w.start)/wheelTick), farthestTick)
	for w.now < to {
		level, slot, at := w.earliest()
		if level < 0 || at > to {
			w.now = to
			return
		}
		w.now = at
		e := w.slots[level][slot]
		w.slots[level][slot] = nil
		w.occupied[level] &^= 1 << slot
		for e != nil {
			next := e.timer.next
			w.place(e)
			w.moved++
			e = next
		}
	}
}

// earliest returns the next occupied slot and the tick at which it starts.
func (w *wheel) earliest() (level, slot int, at int64) {
	for level = range wheelLevels {
		if w.occupied[level] == 0 {
			continue
		}
		// Occupied slots lie ahead of now, in the same turn of their level.
		slot = bits.TrailingZeros64(w.occupied[level])
		turn := w.now >> (wheelBits * (level + 1)) << (wheelBits * (level + 1))
		return level, slot, turn | int64(slot)<<(wheelBits*level)
	}
	return -1, 0, 0
}
