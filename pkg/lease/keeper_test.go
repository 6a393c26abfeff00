package lease_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

const domain = "a"

// candidate is a Keeper that runs until stop is called.
type candidate struct {
	*lease.Keeper
	stop func()
}

func start(t *testing.T, store *fake.Table, name string) candidate {
	t.Helper()
	client := store.Client(name)
	k := &lease.Keeper{
		FailureDomain: domain,
		Holder:        name,
		Row:           client.Row,
		Commit:        client.Commit,
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, k.Run(ctx)) })
	return candidate{Keeper: k, stop: func() {
		cancel()
		wg.Wait()
	}}
}

func held(k candidate) bool {
	_, ok := k.Held()
	return ok
}

// Guards against a handover for which candidates wait for the TTL.
func TestHandoverNeedsNoTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		first := start(t, &store, "first")
		time.Sleep(time.Second)
		assert.Assert(t, held(first))
		second := start(t, &store, "second")
		defer second.stop()
		time.Sleep(10 * time.Second)
		assert.Assert(t, held(first) && !held(second))
		first.stop()
		time.Sleep(lease.DefaultPoll + time.Second)
		assert.Assert(t, held(second))
		got, _ := second.Held()
		assert.Equal(t, got.Epoch, int64(2))
	})
}
