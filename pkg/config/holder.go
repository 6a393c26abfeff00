package config

import (
	"sync"
	"sync/atomic"
)

// maxRecent bounds the revisions kept for peers that are behind.
const maxRecent = 256

// Update is a set of changes that brings a replica to a newer revision. With Full set, Changes holds
// every document of the revision and replaces the replica's content.
type Update struct {
	Revision int64
	Full     bool
	Changes  []Change
}

// Replica is an instance's local copy of the configuration. Its revision never decreases.
type Replica struct {
	// OnApply is called after each new revision is in force, in order.
	OnApply func(*Snapshot)

	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	recent  []Update
}

// Current returns the snapshot in force; before the first revision it is empty with revision 0.
func (h *Replica) Current() *Snapshot {
	if s := h.current.Load(); s != nil {
		return s
	}
	return newSnapshot(0, nil)
}

// Ready tells whether a revision has been taken from the table or a peer.
func (h *Replica) Ready() bool {
	return h.current.Load() != nil
}

// Apply puts a page in force and tells whether it did; an older page, or one
// that would leave out a revision, changes nothing.
func (h *Replica) Apply(p Update) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Full {
		return h.replace(p)
	}
	changed := false
	for _, group := range byRevision(p) {
		if group.Revision == h.Current().Revision+1 {
			h.set(h.Current().with(group.Revision, group.Changes))
			h.remember(group)
			changed = true
		}
	}
	return changed
}

// replace also accepts revision 0, so that an empty table makes an instance ready.
func (h *Replica) replace(p Update) bool {
	if h.Ready() && p.Revision <= h.Current().Revision {
		return false
	}
	h.recent = nil
	h.set(newSnapshot(0, nil).with(p.Revision, p.Changes))
	return true
}

func (h *Replica) set(s *Snapshot) {
	h.current.Store(s)
	if h.OnApply != nil {
		h.OnApply(s)
	}
}

func (h *Replica) remember(p Update) {
	h.recent = append(h.recent, p)
	if len(h.recent) > maxRecent {
		h.recent = h.recent[1:]
	}
}

// byRevision splits a page into one page for each revision, in growing order.
func byRevision(p Update) []Update {
	var groups []Update
	for _, c := range p.Changes {
		last := len(groups) - 1
		if last < 0 || groups[last].Revision != c.Revision {
			groups = append(groups, Update{Revision: c.Revision})
			last++
		}
		groups[last].Changes = append(groups[last].Changes, c)
	}
	return groups
}

// UpdateSince returns the changes after a revision, or the full snapshot if some of those changes are
// no longer kept. A replica that is not ready returns an empty update that is not full, so that the
// caller does not mistake it for the configuration of an empty table.
func (h *Replica) UpdateSince(revision int64) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.Current()
	if !h.Ready() || revision >= s.Revision {
		return Update{Revision: s.Revision}
	}
	if len(h.recent) == 0 || h.recent[0].Revision > revision+1 {
		return Update{Revision: s.Revision, Full: true, Changes: s.Changes()}
	}
	page := Update{Revision: s.Revision}
	for _, p := range h.recent {
		if p.Revision > revision {
			page.Changes = append(page.Changes, p.Changes...)
		}
	}
	return page
}
