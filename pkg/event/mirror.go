package event

import (
	"slices"
	"sync"
)

// defaultMaxInstances histories of DefaultSize take 20 MB without their texts.
const defaultMaxInstances = 16

// Mirror keeps copies of the events of other instances, so that the events of an instance
// remain available after it crashed. Set the fields before the first call.
type Mirror struct {
	// Size is the number of events kept for each instance; 0 means DefaultSize.
	Size int
	// MaxInstances is the number of instances whose events are kept; 0 means 16. A new
	// instance replaces the one from which events were added least recently.
	MaxInstances int

	mu         sync.Mutex
	histories  map[string]*history
	useCounter uint64
	dropped    uint64
}

// history holds the newest events of one instance in a ring buffer that grows up to Size.
type history struct {
	events   []Event
	oldest   int
	last     Event
	lastUsed uint64
}

// Add copies events and returns how many of them were new. Events of one instance must be
// in order of sequence; those that were copied before are skipped.
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
	h := m.historyOf(e.Instance)
	m.useCounter++
	h.lastUsed = m.useCounter
	// A restarted instance starts its sequence again, but with later times.
	if e.Sequence <= h.last.Sequence && e.Time <= h.last.Time {
		return false
	}
	h.last = *e
	h.last.truncateTexts()
	if len(h.events) < m.size() {
		h.events = append(h.events, h.last)
		return true
	}
	h.events[h.oldest] = h.last
	h.oldest = (h.oldest + 1) % len(h.events)
	m.dropped++
	return true
}

// historyOf returns the history of an instance. A new instance evicts the least recently
// used one when MaxInstances is reached.
func (m *Mirror) historyOf(instance string) *history {
	if h, ok := m.histories[instance]; ok {
		return h
	}
	if m.histories == nil {
		m.histories = make(map[string]*history)
	}
	if len(m.histories) >= m.maxInstances() {
		m.evictOne()
	}
	h := &history{}
	m.histories[instance] = h
	return h
}

func (m *Mirror) evictOne() {
	oldest := ""
	for name, h := range m.histories {
		if oldest == "" || h.lastUsed < m.histories[oldest].lastUsed {
			oldest = name
		}
	}
	m.dropped += uint64(len(m.histories[oldest].events))
	delete(m.histories, oldest)
}

// LastSequence returns the sequence number of the newest copy of an instance, 0 for none.
func (m *Mirror) LastSequence(instance string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histories[instance]
	if !ok {
		return 0
	}
	return h.last.Sequence
}

// Events returns the copies of one instance, oldest first.
func (m *Mirror) Events(instance string) []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histories[instance]
	if !ok {
		return nil
	}
	return slices.Concat(h.events[h.oldest:], h.events[:h.oldest])
}

// All returns the copies of every instance, each oldest first, for Merge.
func (m *Mirror) All() [][]Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([][]Event, 0, len(m.histories))
	for _, h := range m.histories {
		all = append(all, slices.Concat(h.events[h.oldest:], h.events[:h.oldest]))
	}
	return all
}

// Dropped returns the number of copies that were overwritten or evicted.
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

func (m *Mirror) maxInstances() int {
	if m.MaxInstances > 0 {
		return m.MaxInstances
	}
	return defaultMaxInstances
}
