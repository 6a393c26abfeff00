package event

import "sync"

// DefaultSize is the number of events that a Ring keeps when Size is 0.
const DefaultSize = 8_192

// Ring keeps the newest events of one instance; set the fields before the first call.
type Ring struct {
	// Size is the number of events kept; 0 means DefaultSize.
	Size int
	// Instance is written into events that name none.
	Instance string
	// Clock gives events without a time theirs; nil leaves them at 0.
	Clock *Clock

	mu     sync.Mutex
	events []Event
	next   uint64
}

// Add records an event under the next sequence number and returns it as recorded.
// The oldest event is overwritten when the ring is full.
func (r *Ring) Add(e Event) Event {
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	first := max(sequence, r.overwritten()) + 1
	if first > r.next {
		return nil
	}
	n := int(r.next - first + 1)
	if limit > 0 {
		n = min(n, limit)
	}
	events := make([]Event, 0, n)
	for i := range n {
		events = append(events, *r.at(first + uint64(i)))
	}
	return events
}

// Last returns the sequence number of the newest event, 0 when there is none.
func (r *Ring) Last() uint64 {
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
