package once_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// startInstance returns the Deduplicator of a new instance, which is stopped at the end of the test.
func startInstance(t *testing.T, store *fake.Table, name string) *once.Deduplicator {
	t.Helper()
	client := store.Client(name)
	g := &table.GroupCommitter{Commit: client.Commit}
	r := &once.Deduplicator{
		Instance: name, Commit: g.Do, ReadRow: client.ReadRow, ReadRows: client.ReadRows,
		PutObject: client.PutObject, GetObject: client.GetObject, DeleteObject: client.DeleteObject,
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, g.Run(ctx)) })
	t.Cleanup(func() {
		r.Drain(ctx)
		cancel()
		wg.Wait()
	})
	return r
}

func startTwoInstances(t *testing.T, store *fake.Table) (*once.Deduplicator, *once.Deduplicator) {
	t.Helper()
	return startInstance(t, store, "a"), startInstance(t, store, "b")
}

// unavailable makes the store refuse every call.
func unavailable(fake.Call) fake.Fault {
	return fake.Fault{Status: 503}
}

func claimResult(ctx context.Context, r *once.Deduplicator, key string, hash uint64) once.ClaimResult {
	_, v := r.Claim(ctx, "user", key, hash)
	return v
}

// Guards against a second run of a request on the same or on another instance, and against a
// replayed response that differs from the original one.
func TestRepeatGetsStoredResponse(t *testing.T) {
	for _, size := range []int{0, 3, once.MaxInlineBytes, once.MaxInlineBytes + 1, 64 << 10} {
		synctest.Test(t, func(t *testing.T) {
			var store fake.Table
			a, b := startTwoInstances(t, &store)
			ctx := t.Context()
			const key = "../key"
			claim, v := a.Claim(ctx, "user", key, 1)
			assert.Equal(t, v, once.Run)
			assert.Equal(t, claimResult(ctx, b, key, 1), once.MayHaveRun)
			assert.Equal(t, claimResult(ctx, b, key, 2), once.Mismatch)
			waiter, v := a.Claim(ctx, "user", key, 1)
			assert.Equal(t, v, once.InProgress)
			want := once.Response{Status: 200, Body: []byte(strings.Repeat("x", size)), ContentType: "text/plain"}
			a.Finish(ctx, claim, want)
			got, ok := waiter.Wait(ctx)
			assert.Assert(t, ok)
			assert.Equal(t, string(got.Body), string(want.Body))
			assert.Equal(t, got.ContentType, want.ContentType)
			for _, r := range []*once.Deduplicator{a, b} {
				repeat, v := r.Claim(ctx, "user", key, 1)
				assert.Equal(t, v, once.Replay)
				assert.Equal(t, string(repeat.Response.Body), string(want.Body))
				assert.Equal(t, repeat.Response.Status, 200)
				assert.Equal(t, claimResult(ctx, r, key, 2), once.Mismatch)
			}
			a.Release(ctx, claim)
			assert.Equal(t, claimResult(ctx, b, key, 1), once.Replay)
			store.SetFault(unavailable)
			assert.Equal(t, claimResult(ctx, a, key, 1), once.Replay, "cached in memory")
		})
	}
}

// Guards against different pairs of user and key that share a row.
func TestNamesDoNotCollide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		r := startInstance(t, &store, "a")
		pairs := [][2]string{{"a/b", "c"}, {"a", "b/c"}, {"a", "b%2Fc"}, {"a", ".."}, {"a", "%2E%2E"}, {"a", ""}, {"", "a"}}
		for _, p := range pairs {
			_, v := r.Claim(t.Context(), p[0], p[1], 1)
			assert.Equal(t, v, once.Run, "%q", p)
		}
	})
}

// Guards against the result Run for a claim whose commit is not known to have taken effect, and
// against a key that stays claimed after its request was refused.
func TestClaimUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []fake.Fault // of the writes in order; the last one applies to all later writes
		want   once.ClaimResult
		after  once.ClaimResult // of a claim on another instance after the store has recovered
	}{
		{"response lost", []fake.Fault{{DropResponse: true}, {}}, once.Run, once.MayHaveRun},
		{"request lost", []fake.Fault{{DropRequest: true}, {}}, once.Run, once.MayHaveRun},
		{"late effect", []fake.Fault{{LateEffect: time.Second}, {}}, once.Run, once.MayHaveRun},
		{"store refuses", []fake.Fault{{Status: 503}}, once.Unavailable, once.Run},
		{"store refuses twice", []fake.Fault{{Status: 503}, {Status: 429}, {}}, once.Run, once.MayHaveRun},
		{"no response, no effect", []fake.Fault{{RequestDelay: time.Hour}}, once.Unavailable, once.Run},
		{"no response, late effect", []fake.Fault{{LateEffect: 9 * time.Second}, {DropRequest: true}}, once.Unavailable, once.Run},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := fake.Table{Fault: fake.Sequence(true, tc.faults...)}
				a, b := startTwoInstances(t, &store)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				assert.Equal(t, claimResult(ctx, a, "k", 1), tc.want)
				time.Sleep(6 * time.Second)
				store.SetFault(nil)
				time.Sleep(30 * time.Second)
				assert.Equal(t, claimResult(t.Context(), b, "k", 1), tc.after)
			})
		})
	}
}

// Guards against a released key that stays claimed, or can be claimed while its row still exists.
func TestRelease(t *testing.T) {
	for _, outage := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var store fake.Table
			a, b := startTwoInstances(t, &store)
			ctx := t.Context()
			claim, v := a.Claim(ctx, "user", "k", 1)
			assert.Equal(t, v, once.Run)
			waiter, v := a.Claim(ctx, "user", "k", 1)
			assert.Equal(t, v, once.InProgress)
			if outage {
				store.SetFault(fake.Sequence(true, fake.Fault{Status: 503}))
			}
			a.Release(ctx, claim)
			_, ok := waiter.Wait(ctx)
			assert.Assert(t, !ok)
			if outage {
				assert.Equal(t, claimResult(ctx, a, "k", 1), once.MayHaveRun)
				time.Sleep(time.Hour)
				assert.Equal(t, claimResult(ctx, a, "k", 1), once.MayHaveRun)
				store.SetFault(nil)
				time.Sleep(10 * time.Second)
			}
			again, v := b.Claim(ctx, "user", "k", 1)
			assert.Equal(t, v, once.Run)
			b.Abandon(again)
			assert.Equal(t, claimResult(ctx, b, "k", 1), once.MayHaveRun)
			assert.Equal(t, claimResult(ctx, a, "k", 1), once.MayHaveRun)
		})
	}
}

// Guards against responses that are lost in an outage of one hour, and against one transaction per
// response when the store recovers.
func TestResponsesSurviveOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		a, b := startTwoInstances(t, &store)
		ctx := t.Context()
		const requests = 500
		claims := make([]once.Claim, requests)
		var wg sync.WaitGroup
		for i := range claims {
			wg.Go(func() { claims[i], _ = a.Claim(ctx, "user", fmt.Sprint(i), 1) })
		}
		wg.Wait()
		store.SetFault(unavailable)
		for i, claim := range claims {
			wg.Go(func() { a.Finish(ctx, claim, once.Response{Status: 200 + i}) })
		}
		wg.Wait()
		assert.Equal(t, claimResult(ctx, a, "new", 1), once.Unavailable)
		time.Sleep(time.Hour)
		assert.Equal(t, claimResult(ctx, a, "7", 1), once.Replay)
		store.SetFault(nil)
		before := store.Stats().Commits
		time.Sleep(20 * time.Second)
		commits := store.Stats().Commits - before
		t.Logf("transactions for %d responses after the outage: %d", requests, commits)
		assert.Assert(t, commits < 40)
		for i := range requests {
			repeat, v := b.Claim(ctx, "user", fmt.Sprint(i), 1)
			assert.Equal(t, v, once.Replay)
			assert.Equal(t, repeat.Response.Status, 200+i)
		}
	})
}

// Guards against memory that grows with the number of responses or row changes.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		a := startInstance(t, &store, "a")
		a.MaxCachedResponses, a.MaxCachedBytes, a.MaxBacklog = 10, 100, 3
		ctx := t.Context()
		finish := func(i int, body string) {
			claim, v := a.Claim(ctx, "user", fmt.Sprint(i), 1)
			assert.Equal(t, v, once.Run)
			a.Finish(ctx, claim, once.Response{Status: 200, Body: []byte(body)})
		}
		for i := range 12 {
			finish(i, "x")
		}
		finish(12, strings.Repeat("x", 95))
		store.SetFault(unavailable)
		assert.Equal(t, claimResult(ctx, a, "1", 1), once.Unavailable, "evicted by number")
		assert.Equal(t, claimResult(ctx, a, "6", 1), once.Unavailable, "evicted by size")
		assert.Equal(t, claimResult(ctx, a, "12", 1), once.Replay)

		store.SetFault(nil)
		time.Sleep(table.MaxBackoff)
		var claims []once.Claim
		for i := range 5 {
			claim, _ := a.Claim(ctx, "other", fmt.Sprint(i), 1)
			claims = append(claims, claim)
		}
		store.SetFault(unavailable)
		for _, claim := range claims {
			a.Release(ctx, claim)
		}
		assert.Equal(t, a.Stats.Dropped.Load(), int64(2))
		store.SetFault(nil)
	})
}

// Guards against rows that are never deleted, rows that are deleted too early, and a sweep that
// exhausts the write budget.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		r := startInstance(t, &store, "a")
		ctx := t.Context()
		const old = 200
		claims := make([]once.Claim, old)
		var wg sync.WaitGroup
		for i := range claims {
			wg.Go(func() { claims[i], _ = r.Claim(ctx, "user", fmt.Sprint("old", i), 1) })
		}
		wg.Wait()
		r.Finish(ctx, claims[0], once.Response{Status: 200, Body: make([]byte, once.MaxInlineBytes+1)})
		assert.Equal(t, store.ObjectCount(), 1)
		time.Sleep(once.Retention - time.Minute)
		deleted, err := r.Sweep(ctx, time.Now())
		assert.NilError(t, err)
		assert.Equal(t, deleted, 0)
		assert.Equal(t, claimResult(ctx, r, "new", 1), once.Run)
		time.Sleep(2 * time.Minute)
		before, start := store.Stats().Commits, time.Now()
		deleted, err = r.Sweep(ctx, time.Now())
		assert.NilError(t, err)
		assert.Equal(t, deleted, old)
		assert.Equal(t, store.ObjectCount(), 0)
		commits := store.Stats().Commits - before
		seconds := time.Since(start).Seconds()
		t.Logf("%d rows in %d transactions and %.1f s", deleted, commits, seconds)
		assert.Assert(t, float64(commits) <= 2*seconds+1)
		_, exists := store.Get("once/user/new")
		assert.Assert(t, exists)

		// A response that is written after the sweep must not overwrite a later claim of the key.
		b, c := startTwoInstances(t, &store)
		assert.Equal(t, claimResult(ctx, b, "old1", 1), once.Run)
		r.Finish(ctx, claims[1], once.Response{Status: 200})
		assert.Equal(t, claimResult(ctx, c, "old1", 1), once.MayHaveRun)
	})
}
