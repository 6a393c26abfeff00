package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

const domain = "a"

// candidate is an Elector that runs until stop is called. From pause to resume its calls to the
// store neither start nor return, even if their context ends.
type candidate struct {
	*lease.Elector
	pauseGate atomic.Pointer[chan struct{}]
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

func newCandidate(store *fake.Table, name string) *candidate {
	client := store.Client(name)
	c := &candidate{}
	c.Elector = &lease.Elector{FailureDomain: domain, Holder: name, Address: name + ":1"}
	c.ReadRow = func(ctx context.Context, key string) (table.Row, bool, error) {
		ctx = c.waitWhilePaused(ctx)
		defer c.waitWhilePaused(ctx)
		return client.ReadRow(ctx, key)
	}
	c.Commit = func(ctx context.Context, tx table.Transaction) table.Result {
		ctx = c.waitWhilePaused(ctx)
		defer c.waitWhilePaused(ctx)
		return client.Commit(ctx, tx)
	}
	return c
}

// waitWhilePaused waits for the end of a pause. It then returns a context without the deadline that
// has passed meanwhile, as if the process had been paused just before it made the call.
func (c *candidate) waitWhilePaused(ctx context.Context) context.Context {
	gate := c.pauseGate.Load()
	if gate == nil {
		return ctx
	}
	<-*gate
	return context.WithoutCancel(ctx)
}

func (c *candidate) pause() {
	gate := make(chan struct{})
	c.pauseGate.Store(&gate)
}

func (c *candidate) resume() {
	close(*c.pauseGate.Swap(nil))
}

func (c *candidate) start(t *testing.T) *candidate {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c.cancel = cancel
	c.wg.Go(func() { assert.Check(t, c.Run(ctx)) })
	return c
}

func (c *candidate) stop() {
	c.cancel()
	c.wg.Wait()
}

func (c *candidate) holds() bool {
	_, ok := c.Held()
	return ok
}

func start(t *testing.T, store *fake.Table, name string) *candidate {
	t.Helper()
	return newCandidate(store, name).start(t)
}

// Candidates must not wait for the TTL after a handover.
func TestHandoverDoesNotWaitForTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		first := start(t, &store, "first")
		time.Sleep(time.Second)
		assert.Assert(t, first.holds())
		second := start(t, &store, "second")
		defer second.stop()
		time.Sleep(10 * time.Second)
		assert.Assert(t, first.holds() && !second.holds())
		assert.Equal(t, second.Observed().Address, "first:1")
		first.stop()
		assert.Equal(t, first.Stats.Losses.Load(), int64(1))
		time.Sleep(lease.DefaultPollInterval + time.Second)
		got, held := second.Held()
		assert.Assert(t, held)
		assert.Equal(t, got.Epoch, int64(2))
		epoch, _ := store.Get(lease.EpochKey(domain))
		assert.Equal(t, got.EpochVersion, epoch.Version)
	})
}

// A lost response to a write must not cause the lease to be lost or acquired twice, and EpochVersion
// must match the epoch row afterwards.
func TestLostResponsesKeepLease(t *testing.T) {
	cases := []struct {
		name  string
		fault fake.Fault
	}{
		{"response lost", fake.Fault{DropResponse: true}},
		{"response delayed", fake.Fault{ResponseDelay: 5 * time.Second}},
		{"request lost", fake.Fault{DropRequest: true}},
		{"request delayed", fake.Fault{LateEffect: 1900 * time.Millisecond}},
		{"refused", fake.Fault{Status: 503}},
		{"gateway timeout", fake.Fault{Status: 504}},
	}
	for _, tc := range cases {
		for _, every := range []int64{1, 2, 3} {
			t.Run(fmt.Sprintf("%s, on write 1 and every %d writes", tc.name, every), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var store fake.Table
					var writes atomic.Int64
					store.Fault = func(call fake.Call) fake.Fault {
						if !call.IsWrite() || call.Caller != "holder" {
							return fake.Fault{}
						}
						n := writes.Add(1)
						// If every write is to fail, only the first three do, so that the holder can
						// renew its lease in time.
						if n%every == 0 && (every > 1 || n < 4) || n == 1 {
							return tc.fault
						}
						return fake.Fault{}
					}
					holder := start(t, &store, "holder")
					defer holder.stop()
					time.Sleep(10 * time.Second)
					assert.Assert(t, holder.holds())
					other := start(t, &store, "other")
					defer other.stop()
					time.Sleep(2 * time.Minute)
					got, held := holder.Held()
					assert.Assert(t, held && !other.holds())
					assert.Equal(t, holder.Stats.Gains.Load(), int64(1))
					epoch, _ := store.Get(lease.EpochKey(domain))
					assert.Equal(t, got.EpochVersion, epoch.Version)
					confirmedAt, ok := holder.ConfirmedAt()
					assert.Assert(t, ok && time.Since(confirmedAt) < lease.DefaultTTL)
				})
			})
		}
	}
}

// When several candidates read the same row and commit at the same time, only one may become the
// holder.
func TestConcurrentAcquisitionsElectOneHolder(t *testing.T) {
	for _, fault := range []fake.Fault{{}, {DropResponse: true}, {ResponseDelay: time.Hour}, {LateEffect: time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			const candidates = 3
			store := fake.Table{Fault: fake.Sequence(true, fault, fault, fault, fake.Fault{})}
			var ready atomic.Int64
			all := make([]*candidate, candidates)
			gains := int64(0)
			for i := range all {
				c := newCandidate(&store, fmt.Sprint("entry-", i))
				inner := c.Commit
				c.Commit = func(ctx context.Context, tx table.Transaction) table.Result {
					for ready.Add(1); ready.Load() < candidates; {
						time.Sleep(time.Millisecond)
					}
					return inner(context.WithoutCancel(ctx), tx)
				}
				all[i] = c
				defer c.start(t).stop()
			}
			time.Sleep(15 * time.Second)
			holders := 0
			for _, c := range all {
				gains += c.Stats.Gains.Load()
				if got, held := c.Held(); held {
					holders++
					assert.Equal(t, got.Epoch, int64(1))
				}
			}
			assert.Equal(t, holders, 1)
			assert.Equal(t, gains, int64(1))
		})
	}
}

// A holder that was paused for longer than its lease must step down and must not report a time of
// confirmed ownership after the takeover.
func TestPausedHolderStepsDown(t *testing.T) {
	for _, offset := range []time.Duration{0, 400 * time.Millisecond, 1499 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			var store fake.Table
			store.Fault = func(fake.Call) fake.Fault {
				return fake.Fault{RequestDelay: 300 * time.Millisecond, ResponseDelay: 300 * time.Millisecond}
			}
			holder := newCandidate(&store, "holder")
			var losses []lease.Lease
			holder.OnLost = func(l lease.Lease) { losses = append(losses, l) }
			holder.start(t)
			time.Sleep(5 * time.Second)
			other := newCandidate(&store, "other")
			var acquiredAt time.Time
			other.OnAcquired = func(lease.Lease) { acquiredAt = time.Now() }
			defer other.start(t).stop()
			time.Sleep(3*time.Second + offset)
			before, _ := holder.Held()
			holder.pause()
			time.Sleep(20 * time.Second)
			assert.Assert(t, other.holds())
			if confirmedAt, ok := holder.ConfirmedAt(); ok {
				assert.Assert(t, confirmedAt.Before(acquiredAt))
			}
			holder.resume()
			time.Sleep(4 * time.Second)
			assert.Assert(t, !holder.holds() && other.holds())
			_, confirmed := holder.ConfirmedAt()
			assert.Assert(t, !confirmed)
			assert.DeepEqual(t, losses, []lease.Lease{before})
			assert.Equal(t, holder.Observed().Holder, "other")
			fenced := store.Client("holder").Commit(t.Context(), table.Transaction{
				Checks: []table.Check{before.FencingCheck()},
				Puts:   []table.Put{{Key: "job/a/x"}},
			})
			assert.Equal(t, fenced.Outcome, table.Conflict)
			holder.stop()
			assert.Assert(t, other.holds())
		})
	}
}

// An instance can stop before it receives the response to its acquisition. It must hand over the
// lease if the acquisition was committed, and must not clear the row of another holder.
func TestStopDuringAcquisition(t *testing.T) {
	cases := []struct {
		name                string
		committed, readable bool // whether the acquisition took effect, and whether reads work afterwards
		want                string
	}{
		{"took effect", true, true, `{"holder":"",`},
		{"took no effect", false, true, `{"holder":"old",`},
		{"took no effect, store down", false, false, `{"holder":"old",`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				old := table.Put{Key: lease.OwnerKey(domain), Value: []byte(`{"holder":"old","epoch":3}`)}
				store.Client("old").Commit(t.Context(), table.Transaction{Puts: []table.Put{old}})
				c := newCandidate(&store, "new")
				inner := c.Commit
				c.Commit = func(ctx context.Context, tx table.Transaction) table.Result {
					if len(tx.Puts) == 2 {
						if tc.committed {
							inner(ctx, tx)
						}
						store.SetFault(func(call fake.Call) fake.Fault { return fake.Fault{DropRequest: !tc.readable && !call.IsWrite()} })
						c.cancel()
						return table.Result{Outcome: table.Unknown}
					}
					return inner(ctx, tx)
				}
				c.start(t).wg.Wait()
				row, _ := store.Get(lease.OwnerKey(domain))
				assert.Equal(t, string(row.Value)[:len(tc.want)], tc.want)
			})
		})
	}
}

// A candidate that lost contact with the store itself must not take over from a live holder: while
// the candidate could not read the row, the holder may have been unable to write it.
func TestLostContactRestartsObservation(t *testing.T) {
	const cut = 8 * time.Second
	cases := []struct {
		name      string
		paused    bool
		dropsRead func(cutFor time.Duration) bool
	}{
		{"candidate without a read", false, func(cutFor time.Duration) bool { return cutFor < cut }},
		{"candidate paused", true, func(time.Duration) bool { return false }},
		{"single reads fail", false, func(cutFor time.Duration) bool { return cutFor%(4*time.Second) < time.Second }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				holder := start(t, &store, "holder")
				defer holder.stop()
				time.Sleep(time.Second)
				other := start(t, &store, "other")
				defer other.stop()
				time.Sleep(10 * time.Second)
				// The holder regains contact 3 s after the candidate.
				began := time.Now()
				store.SetFault(func(call fake.Call) fake.Fault {
					cutFor := time.Since(began)
					drop := call.Caller == "holder" || tc.dropsRead(cutFor)
					return fake.Fault{DropRequest: drop && cutFor < cut+3*time.Second}
				})
				if tc.paused {
					// The candidate has read the holder's last renewal by then.
					time.AfterFunc(2*time.Second, other.pause)
					time.AfterFunc(cut, other.resume)
				}
				time.Sleep(cut + 13*time.Second)
				assert.Assert(t, holder.holds() && !other.holds())
				assert.Assert(t, other.Stats.Gaps.Load() > 0)
			})
		})
	}
}

// After a store outage many candidates must not all write at once, and a live holder must keep its
// lease.
func TestOutageWithManyCandidates(t *testing.T) {
	const candidates = 50
	cases := []struct {
		holderAlive bool
		outage      time.Duration
	}{{true, 30 * time.Second}, {true, time.Hour}, {false, 30 * time.Second}}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%+v", tc), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				var writes atomic.Int64
				var down atomic.Bool
				store.Fault = func(call fake.Call) fake.Fault {
					if call.IsWrite() {
						writes.Add(1)
					}
					if down.Load() || call.Caller == "holder" && !tc.holderAlive && writes.Load() > 1 {
						return fake.Fault{RequestDelay: 10 * time.Millisecond, Status: 503}
					}
					return fake.Fault{RequestDelay: 5 * time.Millisecond}
				}
				holder := start(t, &store, "holder")
				defer holder.stop()
				time.Sleep(time.Second)
				var all []*candidate
				for i := range candidates {
					c := start(t, &store, fmt.Sprintf("entry-%d", i))
					defer c.stop()
					all = append(all, c)
				}
				time.Sleep(time.Second)
				down.Store(true)
				time.Sleep(tc.outage)
				before := writes.Load()
				assert.Equal(t, holder.holds(), true)
				down.Store(false)
				time.Sleep(10 * time.Second)
				sent := writes.Load() - before
				gained := 0
				for _, c := range all {
					gained += int(c.Stats.Gains.Load())
				}
				t.Logf("writes in the first 10 s after the outage: %d; takeovers: %d", sent, gained)
				assert.Equal(t, gained == 0, tc.holderAlive)
				assert.Assert(t, gained <= 1 && sent <= 30, "%d takeovers, %d writes", gained, sent)
			})
		})
	}
}

// A takeover must complete within 10 s of the holder's end, or within 3 s after a handover, and must
// not happen before the lease has expired.
func TestTakeoverTime(t *testing.T) {
	const runs = 100
	for _, handover := range []bool{false, true} {
		var times []time.Duration
		for seed := range uint64(runs) {
			synctest.Test(t, func(t *testing.T) { times = append(times, takeover(t, seed, handover)) })
		}
		slices.Sort(times)
		t.Logf("handover %v, seeds 0 to %d: min %v, median %v, p99 %v, max %v", handover, runs-1,
			times[0], times[runs/2], times[runs*99/100-1], times[runs-1])
		if handover {
			assert.Assert(t, times[runs-1] < 3*time.Second)
			continue
		}
		assert.Assert(t, times[runs-1] < 10*time.Second)
		assert.Assert(t, times[0] > lease.DefaultTTL+lease.DefaultTakeoverMargin-lease.DefaultRenewInterval)
	}
}

// takeover returns the time from the crash or handover of the holder to the next acquisition.
func takeover(t *testing.T, seed uint64, handover bool) time.Duration {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	var store fake.Table
	var dead atomic.Bool
	delays := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	store.Fault = func(call fake.Call) fake.Fault {
		mu.Lock()
		defer mu.Unlock()
		delay := time.Duration(delays.IntN(int(20 * time.Millisecond)))
		return fake.Fault{RequestDelay: delay, ResponseDelay: delay, DropRequest: dead.Load() && call.Caller == "holder"}
	}
	holder := start(t, &store, "holder")
	defer holder.stop()
	time.Sleep(2 * time.Second)
	assert.Assert(t, holder.holds(), "seed %d", seed)
	gained := make(chan time.Time, 10)
	for i := range 2 + rng.IntN(8) {
		time.Sleep(time.Duration(rng.IntN(int(time.Second))))
		c := newCandidate(&store, fmt.Sprintf("entry-%d-%d", seed, i))
		c.OnAcquired = func(lease.Lease) { gained <- time.Now() }
		defer c.start(t).stop()
	}
	time.Sleep(time.Duration(rng.IntN(int(5 * time.Second))))
	ended := time.Now()
	if handover {
		holder.cancel()
	} else {
		dead.Store(true)
	}
	return (<-gained).Sub(ended)
}
