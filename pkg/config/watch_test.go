package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// propagationLimit is the maximum propagation time of a publication, by invariant I8.
const propagationLimit = 4 * time.Second

// instance is the replica and watcher of one entry instance.
type instance struct {
	replica config.Replica
	watcher config.Watcher
	// firstRevision is the first revision applied, updatedAt the time of the newest one.
	firstRevision atomic.Int64
	updatedAt     atomic.Int64
}

// startInstance starts an instance whose watcher reaches its peers by the keys of the map. A nil
// peer does not respond.
func startInstance(ctx context.Context, store *fake.Table, name string, peers map[string]*instance) *instance {
	inst := &instance{}
	inst.firstRevision.Store(-1)
	inst.replica.OnApply = func(s *config.Snapshot) {
		inst.firstRevision.CompareAndSwap(-1, s.Revision)
		inst.updatedAt.Store(time.Now().UnixNano())
	}
	client := store.Client(name)
	client.Timeout = 10 * time.Second // the maximum that settings allow
	inst.watcher = config.Watcher{Replica: &inst.replica, ReadRow: client.ReadRow, ScanRows: client.ScanRows}
	inst.watcher.FetchUpdate = func(ctx context.Context, address string, after int64) (config.Update, error) {
		if peer := peers[address]; peer != nil {
			return peer.replica.UpdateSince(after), ctx.Err()
		}
		<-ctx.Done()
		return config.Update{}, errors.New("peer does not respond")
	}
	inst.watcher.Peers = func() []string {
		var addresses []string
		for address := range peers {
			addresses = append(addresses, address)
		}
		return addresses
	}
	inst.watcher.Init()
	go func() { _ = inst.watcher.Run(ctx) }()
	return inst
}

// Guards against a publication that exceeds the propagation limit at some instance (I8) when
// instances only poll the table.
func TestPublicationReachesAllInstancesByPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed, instances = 1, 54
		t.Logf("seed %d", seed)
		rng := rand.New(rand.NewPCG(seed, seed))
		store := fake.Table{Fault: func(fake.Call) fake.Fault { return fake.Fault{RequestDelay: 20 * time.Millisecond} }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var started []*instance
		for i := range instances {
			time.Sleep(time.Duration(rng.Int64N(int64(config.DefaultPollInterval) / instances * 2)))
			started = append(started, startInstance(ctx, &store, fmt.Sprint("i", i), nil))
		}
		latest := time.Duration(0)
		for revision := 1; revision <= 5; revision++ {
			time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
			published := time.Now()
			res := publish(t, &store, "ann", int64(revision-1), routeDoc("a", revision))
			assert.Equal(t, res.Outcome, config.Published, res.Reason)
			time.Sleep(propagationLimit)
			for _, inst := range started {
				assert.Equal(t, inst.replica.Current().Revision, int64(revision))
				latest = max(latest, time.Unix(0, inst.updatedAt.Load()).Sub(published))
			}
		}
		t.Logf("last instance after %v", latest)
	})
}

// tableFaults lists the ways in which an instance can lose the table.
var tableFaults = map[string]fake.Fault{
	"refuses":      {Status: 503},
	"drops":        {DropRequest: true},
	"unresponsive": {RequestDelay: time.Hour},
}

// failFor applies the fault to the calls of some callers.
func failFor(fault fake.Fault, callers ...string) func(fake.Call) fake.Fault {
	return func(call fake.Call) fake.Fault {
		for _, name := range callers {
			if call.Caller == name {
				return fault
			}
		}
		return fake.Fault{}
	}
}

// heartbeats announces a's revision to b at the interval of heartbeats.
func heartbeats(ctx context.Context, a, b *instance) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.watcher.OnPeerRevision("a", a.replica.Current().Revision)
		}
	}
}

// Guards against an instance that cannot reach the table and receives a revision late, or not at
// all, from a peer.
func TestPeerForwardsPublicationWithoutTable(t *testing.T) {
	for name, fault := range tableFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				a := startInstance(ctx, &store, "a", nil)
				b := startInstance(ctx, &store, "b", map[string]*instance{"a": a})
				time.Sleep(time.Second)
				store.SetFault(failFor(fault, "b"))
				go heartbeats(ctx, a, b)
				for revision := 1; revision <= 10; revision++ {
					time.Sleep(time.Duration(revision) * 370 * time.Millisecond)
					res := publish(t, &store, "ann", int64(revision-1), routeDoc("a", revision))
					assert.Equal(t, res.Outcome, config.Published, res.Reason)
					time.Sleep(propagationLimit)
					assert.Equal(t, b.replica.Current().Revision, int64(revision))
				}
			})
		})
	}
}

// Guards against an instance that starts without the table and becomes ready with an old revision
// or with none, or that never becomes ready because the table or a peer does not respond.
func TestStartWithoutTableUsesNewestPeer(t *testing.T) {
	for name, fault := range tableFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := fake.Table{Fault: failFor(fault, "starting")}
				peers := map[string]*instance{"unready": {}, "unresponsive": nil}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				starting := startInstance(ctx, &store, "starting", peers)
				time.Sleep(time.Minute)
				assert.Assert(t, !starting.replica.Ready(), "no peer has a revision")
				peers = map[string]*instance{"unready": {}, "unresponsive": nil}
				for _, revision := range []int64{3, 5, 4} {
					inst := &instance{}
					c := config.Change{VersionedDocument: config.VersionedDocument{Document: routeDoc("a", int(revision))}, Revision: revision}
					inst.replica.Apply(config.Update{Revision: revision, Full: true, Changes: []config.Change{c}})
					peers[fmt.Sprint("r", revision)] = inst
				}
				starting = startInstance(ctx, &store, "starting", peers)
				time.Sleep(10 * time.Second)
				assert.Assert(t, starting.replica.Ready())
				assert.Equal(t, starting.firstRevision.Load(), int64(5), "an older revision was applied first")
				assert.Equal(t, starting.replica.Current().Routes["a"].DeadlineMS, int64(5))
			})
		})
	}
}

// Guards against an instance that returns to an older revision when the table or a peer is behind.
func TestWatcherIgnoresPeerBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		behind := &instance{}
		behind.replica.Apply(config.Update{Revision: 1, Full: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		inst := startInstance(ctx, &store, "a", map[string]*instance{"behind": behind})
		for revision := 1; revision <= 3; revision++ {
			assert.Equal(t, publish(t, &store, "ann", 9, routeDoc("a", revision)).Outcome, config.Published)
		}
		time.Sleep(2 * time.Second)
		inst.watcher.OnPeerRevision("behind", 99)
		time.Sleep(2 * time.Second)
		assert.Equal(t, inst.replica.Current().Revision, int64(3))
		assert.Equal(t, inst.replica.Current().Routes["a"].DeadlineMS, int64(3))
	})
}
