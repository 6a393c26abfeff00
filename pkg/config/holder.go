package config

import (
	"sync"
	"sync/atomic"
)

// maxRecent bounds the revisions kept for peers that are behind.
const maxRecent = 256

// Page is what an instance hands to one that is behind.
type Page struct {
	Revision int64
	Whole    bool
	Changes  []Change
}

// Holder keeps the snapshot in force; its revision only grows.
type Holder struct {
	// OnApply is called after each new revision is in force, in order.
	OnApply func(*Snapshot)

	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	recent  []Page
}

// Current returns the snapshot in force; before the first revision it is empty with revision 0.
func (h *Holder) Current() *Snapshot {
	if s := h.current.Load(); s != nil {
		return s
	}
	return newSnapshot(0, nil)
}

// Ready tells whether a revision has been taken from the table or a peer.
func (h *Holder) Ready() bool {
	return h.current.Load() != nil
}

// Apply puts a page in force and tells whether it did; an older page, or one
// that would leave out a revision, changes nothing.
func (h *Holder) Apply(p Page) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Whole {
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
func (h *Holder) replace(p Page) bool {
	if h.Ready() && p.Revision <= h.Current().Revision {
		return false
	}
	h.recent = nil
	h.set(newSnapshot(0, nil).with(p.Revision, p.Changes))
	return true
}

func (h *Holder) set(s *Snapshot) {
	h.current.Store(s)
	if h.OnApply != nil {
		h.OnApply(s)
	}
}

func (h *Holder) remember(p Page) {
	h.recent = append(h.recent, p)
	if len(h.recent) > maxRecent {
		h.recent = h.recent[1:]
	}
}

// byRevision splits a page into one page for each revision, in growing order.
func byRevision(p Page) []Page {
	var groups []Page
	for _, c := range p.Changes {
		last := len(groups) - 1
		if last < 0 || groups[last].Revision != c.Revision {
			groups = append(groups, Page{Revision: c.Revision})
			last++
		}
		groups[last].Changes = append(groups[last].Changes, c)
	}
	return groups
}

// After returns the changes after a revision, or the whole snapshot when they are not kept.
// Without a revision in force the page is empty, so that the asker does not take it for the
// configuration of an empty table.
func (h *Holder) After(revision int64) Page {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.Current()
	if !h.Ready() || revision >= s.Revision {
		return Page{Revision: s.Revision}
	}
	if len(h.recent) == 0 || h.recent[0].Revision > revision+1 {
		return Page{Revision: s.Revision, Whole: true, Changes: s.Changes()}
	}
	page := Page{Revision: s.Revision}
	for _, p := range h.recent {
		if p.Revision > revision {
			page.Changes = append(page.Changes, p.Changes...)
		}
	}
	return page
}
