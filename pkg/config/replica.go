package config

import (
	"sync"
	"sync/atomic"
)

// maxRecentRevisions is the number of recent revisions that are kept to answer peers that are
// behind.
const maxRecentRevisions = 256

// Update is a set of changes that brings a replica to a newer revision. With Full set, Changes
// holds every document of the revision and replaces the replica's content.
type Update struct {
	Revision int64
	Full     bool
	Changes  []Change
}

// Replica is an instance's local copy of the configuration. Its revision never decreases.
type Replica struct {
	// OnApply is called with each new snapshot after it became the current one, in the order of
	// revisions.
	OnApply func(*Snapshot)

	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	recent  []Update
}

// Current returns the current snapshot. Before the first update it is empty and has revision 0.
func (r *Replica) Current() *Snapshot {
	if s := r.current.Load(); s != nil {
		return s
	}
	return newSnapshot(0, nil)
}

// Ready reports whether the replica has applied an update from the table or from a peer.
func (r *Replica) Ready() bool {
	return r.current.Load() != nil
}

// Apply applies an update and reports whether it changed the replica. It ignores revisions that are
// not newer. Unless the update is full, it also ignores revisions that would leave a gap.
func (r *Replica) Apply(u Update) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Full {
		return r.replace(u)
	}
	changed := false
	for _, update := range splitByRevision(u) {
		if update.Revision == r.Current().Revision+1 {
			r.setCurrent(r.Current().withChanges(update.Revision, update.Changes))
			r.appendRecent(update)
			changed = true
		}
	}
	return changed
}

// replace applies a full update. It also accepts revision 0 as the first one, so that a replica
// becomes ready with an empty table.
func (r *Replica) replace(u Update) bool {
	if r.Ready() && u.Revision <= r.Current().Revision {
		return false
	}
	r.recent = nil
	r.setCurrent(newSnapshot(0, nil).withChanges(u.Revision, u.Changes))
	return true
}

func (r *Replica) setCurrent(s *Snapshot) {
	r.current.Store(s)
	if r.OnApply != nil {
		r.OnApply(s)
	}
}

func (r *Replica) appendRecent(u Update) {
	r.recent = append(r.recent, u)
	if len(r.recent) > maxRecentRevisions {
		r.recent = r.recent[1:]
	}
}

// splitByRevision splits an update into one update for each revision, in the order of its changes.
func splitByRevision(u Update) []Update {
	var updates []Update
	for _, c := range u.Changes {
		last := len(updates) - 1
		if last < 0 || updates[last].Revision != c.Revision {
			updates = append(updates, Update{Revision: c.Revision})
			last++
		}
		updates[last].Changes = append(updates[last].Changes, c)
	}
	return updates
}

// UpdateSince returns the changes after a revision, or the full snapshot if some of those changes
// are no longer kept. A replica that is not ready returns an empty update that is not full, so that
// the caller does not mistake it for the configuration of an empty table.
func (r *Replica) UpdateSince(revision int64) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.Current()
	if !r.Ready() || revision >= s.Revision {
		return Update{Revision: s.Revision}
	}
	if len(r.recent) == 0 || r.recent[0].Revision > revision+1 {
		return Update{Revision: s.Revision, Full: true, Changes: s.Changes()}
	}
	update := Update{Revision: s.Revision}
	for _, u := range r.recent {
		if u.Revision > revision {
			update.Changes = append(update.Changes, u.Changes...)
		}
	}
	return update
}
