package event

import "sync"

const (
	// DefaultSize is the number of events that a Ring keeps when Size is 0.
	DefaultSize = 8_192
	// chunk is the number of events copied under one hold of the lock.
	chunk = 256
)

// Ring keeps the newest events of one instance; set the fields before the first call.
type Ring struct {
	// Size is the number of events kept; 0 means DefaultSize.
	Size int
	// Instance is written into events that name none.
	Instance string
	// Clock gives events without a time theirs; nil leaves them at 0.
	Clock *HybridClock

	mu     sync.Mutex
	events []Event
	next   uint64
}

// Add records an event under the next sequence number and returns it as recorded.
// The oldest event is overwritten when the ring is full.
// Texts longer than MaxTextBytes bytes are cut.
func (r *Ring) Add(e Event) Event {
	e.cut()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if e.Instance == "" {
		e.Instance = r.Instance
	}
	// The time is taken under the lock, so that times grow with sequence numbers.
	if e.Time == 0 && r.Clock != nil {
		e.Time = r.Clock.Now()
	}
	r.next++
	e.Sequence = r.next
	*r.at(e.Sequence) = e
	return e
}

// After returns at most limit events with sequence numbers above the given one,
// oldest first; a limit of 0 or less means all.
func (r *Ring) After(sequence uint64, limit int) []Event {
	n := r.count(sequence)
	if limit > 0 {
		n = min(n, limit)
	}
	if n == 0 {
		return nil
	}
	// Events are copied in chunks into memory allocated before, so that Add never waits for long.
	events := make([]Event, 0, n)
	for len(events) < n {
		before := len(events)
		events = r.copyChunk(events, sequence, min(n-before, chunk))
		if len(events) == before {
			break
		}
		sequence = events[len(events)-1].Sequence
	}
	return events
}

// count returns the number of events kept above a sequence number.
func (r *Ring) count(sequence uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	first := max(sequence, r.overwritten())
	if first >= r.next {
		return 0
	}
	return int(r.next - first)
}

// copyChunk appends up to n events above a sequence number.
func (r *Ring) copyChunk(events []Event, sequence uint64, n int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := max(sequence, r.overwritten()) + 1
	for s := first; s <= r.next && n > 0; s++ {
		events = append(events, *r.at(s))
		n--
	}
	return events
}

// LastSequence returns the sequence number of the newest event, 0 when there is none.
func (r *Ring) LastSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// Dropped returns the number of events that were overwritten.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	return r.overwritten()
}

func (r *Ring) init() {
	if r.events != nil {
		return
	}
	size := r.Size
	if size <= 0 {
		size = DefaultSize
	}
	r.events = make([]Event, size)
}

func (r *Ring) overwritten() uint64 {
	size := uint64(len(r.events))
	if r.next <= size {
		return 0
	}
	return r.next - size
}

// at returns the place of a sequence number, which starts at 1.
func (r *Ring) at(sequence uint64) *Event {
	return &r.events[(sequence-1)%uint64(len(r.events))]
}
