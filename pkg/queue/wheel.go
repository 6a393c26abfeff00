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
	// maxTick is the last tick that the levels can represent, 139 years after the start.
	maxTick = 1<<(wheelBits*wheelLevels) - 1
)

// timer is the position of an entry in the timing wheel.
type timer struct {
	tick       int64
	set        bool
	level      int8
	slot       int8
	prev, next *entry
}

// timingWheel is a hierarchical timing wheel that orders entries by deadline. Adding and
// removing an entry take constant time, whereas with a heap the cost of a cancellation would
// grow with the queue. An entry cascades down at most once per level.
type timingWheel struct {
	start    time.Time
	now      int64
	slots    [wheelLevels][wheelSlots]*entry
	occupied [wheelLevels]uint64
	due      *entry
	// cascaded counts the entries moved by advance, each move separately.
	cascaded uint64
}

// tickOf converts t to a tick, rounded up so that no entry becomes due before its deadline.
func (w *timingWheel) tickOf(t time.Time) int64 {
	d := t.Sub(w.start)
	tick := int64(d / wheelTick)
	if d%wheelTick > 0 {
		tick++
	}
	return min(max(tick, 0), maxTick)
}

func (w *timingWheel) add(e *entry) {
	if e.item.Deadline.IsZero() {
		return
	}
	e.timer = timer{tick: w.tickOf(e.item.Deadline), set: true}
	w.insert(e)
}

// insert links e into a slot of the level that corresponds to the highest digit, in base
// wheelSlots, in which its tick differs from now. Entries that are due go to the due list.
func (w *timingWheel) insert(e *entry) {
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

func (w *timingWheel) remove(e *entry) {
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

// advance moves the entries that have become due to the due list.
func (w *timingWheel) advance(now time.Time) {
	// Round down: the entries of the current tick are due only at its end.
	target := min(int64(now.Sub(w.start)/wheelTick), maxTick)
	for w.now < target {
		level, slot, at := w.earliest()
		if level < 0 || at > target {
			w.now = target
			return
		}
		w.now = at
		e := w.slots[level][slot]
		w.slots[level][slot] = nil
		w.occupied[level] &^= 1 << slot
		for e != nil {
			next := e.timer.next
			w.insert(e)
			w.cascaded++
			e = next
		}
	}
}

// earliest returns the next occupied slot and its first tick, or level -1 if there is none.
func (w *timingWheel) earliest() (level, slot int, at int64) {
	for level = range wheelLevels {
		if w.occupied[level] == 0 {
			continue
		}
		// All occupied slots of a level are ahead of now within the current rotation.
		slot = bits.TrailingZeros64(w.occupied[level])
		rotation := w.now >> (wheelBits * (level + 1)) << (wheelBits * (level + 1))
		return level, slot, rotation | int64(slot)<<(wheelBits*level)
	}
	return -1, 0, 0
}
