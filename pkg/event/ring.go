package event

import "sync"

const (
	// DefaultSize is the number of events that a Ring keeps when Size is 0.
	DefaultSize = 8_192
	// chunkSize is the number of events copied while holding the lock once.
	chunkSize = 256
)

// Ring is a ring buffer of the newest events of one instance. Set the fields before the first call.
type Ring struct {
	// Size is the number of events kept; 0 means DefaultSize.
	Size int
	// Instance is set in events without an instance.
	Instance string
	// Clock sets the time of events without one; if nil, their time remains 0.
	Clock *HybridClock

	mu     sync.Mutex
	events []Event
	newest uint64
}

// Add records an event under the next sequence number and returns it as recorded.
// If the ring is full, the oldest event is overwritten.
// Texts longer than MaxTextBytes are truncated.
func (r *Ring) Add(e Event) Event {
	e.truncateTexts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allocate()
	if e.Instance == "" {
		e.Instance = r.Instance
	}
	// The time is read under the lock, so that times increase with sequence numbers.
	if e.Time == 0 && r.Clock != nil {
		e.Time = r.Clock.Now()
	}
	r.newest++
	e.Sequence = r.newest
	*r.slot(e.Sequence) = e
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
	// Events are copied in chunks into preallocated memory, so that Add is never blocked for long.
	events := make([]Event, 0, n)
	for len(events) < n {
		before := len(events)
		events = r.copyChunk(events, sequence, min(n-before, chunkSize))
		if len(events) == before {
			break
		}
		sequence = events[len(events)-1].Sequence
	}
	return events
}

// count returns the number of events in the ring above a sequence number.
func (r *Ring) count(sequence uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allocate()
	first := max(sequence, r.overwritten())
	if first >= r.newest {
		return 0
	}
	return int(r.newest - first)
}

// copyChunk appends up to n events above a sequence number.
func (r *Ring) copyChunk(events []Event, sequence uint64, n int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := max(sequence, r.overwritten()) + 1
	for s := first; s <= r.newest && n > 0; s++ {
		events = append(events, *r.slot(s))
		n--
	}
	return events
}

// LastSequence returns the sequence number of the newest event, 0 when there is none.
func (r *Ring) LastSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// Dropped returns the number of events that were overwritten.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allocate()
	return r.overwritten()
}

func (r *Ring) allocate() {
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
	if r.newest <= size {
		return 0
	}
	return r.newest - size
}

// slot returns the slot of a sequence number; sequence numbers start at 1.
func (r *Ring) slot(sequence uint64) *Event {
	return &r.events[(sequence-1)%uint64(len(r.events))]
}
