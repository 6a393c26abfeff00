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

// history is the content of the table after each revision.
type history struct {
	changes [][]config.Change
	content []map[string]config.VersionedDocument
}

func drawHistory(t *rapid.T) history {
	h := history{changes: [][]config.Change{nil}, content: []map[string]config.VersionedDocument{{}}}
	newest := rapid.IntRange(1, 12).Draw(t, "revisions")
	for revision := 1; revision <= newest; revision++ {
		next := make(map[string]config.VersionedDocument)
		for id, e := range h.content[revision-1] {
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
		h.content = append(h.content, next)
	}
	return h
}

// drawUpdate returns a full update, or changes that may skip revisions.
func (h history) drawUpdate(t *rapid.T) config.Update {
	newest := len(h.changes) - 1
	revision := rapid.IntRange(0, newest).Draw(t, "revision")
	update := config.Update{Revision: int64(revision), Full: rapid.Bool().Draw(t, "full")}
	if update.Full {
		for _, e := range h.content[revision] {
			update.Changes = append(update.Changes, config.Change{VersionedDocument: e, Revision: update.Revision})
		}
		return update
	}
	for r := rapid.IntRange(0, revision).Draw(t, "after") + 1; r <= revision; r++ {
		if rapid.IntRange(0, 4).Draw(t, "gap") > 0 {
			update.Changes = append(update.Changes, h.changes[r]...)
		}
	}
	return update
}

// Guards against a replica that returns to an older revision or mixes the documents of two
// revisions, when updates arrive reordered, repeated or with gaps. rapid prints the seed of a
// failure.
func TestReplicaAppliesUpdatesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		last := int64(-1)
		check := func(s *config.Snapshot) {
			assert.Equal(t, len(s.Documents), len(h.content[s.Revision]))
			for id, e := range h.content[s.Revision] {
				assert.DeepEqual(t, s.Documents[id], e)
			}
			assert.Equal(t, len(s.Routes), len(s.Documents))
		}
		replica := config.Replica{OnApply: func(s *config.Snapshot) {
			assert.Assert(t, s.Revision > last, "revision %d after %d", s.Revision, last)
			last = s.Revision
			check(s)
		}}
		var peer config.Replica
		for range rapid.IntRange(1, 20).Draw(t, "pages") {
			before := replica.Current().Revision
			changed := replica.Apply(h.drawUpdate(t))
			assert.Assert(t, !changed || last == replica.Current().Revision)
			assert.Assert(t, replica.Current().Revision >= before)
			if rapid.Bool().Draw(t, "peer updates") && replica.Ready() {
				peer.Apply(replica.UpdateSince(peer.Current().Revision))
				assert.Equal(t, peer.Current().Revision, replica.Current().Revision)
				check(peer.Current())
			}
		}
	})
}

// Guards against an incremental update that lacks changes which the replica no longer keeps.
func TestUpdateSinceReturnsFullSnapshot(t *testing.T) {
	var replica, peer config.Replica
	for r := int64(1); r <= 300; r++ {
		c := config.Change{VersionedDocument: config.VersionedDocument{Document: routeDoc(fmt.Sprint("r", r), 1)}, Revision: r}
		replica.Apply(config.Update{Revision: r, Changes: []config.Change{c}})
	}
	assert.Assert(t, replica.UpdateSince(10).Full)
	assert.Assert(t, !replica.UpdateSince(299).Full)
	peer.Apply(replica.UpdateSince(0))
	assert.Equal(t, len(peer.Current().Routes), 300)
}

// Guards against a starting instance that becomes ready with the empty configuration of another
// instance that is not ready itself.
func TestReplicaNotReadyReturnsEmptyUpdate(t *testing.T) {
	var starting, asked config.Replica
	assert.Assert(t, !starting.Apply(asked.UpdateSince(-1)))
	assert.Assert(t, !starting.Ready())
	asked.Apply(config.Update{Full: true})
	assert.Assert(t, starting.Apply(asked.UpdateSince(-1)), "an empty table is a configuration")
	assert.Assert(t, starting.Ready())
}
