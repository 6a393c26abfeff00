package config_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// publisherOf returns a publisher with a table client of the given name.
func publisherOf(store *fake.Table, name string) *config.Publisher {
	client := store.Client(name)
	return &config.Publisher{ReadRow: client.ReadRow, Commit: client.Commit, Now: time.Now}
}

func publish(t *testing.T, store *fake.Table, author string, base int64, docs ...config.Document) config.PublishResult {
	t.Helper()
	pub := config.Publication{Documents: docs, BaseRevision: base, Author: author}
	return publisherOf(store, author).Publish(t.Context(), pub)
}

func headValue(store *fake.Table) string {
	head, _ := store.Get("conf/head")
	return string(head.Value)
}

// Guards against an invalid publication of which the valid documents are committed.
func TestInvalidPublicationChangesNothing(t *testing.T) {
	many := make([]config.Document, config.MaxPublicationDocuments+1)
	for i := range many {
		many[i] = routeDoc(fmt.Sprint("r", i), 1)
	}
	renamed := routeDoc("a", 1)
	renamed.Name = "b"
	var large []config.Document
	for i := range 8 {
		doc := routeDoc(fmt.Sprint("r", i), 1)
		doc.Body = append(doc.Body, strings.Repeat(" ", config.MaxPublicationBytes/8)...)
		large = append(large, doc)
	}
	cases := []struct {
		name    string
		docs    []config.Document
		removed []string
		want    string
	}{
		{"second document", []config.Document{routeDoc("a", 1), routeDoc("b", 0)}, nil, "deadline_ms"},
		{"name differs from the text", []config.Document{renamed}, nil, "kind, name"},
		{"same name twice", []config.Document{routeDoc("a", 1), routeDoc("a", 2)}, nil, "name"},
		{"too many documents", many, nil, "61 documents"},
		{"too many changes", many[:40], routeIDs(40), "80 documents"},
		{"too many bytes", large, nil, "bytes in sum"},
		{"removal of an unknown kind", []config.Document{routeDoc("a", 1)}, []string{"service/x"}, "service/x"},
		{"removal without a name", []config.Document{routeDoc("a", 1)}, []string{"route/"}, "route/"},
		{"published and removed", []config.Document{routeDoc("a", 1)}, []string{"route/a"}, "route/a"},
		{"removed twice", nil, []string{"route/a", "route/a"}, "route/a"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var store fake.Table
			pub := config.Publication{Documents: tc.docs, Removed: tc.removed, Author: "ann"}
			res := publisherOf(&store, "ann").Publish(t.Context(), pub)
			assert.Equal(t, res.Outcome, config.Invalid)
			assert.Equal(t, len(res.Violations), 1, "%v", res.Violations)
			assert.Assert(t, strings.Contains(res.Violations[0].String(), tc.want), "%s", res.Violations[0])
			assert.Equal(t, store.Stats().Commits, 0)
		})
	}
}

func routeIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("route/x", i))
	}
	return ids
}

// Guards against a change that silently overwrites a change or removal by another operator.
func TestSecondOperatorGetsConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		assert.Equal(t, publish(t, &store, "ann", 0, routeDoc("a", 1)).Revision, int64(1))
		time.Sleep(time.Minute)
		at := time.Now().UnixMilli()
		assert.Equal(t, publish(t, &store, "bob", 1, routeDoc("a", 2)).Revision, int64(2))
		time.Sleep(time.Minute)
		res := publish(t, &store, "cy", 1, routeDoc("b", 1), routeDoc("a", 3))
		assert.Equal(t, res.Outcome, config.Conflicting)
		assert.DeepEqual(t, res.Conflicts, []config.Conflict{{Document: "route/a", ChangedBy: "bob", AtMS: at, Revision: 2}})
		assert.Equal(t, headValue(&store), `{"revision":2}`)
		_, found := store.Get("conf/doc/route/b")
		assert.Assert(t, !found, "a refused publication was committed in part")
		assert.Equal(t, publish(t, &store, "cy", 1, routeDoc("a", 2)).Outcome, config.Unchanged)
		pub := config.Publication{Removed: []string{"route/a"}, BaseRevision: 1, Author: "cy"}
		assert.Equal(t, publisherOf(&store, "cy").Publish(t.Context(), pub).Outcome, config.Conflicting)
		pub.BaseRevision = 2
		assert.Equal(t, publisherOf(&store, "cy").Publish(t.Context(), pub).Outcome, config.Published)
		res = publish(t, &store, "dan", 2, routeDoc("a", 4))
		assert.Equal(t, res.Outcome, config.Conflicting, "a change of a document that was removed since")
		assert.Equal(t, res.Conflicts[0].ChangedBy, "cy")
		assert.Equal(t, res.Conflicts[0].Revision, int64(3))
		assert.Equal(t, publish(t, &store, "dan", 3, routeDoc("a", 4)).Outcome, config.Published)
	})
}

// Guards against concurrent publications of different documents that make each other fail, and
// against two publications of the same document with the same base revision that both succeed.
func TestConcurrentPublications(t *testing.T) {
	for _, same := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const operators = 8
			store := fake.Table{Fault: func(fake.Call) fake.Fault { return fake.Fault{RequestDelay: 5 * time.Millisecond} }}
			var results [operators]config.PublishResult
			var wg sync.WaitGroup
			for i := range operators {
				doc := routeDoc(fmt.Sprint("r", i), i+1)
				if same {
					doc = routeDoc("r", i+1)
				}
				wg.Go(func() { results[i] = publish(t, &store, fmt.Sprint("op", i), 0, doc) })
			}
			wg.Wait()
			outcomes := make(map[config.PublishOutcome]int)
			revisions := make(map[int64]bool)
			for _, res := range results {
				outcomes[res.Outcome]++
				revisions[res.Revision] = true
			}
			want := map[config.PublishOutcome]int{config.Published: operators}
			if same {
				want = map[config.PublishOutcome]int{config.Published: 1, config.Conflicting: operators - 1}
			}
			assert.DeepEqual(t, outcomes, want)
			assert.Assert(t, same || len(revisions) == operators, "two publications share a revision")
		})
	}
}

// Guards against an outcome that does not match whether the table committed the publication, when
// the table loses, delays or refuses requests.
func TestPublishWithTableFaults(t *testing.T) {
	late := fake.Fault{LateEffect: time.Minute}
	cases := []struct {
		name       string
		writesOnly bool
		faults     []fake.Fault // applied in order; the last one remains active
		want       config.PublishOutcome
		committed  bool // after all delayed requests took effect
	}{
		{"answer lost", true, []fake.Fault{{DropResponse: true}, {}}, config.Published, true},
		{"request lost", true, []fake.Fault{{DropRequest: true}, {}}, config.Published, true},
		{"request late, repeat first", true, []fake.Fault{late, {}}, config.Published, true},
		{"refused", true, []fake.Fault{{Status: 503}}, config.Unavailable, false},
		{"no answer, late effect", true, []fake.Fault{late}, config.Unknown, true},
		{"no answer, no effect", true, []fake.Fault{{DropRequest: true}}, config.Unknown, false},
		{"down", false, []fake.Fault{{Status: 503}}, config.Unavailable, false},
		{"unresponsive", false, []fake.Fault{{RequestDelay: time.Hour}}, config.Unavailable, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := fake.Table{Fault: fake.Sequence(tc.writesOnly, tc.faults...)}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				pub := config.Publication{Documents: []config.Document{routeDoc("a", 1)}, Author: "ann"}
				res := publisherOf(&store, "ann").Publish(ctx, pub)
				assert.Equal(t, res.Outcome, tc.want, res.Reason)
				assert.Assert(t, tc.want == config.Published || res.Reason != "")
				time.Sleep(2 * time.Hour)
				assert.Equal(t, headValue(&store) != "", tc.committed)
				assert.Assert(t, store.Stats().Applied <= 1)
			})
		})
	}
}
