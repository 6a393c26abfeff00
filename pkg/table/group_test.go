package table_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

func put(key string, version int64) table.Write {
	return table.Write{Checks: []table.Check{{Key: key, Version: version}}, Puts: []table.Put{{Key: key, Value: []byte("v")}}}
}

// inserts returns n writes that each insert a different row.
func inserts(prefix string, n int) []table.Write {
	writes := make([]table.Write, n)
	for i := range writes {
		writes[i] = put(fmt.Sprintf("%s/%d", prefix, i), 0)
	}
	return writes
}

// run starts g. The returned function stops it and waits for the drain.
func run(t *testing.T, g *table.GroupCommitter) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, g.Run(ctx)) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// doAll runs the writes concurrently and returns their results in order.
func doAll(ctx context.Context, g *table.GroupCommitter, writes ...table.Write) []table.Result {
	results := make([]table.Result, len(writes))
	var wg sync.WaitGroup
	for i, w := range writes {
		wg.Go(func() { results[i] = g.Do(ctx, w) })
		synctest.Wait() // queues the writes in order
	}
	wg.Wait()
	return results
}

func count(results []table.Result, outcome table.Outcome) int {
	n := 0
	for _, res := range results {
		if res.Outcome == outcome {
			n++
		}
	}
	return n
}

// Guards against a conflicting write that fails the others, and against two writes of one key in
// the same transaction, where the second one would overwrite the first.
func TestConflictFailsOnlyItsOwnWrite(t *testing.T) {
	const c, x = table.Committed, table.Conflict
	blind := table.Write{Puts: []table.Put{{Key: "a", Value: []byte("v")}}}
	remove := table.Write{Checks: []table.Check{{Key: "a", Version: 1}}, Deletes: []string{"a"}}
	cases := []struct {
		name   string
		writes []table.Write
		want   []table.Outcome
		sent   int
	}{
		{"different keys", []table.Write{put("a", 0), put("b", 0)}, []table.Outcome{c, c}, 1},
		{"wrong version", []table.Write{put("a", 0), put("b", 7), put("c", 0)}, []table.Outcome{c, x, c}, 2},
		{"all wrong", []table.Write{put("a", 3), put("b", 7)}, []table.Outcome{x, x}, 1},
		{"same key", []table.Write{put("a", 0), put("a", 0)}, []table.Outcome{c, x}, 2},
		{"same key without checks", []table.Write{blind, blind}, []table.Outcome{c, c}, 2},
		{"put and delete", []table.Write{put("a", 0), remove, put("a", 0)}, []table.Outcome{c, c, c}, 3},
		{"check of a key that another write changes", []table.Write{put("a", 0), {
			Checks: []table.Check{{Key: "a"}},
			Puts:   []table.Put{{Key: "b", Value: []byte("v")}},
		}}, []table.Outcome{c, x}, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				g := &table.GroupCommitter{Commit: store.Client("a").Commit}
				defer run(t, g)()
				for i, res := range doAll(t.Context(), g, tc.writes...) {
					assert.Equal(t, res.Outcome, tc.want[i], "write %d", i)
				}
				assert.Equal(t, store.Stats().Commits, tc.sent)
			})
		})
	}
}

// Guards against writes of a former owner that are committed after a newer epoch has begun.
func TestFenceConflictFailsAllWrites(t *testing.T) {
	staleEpoch := put("x", 0)
	staleEpoch.Checks = append(staleEpoch.Checks, table.Check{Key: "epoch/a", Version: 9})
	cases := []struct {
		name  string
		fence int64
		write table.Write
		want  table.Outcome
	}{
		{"current fence", 1, put("x", 0), table.Committed},
		{"stale fence", 9, put("x", 0), table.Conflict},
		{"write of an older epoch", 1, staleEpoch, table.Conflict},
		{"fence and write conflict", 9, put("x", 3), table.Conflict},
		{"write of the fence itself", 1, put("epoch/a", 1), table.Refused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				client := store.Client("a")
				epoch := put("epoch/a", 0)
				client.Commit(t.Context(), table.Transaction{Checks: epoch.Checks, Puts: epoch.Puts})
				fence := []table.Check{{Key: "epoch/a", Version: tc.fence}}
				g := &table.GroupCommitter{Commit: client.Commit, Fence: func() []table.Check { return fence }}
				defer run(t, g)()
				results := doAll(t.Context(), g, append(inserts("other", 5), tc.write)...)
				assert.Equal(t, results[5].Outcome, tc.want)
				if tc.fence == 9 {
					assert.Equal(t, count(results, table.Conflict), 6)
					assert.Equal(t, results[0].Conflicts[0].Key, "epoch/a")
					assert.Equal(t, store.Stats().Commits, 2)
				}
				_, exists := store.Get("x")
				assert.Equal(t, exists, tc.want == table.Committed)
			})
		})
	}
}

// Guards against the outcome Refused for a write that was sent, and against a write that takes
// effect after it was refused.
func TestEndOfContext(t *testing.T) {
	cases := []struct {
		name  string
		fault fake.Fault
		rate  float64
		want  table.Outcome
	}{
		{"before the write was sent", fake.Fault{}, 0.01, table.Refused},
		{"while the store works", fake.Fault{RequestDelay: time.Second}, 0, table.Unknown},
		{"while the store does not respond", fake.Fault{ResponseDelay: time.Hour}, 0, table.Unknown},
		{"while the store refuses", fake.Fault{Status: 503}, 0, table.Refused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				client := store.Client("a")
				commit := func(ctx context.Context, tx table.Transaction) table.Result {
					if len(tx.Puts) > 0 && tx.Puts[0].Key == "first" {
						return table.Result{}
					}
					return client.Commit(ctx, tx)
				}
				store.Fault = func(fake.Call) fake.Fault { return tc.fault }
				g := &table.GroupCommitter{Commit: commit, TransactionsPerSecond: tc.rate}
				defer run(t, g)()
				g.Do(t.Context(), put("first", 0)) // empties the token bucket
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				start := time.Now()
				res := g.Do(ctx, put("x", 0))
				assert.Equal(t, time.Since(start), 500*time.Millisecond)
				assert.Equal(t, res.Outcome, tc.want)
				time.Sleep(time.Minute)
				if _, exists := store.Get("x"); tc.want == table.Refused {
					assert.Assert(t, !exists)
				}
			})
		})
	}
}

// Guards against callers that block when the queue is full, and against queued writes that are too
// large for any transaction.
func TestImmediateRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		store.Fault = func(fake.Call) fake.Fault { return fake.Fault{RequestDelay: time.Second} }
		g := &table.GroupCommitter{Commit: store.Client("a").Commit, MaxPending: 10, MaxRows: 8}
		defer run(t, g)()
		results := doAll(t.Context(), g, inserts("x", 12)...)
		assert.Equal(t, count(results, table.Committed), 10)
		assert.ErrorIs(t, results[10].Err, table.ErrFull)
		assert.ErrorIs(t, results[11].Err, table.ErrFull)
		assert.Equal(t, g.Stats().Full, int64(2))
		large := table.Write{Checks: make([]table.Check, 9)}
		assert.ErrorIs(t, g.Do(t.Context(), large).Err, table.ErrTooLarge)
		assert.Equal(t, store.Stats().MaxRows, 8)
	})
}

// Guards against transactions above the write budget under many concurrent writes.
func TestWriteRateIsBounded(t *testing.T) {
	for _, perSecond := range []float64{1.3, 10} {
		synctest.Test(t, func(t *testing.T) {
			var store fake.Table
			g := &table.GroupCommitter{Commit: store.Client("a").Commit, TransactionsPerSecond: perSecond, MaxPending: 1 << 20}
			stop := run(t, g)
			for i := range 1000 {
				go g.Do(context.Background(), put(fmt.Sprint(i), 0))
				time.Sleep(10 * time.Millisecond)
			}
			commits := store.Stats().Commits
			assert.Assert(t, commits <= int(perSecond*10)+1, "%d transactions", commits)
			stop()
			assert.Equal(t, store.Stats().Applied, store.Stats().Commits)
			assert.Equal(t, g.Stats().CommittedWrites, int64(1000))
		})
	}
}

// Guards against writes that are queued before the shutdown and never sent.
func TestDrain(t *testing.T) {
	cases := []struct {
		name  string
		fault fake.Fault
		want  table.Outcome
	}{
		{"store works", fake.Fault{RequestDelay: time.Second}, table.Committed},
		{"store refuses", fake.Fault{Status: 503}, table.Refused},
		{"store does not respond", fake.Fault{RequestDelay: time.Hour}, table.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				store.Fault = func(fake.Call) fake.Fault { return tc.fault }
				g := &table.GroupCommitter{Commit: store.Client("a").Commit, Window: time.Hour, OutageTimeout: time.Hour}
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(time.Second, cancel)
				go func() { _ = g.Run(ctx) }()
				results := doAll(t.Context(), g, inserts("x", 3)...)
				assert.Equal(t, count(results, tc.want), 3)
				late := g.Do(t.Context(), put("late", 0))
				assert.ErrorIs(t, late.Err, table.ErrClosed)
			})
		})
	}
}

// Guards against an invalid write that fails or blocks the others of its transaction.
func TestInvalidWriteFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		client := store.Client("a")
		commit := func(ctx context.Context, tx table.Transaction) table.Result {
			for _, p := range tx.Puts {
				if p.Key == "bad" {
					return table.Result{Outcome: table.Refused, Err: table.ErrInvalid}
				}
			}
			return client.Commit(ctx, tx)
		}
		g := &table.GroupCommitter{Commit: commit}
		defer run(t, g)()
		results := doAll(t.Context(), g, put("a", 0), put("bad", 0), put("b", 0))
		assert.Equal(t, results[0].Outcome, table.Committed)
		assert.ErrorIs(t, results[1].Err, table.ErrInvalid)
		assert.Equal(t, results[2].Outcome, table.Committed)
	})
}

// Guards against a thundering herd of instances when the store recovers, and against writes that
// block during an outage.
func TestOutageAndRecovery(t *testing.T) {
	for _, fault := range []fake.Fault{{Status: 503}, {DropRequest: true}, {RequestDelay: time.Hour}} {
		t.Run(fmt.Sprintf("%+v", fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { outage(t, fault) })
		})
	}
}

func outage(t *testing.T, fault fake.Fault) {
	const instances, outageDuration = 54, time.Minute
	rate := 1.3
	var store fake.Table
	var writeCalls atomic.Int64
	countWrite := func(call fake.Call) {
		if call.IsWrite() {
			writeCalls.Add(1)
		}
	}
	store.Fault = func(call fake.Call) fake.Fault {
		countWrite(call)
		return fault
	}
	groups := make([]*table.GroupCommitter, instances)
	var wg sync.WaitGroup
	end := time.Now().Add(outageDuration + 30*time.Second)
	outcomes := map[table.Outcome]int{}
	longestRefusal := time.Duration(0)
	var mu sync.Mutex
	for i := range groups {
		g := &table.GroupCommitter{Commit: store.Client(fmt.Sprint(i)).Commit, TransactionsPerSecond: rate}
		groups[i] = g
		defer run(t, g)()
		// Ten writers per instance, each with one write at a time.
		for w := range 10 {
			wg.Go(func() {
				time.Sleep(time.Duration(w) * 100 * time.Millisecond)
				for n := 0; time.Now().Before(end); n++ {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					began := time.Now()
					res := g.Do(ctx, put(fmt.Sprintf("%d/%d/%d", i, w, n), 0))
					cancel()
					mu.Lock()
					outcomes[res.Outcome]++
					if res.Outcome == table.Refused {
						longestRefusal = max(longestRefusal, time.Since(began))
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(outageDuration)
	sentDuringOutage := writeCalls.Load()
	store.SetFault(func(call fake.Call) fake.Fault {
		countWrite(call)
		return fake.Fault{RequestDelay: 5 * time.Millisecond}
	})
	mu.Lock()
	assert.Equal(t, outcomes[table.Committed], 0)
	mu.Unlock()
	var sentPerSecond []int64
	for range 10 {
		before := writeCalls.Load()
		time.Sleep(time.Second)
		sentPerSecond = append(sentPerSecond, writeCalls.Load()-before)
	}
	wg.Wait()
	t.Logf("transactions sent in %v of outage: %d; in each second after it: %v; outcomes %v, refused after at most %v",
		outageDuration, sentDuringOutage, sentPerSecond, outcomes, longestRefusal)
	for _, n := range sentPerSecond {
		assert.Assert(t, n <= int64(instances*rate)+instances, "%d transactions in one second", n)
	}
	// With full jitter up to 5 s the mean pause between two probes is 2.5 s.
	assert.Assert(t, sentDuringOutage <= instances*int64(outageDuration/(1500*time.Millisecond)), "%d probes", sentDuringOutage)
	assert.Assert(t, outcomes[table.Committed] > 0 && outcomes[table.Refused] > 0)
	assert.Assert(t, longestRefusal <= table.DefaultTimeout+table.DefaultOutageTimeout, "refused after %v", longestRefusal)
}

// Guards against a full transaction as the first call to a store that was down: a single write has
// to be sent as a probe first.
func TestProbeBeforeQueuedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		client := store.Client("a")
		var sizes []int
		commit := func(ctx context.Context, tx table.Transaction) table.Result {
			sizes = append(sizes, len(tx.Puts))
			if len(sizes) <= 3 {
				return table.Result{Outcome: table.Refused}
			}
			return client.Commit(ctx, tx)
		}
		g := &table.GroupCommitter{Commit: commit, OutageTimeout: time.Minute}
		defer run(t, g)()
		results := doAll(t.Context(), g, inserts("x", 20)...)
		assert.Equal(t, count(results, table.Committed), 20)
		assert.DeepEqual(t, sizes, []int{20, 1, 1, 1, 19})
		assert.Equal(t, g.Stats().Probes, int64(3))
	})
}

// Guards against a reported outcome that differs from the effect under random faults. Each write
// inserts a row of its own, so the table shows which writes took effect.
func TestOutcomesMatchEffectsUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { outcomes(t, seed) })
	}
}

func outcomes(t *testing.T, seed uint64) {
	t.Helper()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	store := fake.Table{Fault: fake.Random(seed, 20*time.Millisecond)}
	g := &table.GroupCommitter{Commit: store.Client("a").Commit, MaxRows: 16}
	stop := run(t, g)
	const writes = 300
	results := make([]table.Result, writes)
	var wg sync.WaitGroup
	for i := range results {
		sharedKey := fmt.Sprintf("shared/%d", rng.IntN(5))
		timeout := time.Duration(rng.IntN(20000)) * time.Millisecond
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			row, _ := store.Get(sharedKey)
			w := put(sharedKey, row.Version)
			w.Checks = append(w.Checks, table.Check{Key: fmt.Sprint(i)})
			w.Puts = append(w.Puts, table.Put{Key: fmt.Sprint(i), Value: []byte("v")})
			results[i] = g.Do(ctx, w)
		})
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
	wg.Wait()
	store.SetFault(nil)
	stop()
	time.Sleep(time.Minute)
	for i, res := range results {
		row, exists := store.Get(fmt.Sprint(i))
		switch res.Outcome {
		case table.Committed:
			assert.Assert(t, exists && row.Version == res.Version, "seed %d: write %d is lost", seed, i)
		case table.Conflict, table.Refused:
			assert.Assert(t, !exists, "seed %d: write %d was %s but took effect", seed, i, res.Outcome)
		}
	}
	assert.Assert(t, count(results, table.Committed) > 0)
}
