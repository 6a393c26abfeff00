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

// inForceWithin is the bound of invariant I8.
const inForceWithin = 4 * time.Second

// node is the configuration part of one instance.
type node struct {
	holder  config.Replica
	watcher config.Watcher
	// first and at are the first revision and the time of the newest one.
	first atomic.Int64
	at    atomic.Int64
}

// startNode runs a watcher that asks the peers by their names.
func startNode(ctx context.Context, store *fake.Table, name string, peers map[string]*node) *node {
	n := &node{}
	n.first.Store(-1)
	n.holder.OnApply = func(s *config.Snapshot) {
		n.first.CompareAndSwap(-1, s.Revision)
		n.at.Store(time.Now().UnixNano())
	}
	client := store.Client(name)
	client.Timeout = 10 * time.Second // the longest that settings allow
	n.watcher = config.Watcher{Replica: &n.holder, ReadRow: client.ReadRow, ScanRows: client.ScanRows}
	n.watcher.FetchUpdate = func(ctx context.Context, address string, after int64) (config.Update, error) {
		if peer := peers[address]; peer != nil {
			return peer.holder.UpdateSince(after), ctx.Err()
		}
		<-ctx.Done()
		return config.Update{}, errors.New("silent peer")
	}
	n.watcher.Peers = func() []string {
		var addresses []string
		for address := range peers {
			addresses = append(addresses, address)
		}
		return addresses
	}
	n.watcher.Init()
	go func() { _ = n.watcher.Run(ctx) }()
	return n
}

// Guards against a publication that is late somewhere (I8) when instances only poll the table.
func TestPublicationIsInForceEverywhereWithoutGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed, instances = 1, 54
		t.Logf("seed %d", seed)
		rng := rand.New(rand.NewPCG(seed, seed))
		store := fake.Table{Fault: func(fake.Call) fake.Fault { return fake.Fault{RequestDelay: 20 * time.Millisecond} }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var nodes []*node
		for i := range instances {
			time.Sleep(time.Duration(rng.Int64N(int64(config.DefaultPollInterval) / instances * 2)))
			nodes = append(nodes, startNode(ctx, &store, fmt.Sprint("i", i), nil))
		}
		latest := time.Duration(0)
		for revision := 1; revision <= 5; revision++ {
			time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
			published := time.Now()
			res := publish(t, &store, "ann", int64(revision-1), routeDoc("a", revision))
			assert.Equal(t, res.Outcome, config.Published, res.Reason)
			time.Sleep(inForceWithin)
			for _, n := range nodes {
				assert.Equal(t, n.holder.Current().Revision, int64(revision))
				latest = max(latest, time.Unix(0, n.at.Load()).Sub(published))
			}
		}
		t.Logf("last instance after %v", latest)
	})
}

// storeDown lists the ways in which an instance is cut off from the table.
var storeDown = map[string]fake.Fault{
	"refuses": {Status: 503},
	"drops":   {DropRequest: true},
	"silent":  {RequestDelay: time.Hour},
}

// cutOff lets the calls of some callers fail.
func cutOff(fault fake.Fault, callers ...string) func(fake.Call) fake.Fault {
	return func(call fake.Call) fake.Fault {
		for _, name := range callers {
			if call.Caller == name {
				return fault
			}
		}
		return fake.Fault{}
	}
}

// heartbeats tells b the revision of a.
func heartbeats(ctx context.Context, a, b *node) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.watcher.OnPeerRevision("a", a.holder.Current().Revision)
		}
	}
}

// Guards against an instance without the table that learns a revision late, or not at all, from a peer.
func TestPeerHandsOnPublicationWithoutStore(t *testing.T) {
	for name, fault := range storeDown {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				a := startNode(ctx, &store, "a", nil)
				b := startNode(ctx, &store, "b", map[string]*node{"a": a})
				time.Sleep(time.Second)
				store.SetFault(cutOff(fault, "b"))
				go heartbeats(ctx, a, b)
				for revision := 1; revision <= 10; revision++ {
					time.Sleep(time.Duration(revision) * 370 * time.Millisecond)
					res := publish(t, &store, "ann", int64(revision-1), routeDoc("a", revision))
					assert.Equal(t, res.Outcome, config.Published, res.Reason)
					time.Sleep(inForceWithin)
					assert.Equal(t, b.holder.Current().Revision, int64(revision))
				}
			})
		})
	}
}

// Guards against a starting instance without the table that is ready with an old revision or
// none, or that is kept from starting by a silent table or peer.
func TestStartWithoutStoreTakesTheNewestPeer(t *testing.T) {
	for name, fault := range storeDown {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := fake.Table{Fault: cutOff(fault, "starting")}
				peers := map[string]*node{"unready": {}, "silent": nil}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				starting := startNode(ctx, &store, "starting", peers)
				time.Sleep(time.Minute)
				assert.Assert(t, !starting.holder.Ready(), "no peer has a revision")
				peers = map[string]*node{"unready": {}, "silent": nil}
				for _, revision := range []int64{3, 5, 4} {
					n := &node{}
					c := config.Change{VersionedDocument: config.VersionedDocument{Document: routeDoc("a", int(revision))}, Revision: revision}
					n.holder.Apply(config.Update{Revision: revision, Full: true, Changes: []config.Change{c}})
					peers[fmt.Sprint("r", revision)] = n
				}
				starting = startNode(ctx, &store, "starting", peers)
				time.Sleep(10 * time.Second)
				assert.Assert(t, starting.holder.Ready())
				assert.Equal(t, starting.first.Load(), int64(5), "an older revision was in force first")
				assert.Equal(t, starting.holder.Current().Routes["a"].DeadlineMS, int64(5))
			})
		})
	}
}

// Guards against an instance that goes back when it reaches the table or a peer that is behind.
func TestWatcherIgnoresPeerBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		behind := &node{}
		behind.holder.Apply(config.Update{Revision: 1, Full: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := startNode(ctx, &store, "a", map[string]*node{"behind": behind})
		for revision := 1; revision <= 3; revision++ {
			assert.Equal(t, publish(t, &store, "ann", 9, routeDoc("a", revision)).Outcome, config.Published)
		}
		time.Sleep(2 * time.Second)
		n.watcher.OnPeerRevision("behind", 99)
		time.Sleep(2 * time.Second)
		assert.Equal(t, n.holder.Current().Revision, int64(3))
		assert.Equal(t, n.holder.Current().Routes["a"].DeadlineMS, int64(3))
	})
}
