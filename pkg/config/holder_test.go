package config_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/config"
)

func routeDoc(name string, deadlineMS int) config.Document {
	body := fmt.Sprintf(`{"kind":"route","name":%q,"deadline_ms":%d}`, name, deadlineMS)
	return config.Document{Kind: config.KindRoute, Name: name, Body: []byte(body)}
}

// history is what the table holds after each revision.
type history struct {
	changes [][]config.Change
	inForce []map[string]config.VersionedDocument
}

func drawHistory(t *rapid.T) history {
	h := history{changes: [][]config.Change{nil}, inForce: []map[string]config.VersionedDocument{{}}}
	newest := rapid.IntRange(1, 12).Draw(t, "revisions")
	for revision := 1; revision <= newest; revision++ {
		next := make(map[string]config.VersionedDocument)
		for id, e := range h.inForce[revision-1] {
			next[id] = e
		}
		var changes []config.Change
		for i := range rapid.IntRange(1, 3).Draw(t, "documents") {
			doc := routeDoc(fmt.Sprintf("r%d", (revision+i)%4), revision)
			c := config.Change{VersionedDocument: config.VersionedDocument{Document: doc, Version: int64(revision)}, Revision: int64(revision)}
			c.Deleted = rapid.Bool().Draw(t, "deleted")
			changes = append(changes, c)
			next[doc.ID()] = c.VersionedDocument
			if c.Deleted {
				delete(next, doc.ID())
			}
		}
		h.changes = append(h.changes, changes)
		h.inForce = append(h.inForce, next)
	}
	return h
}

// drawPage returns a whole page, or changes that may leave out revisions.
func (h history) drawPage(t *rapid.T) config.Update {
	newest := len(h.changes) - 1
	revision := rapid.IntRange(0, newest).Draw(t, "revision")
	page := config.Update{Revision: int64(revision), Full: rapid.Bool().Draw(t, "whole")}
	if page.Full {
		for _, e := range h.inForce[revision] {
			page.Changes = append(page.Changes, config.Change{VersionedDocument: e, Revision: page.Revision})
		}
		return page
	}
	for r := rapid.IntRange(0, revision).Draw(t, "after") + 1; r <= revision; r++ {
		if rapid.IntRange(0, 4).Draw(t, "gap") > 0 {
			page.Changes = append(page.Changes, h.changes[r]...)
		}
	}
	return page
}

// Guards against a revision that goes back or that mixes the documents of two revisions,
// under any order and repetition of pages. rapid prints the seed of a failure.
func TestHolderFollowsAnyPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		last := int64(-1)
		check := func(s *config.Snapshot) {
			assert.Equal(t, len(s.Documents), len(h.inForce[s.Revision]))
			for id, e := range h.inForce[s.Revision] {
				assert.DeepEqual(t, s.Documents[id], e)
			}
			assert.Equal(t, len(s.Routes), len(s.Documents))
		}
		holder := config.Replica{OnApply: func(s *config.Snapshot) {
			assert.Assert(t, s.Revision > last, "revision %d after %d", s.Revision, last)
			last = s.Revision
			check(s)
		}}
		var peer config.Replica
		for range rapid.IntRange(1, 20).Draw(t, "pages") {
			before := holder.Current().Revision
			changed := holder.Apply(h.drawPage(t))
			assert.Assert(t, !changed || last == holder.Current().Revision)
			assert.Assert(t, holder.Current().Revision >= before)
			if rapid.Bool().Draw(t, "peer is told") && holder.Ready() {
				peer.Apply(holder.UpdateSince(peer.Current().Revision))
				assert.Equal(t, peer.Current().Revision, holder.Current().Revision)
				check(peer.Current())
			}
		}
	})
}

// Guards against a diff that leaves out what its holder no longer keeps.
func TestAfterServesWholeSnapshotBeyondItsMemory(t *testing.T) {
	var holder, peer config.Replica
	for r := int64(1); r <= 300; r++ {
		c := config.Change{VersionedDocument: config.VersionedDocument{Document: routeDoc(fmt.Sprint("r", r), 1)}, Revision: r}
		holder.Apply(config.Update{Revision: r, Changes: []config.Change{c}})
	}
	assert.Assert(t, holder.UpdateSince(10).Full)
	assert.Assert(t, !holder.UpdateSince(299).Full)
	peer.Apply(holder.UpdateSince(0))
	assert.Equal(t, len(peer.Current().Routes), 300)
}

// Guards against a starting instance that takes the empty configuration of another starting one.
func TestHolderWithoutRevisionHandsOutNone(t *testing.T) {
	var starting, asked config.Replica
	assert.Assert(t, !starting.Apply(asked.UpdateSince(-1)))
	assert.Assert(t, !starting.Ready())
	asked.Apply(config.Update{Full: true})
	assert.Assert(t, starting.Apply(asked.UpdateSince(-1)), "an empty table is a configuration")
	assert.Assert(t, starting.Ready())
}
