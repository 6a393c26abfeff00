package table_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

func put(key string, version int64) table.Write {
	return table.Write{
		Checks: []table.Check{{Key: key, Version: version}},
		Puts:   []table.Put{{Key: key, Value: []byte("v")}},
	}
}

// run runs g until the returned function is called, which waits for the drain.
func run(t *testing.T, g *table.Group) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, g.Run(ctx)) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// doAll carries out the writes at the same time and returns their results in order.
func doAll(ctx context.Context, g *table.Group, writes ...table.Write) []table.Result {
	results := make([]table.Result, len(writes))
	var wg sync.WaitGroup
	for i, w := range writes {
		wg.Go(func() { results[i] = g.Do(ctx, w) })
		synctest.Wait() // keeps the order of the writes
	}
	wg.Wait()
	return results
}

// Guards against one conflicting write that fails the other writes of its transaction.
func TestConflictFailsOnlyItsOwnWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		g := &table.Group{Commit: store.Client("a").Commit}
		defer run(t, g)()
		results := doAll(t.Context(), g, put("a", 0), put("b", 7), put("c", 0))
		assert.Equal(t, results[0].Outcome, table.Committed)
		assert.Equal(t, results[1].Outcome, table.Conflict)
		assert.DeepEqual(t, results[1].Conflicts, []table.Check{{Key: "b"}})
		assert.Equal(t, results[2].Outcome, table.Committed)
		assert.Equal(t, store.Stats().Commits, 2)
	})
}

// Guards against two writes of one key in one transaction, where the second one would win.
func TestWritesOfOneKeyNeverShareATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		g := &table.Group{Commit: store.Client("a").Commit}
		defer run(t, g)()
		results := doAll(t.Context(), g, put("a", 0), put("a", 0))
		assert.Equal(t, results[0].Outcome, table.Committed)
		assert.Equal(t, results[1].Outcome, table.Conflict)
	})
}
