package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// VersionedDocument is a published document with the revision, author and time of its last change.
type VersionedDocument struct {
	Document
	Version int64  `json:"version"`
	Author  string `json:"author,omitempty"`
	AtMS    int64  `json:"at_ms,omitempty"`
}

// Change is one document's part of a revision.
type Change struct {
	VersionedDocument
	Revision int64 `json:"revision"`
	Deleted  bool  `json:"deleted,omitempty"`
}

// Snapshot holds the documents of one revision; it is never changed.
type Snapshot struct {
	Revision  int64
	Documents map[string]VersionedDocument
	Jobs      map[string]Job
	Routes    map[string]Route
	Limits    map[string]Limits
}

// newSnapshot returns the snapshot of a revision with its documents decoded.
func newSnapshot(revision int64, entries map[string]VersionedDocument) *Snapshot {
	s := &Snapshot{
		Revision:  revision,
		Documents: entries,
		Jobs:      make(map[string]Job),
		Routes:    make(map[string]Route),
		Limits:    make(map[string]Limits),
	}
	for _, e := range entries {
		s.decode(e)
	}
	return s
}

// decode leaves out a document that can not be decoded, since every document
// was checked before it was committed.
func (s *Snapshot) decode(e VersionedDocument) {
	switch {
	case IsJobKind(e.Kind):
		var j Job
		if json.Unmarshal(e.Body, &j) == nil {
			s.Jobs[e.Name] = j.WithDefaults()
		}
	case e.Kind == KindRoute:
		var r Route
		if json.Unmarshal(e.Body, &r) == nil {
			s.Routes[e.Name] = r.WithDefaults()
		}
	case e.Kind == KindLimits:
		var l Limits
		if json.Unmarshal(e.Body, &l) == nil {
			s.Limits[e.Name] = l.WithDefaults()
		}
	}
}

// with returns the snapshot after the changes of one revision.
func (s *Snapshot) with(revision int64, changes []Change) *Snapshot {
	entries := maps.Clone(s.Documents)
	if entries == nil {
		entries = make(map[string]VersionedDocument)
	}
	for _, c := range changes {
		if c.Deleted {
			delete(entries, c.ID())
			continue
		}
		entries[c.ID()] = c.VersionedDocument
	}
	return newSnapshot(revision, entries)
}

// Changes returns the whole snapshot as changes, in the order of document ids.
func (s *Snapshot) Changes() []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(s.Documents)) {
		changes = append(changes, Change{VersionedDocument: s.Documents[id], Revision: s.Revision})
	}
	return changes
}
