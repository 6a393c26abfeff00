package event

import (
	"slices"
	"sync"
)

// defaultInstances rings of DefaultSize take 20 MB without their texts.
const defaultInstances = 16

// Mirror keeps copies of the events of other instances, so that the time line of
// an instance that died can still be read; set the fields before the first call.
type Mirror struct {
	// Size is the number of events kept for each instance; 0 means DefaultSize.
	Size int
	// MaxInstances is the number of instances kept; 0 means 16. The one that was heard
	// least recently makes room for a new one.
	MaxInstances int

	mu      sync.Mutex
	copies  map[string]*trail
	touched uint64
	dropped uint64
}

// trail holds the newest events of one instance in a ring that grows up to Size.
type trail struct {
	events  []Event
	oldest  int
	last    Event
	touched uint64
}

// Add copies events and returns how many were new. Events of one instance must
// come in order of sequence; those that were copied before are skipped.
func (m *Mirror) Add(events []Event) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	added := 0
	for i := range events {
		if m.add(&events[i]) {
			added++
		}
	}
	return added
}

func (m *Mirror) add(e *Event) bool {
	t := m.trail(e.Instance)
	m.touched++
	t.touched = m.touched
	// A restarted instance counts from the start again, at a later time.
	if e.Sequence <= t.last.Sequence && e.Time <= t.last.Time {
		return false
	}
	t.last = *e
	t.last.cut()
	if len(t.events) < m.size() {
		t.events = append(t.events, t.last)
		return true
	}
	t.events[t.oldest] = t.last
	t.oldest = (t.oldest + 1) % len(t.events)
	m.dropped++
	return true
}

// trail returns the copies of an instance and makes room for a new instance.
func (m *Mirror) trail(instance string) *trail {
	if t, ok := m.copies[instance]; ok {
		return t
	}
	if m.copies == nil {
		m.copies = make(map[string]*trail)
	}
	if len(m.copies) >= m.instances() {
		m.forgetOne()
	}
	t := &trail{}
	m.copies[instance] = t
	return t
}

func (m *Mirror) forgetOne() {
	oldest := ""
	for name, t := range m.copies {
		if oldest == "" || t.touched < m.copies[oldest].touched {
			oldest = name
		}
	}
	m.dropped += uint64(len(m.copies[oldest].events))
	delete(m.copies, oldest)
}

// LastSequence returns the sequence number of the newest copy of an instance, 0 for none.
func (m *Mirror) LastSequence(instance string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.copies[instance]
	if !ok {
		return 0
	}
	return t.last.Sequence
}

// Events returns the copies of one instance, oldest first.
func (m *Mirror) Events(instance string) []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.copies[instance]
	if !ok {
		return nil
	}
	return slices.Concat(t.events[t.oldest:], t.events[:t.oldest])
}

// All returns the copies of every instance, each oldest first, for Merge.
func (m *Mirror) All() [][]Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([][]Event, 0, len(m.copies))
	for _, t := range m.copies {
		all = append(all, slices.Concat(t.events[t.oldest:], t.events[:t.oldest]))
	}
	return all
}

// Dropped returns the number of copies that made room for newer ones.
func (m *Mirror) Dropped() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dropped
}

func (m *Mirror) size() int {
	if m.Size > 0 {
		return m.Size
	}
	return DefaultSize
}

func (m *Mirror) instances() int {
	if m.MaxInstances > 0 {
		return m.MaxInstances
	}
	return defaultInstances
}
