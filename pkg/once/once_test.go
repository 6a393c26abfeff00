package once_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// start returns the register of an instance and a function that ends it.
func start(t *testing.T, store *fake.Table, name string) (*once.Register, func()) {
	t.Helper()
	client := store.Client(name)
	g := &table.Group{Commit: client.Commit}
	r := &once.Register{
		Do:           g.Do,
		Row:          client.Row,
		Rows:         client.Rows,
		PutObject:    client.PutObject,
		Object:       client.Object,
		DeleteObject: client.DeleteObject,
		Holder:       name,
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, g.Run(ctx)) })
	return r, func() {
		r.Drain(ctx)
		cancel()
		wg.Wait()
	}
}

// Guards against a second run of a key on the same or on another instance.
func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	for _, size := range []int{3, once.InlineBytes + 1} {
		synctest.Test(t, func(t *testing.T) {
			var store fake.Table
			a, stopA := start(t, &store, "a")
			defer stopA()
			b, stopB := start(t, &store, "b")
			defer stopB()
			ctx := t.Context()
			claim, verdict := a.Claim(ctx, "user", "../key", 1)
			assert.Equal(t, verdict, once.Run)
			_, verdict = b.Claim(ctx, "user", "../key", 1)
			assert.Equal(t, verdict, once.MayHaveRun)
			waiter, verdict := a.Claim(ctx, "user", "../key", 1)
			assert.Equal(t, verdict, once.InProgress)
			want := once.Answer{Status: 200, Body: make([]byte, size), ContentType: "text/plain"}
			a.Finish(ctx, claim, want)
			got, ok := waiter.Wait(ctx)
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, want)
			for _, r := range []*once.Register{a, b} {
				repeat, verdict := r.Claim(ctx, "user", "../key", 1)
				assert.Equal(t, verdict, once.Replay)
				assert.DeepEqual(t, repeat.Answer, want)
				_, verdict = r.Claim(ctx, "user", "../key", 2)
				assert.Equal(t, verdict, once.Mismatch)
			}
		})
	}
}
