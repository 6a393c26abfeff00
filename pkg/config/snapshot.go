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

// Change is the change of one document in a revision: its new content, or its removal.
type Change struct {
	VersionedDocument
	Revision int64 `json:"revision"`
	Deleted  bool  `json:"deleted,omitempty"`
}

// Snapshot holds the documents of one revision, with those of each kind decoded and by name. It is
// immutable; Documents is keyed by document id.
type Snapshot struct {
	Revision  int64
	Documents map[string]VersionedDocument
	Jobs      map[string]Job
	Routes    map[string]Route
	Limits    map[string]Limits
}

func newSnapshot(revision int64, documents map[string]VersionedDocument) *Snapshot {
	s := &Snapshot{
		Revision:  revision,
		Documents: documents,
		Jobs:      make(map[string]Job),
		Routes:    make(map[string]Route),
		Limits:    make(map[string]Limits),
	}
	for _, d := range documents {
		s.decode(d)
	}
	return s
}

// decode adds the decoded document to the map of its kind. It skips a document that cannot be
// decoded; none is expected, because every document is validated before it is committed.
func (s *Snapshot) decode(d VersionedDocument) {
	switch {
	case IsJobKind(d.Kind):
		var j Job
		if json.Unmarshal(d.Body, &j) == nil {
			s.Jobs[d.Name] = j.WithDefaults()
		}
	case d.Kind == KindRoute:
		var r Route
		if json.Unmarshal(d.Body, &r) == nil {
			s.Routes[d.Name] = r.WithDefaults()
		}
	case d.Kind == KindLimits:
		var l Limits
		if json.Unmarshal(d.Body, &l) == nil {
			s.Limits[d.Name] = l.WithDefaults()
		}
	}
}

// withChanges returns the snapshot that results from the changes of one revision.
func (s *Snapshot) withChanges(revision int64, changes []Change) *Snapshot {
	documents := maps.Clone(s.Documents)
	if documents == nil {
		documents = make(map[string]VersionedDocument)
	}
	for _, c := range changes {
		if c.Deleted {
			delete(documents, c.ID())
			continue
		}
		documents[c.ID()] = c.VersionedDocument
	}
	return newSnapshot(revision, documents)
}

// Changes returns all documents of the snapshot as changes, ordered by document id.
func (s *Snapshot) Changes() []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(s.Documents)) {
		changes = append(changes, Change{VersionedDocument: s.Documents[id], Revision: s.Revision})
	}
	return changes
}
