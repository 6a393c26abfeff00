package host_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/host"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// waitTimeout is the time limit for an expected event. It is generous, so that results do not depend
// on the speed of the machine.
const waitTimeout = 30 * time.Second

// rowStore is a store that contains only the owner's row, which the test sets.
type rowStore struct {
	mu    sync.Mutex
	owner *wire.OwnerRecord
	clock time.Duration
	// commits makes takeovers succeed, after which other rows than the owner's cannot be read.
	commits bool
	// reads counts the reads by the instance under test.
	reads int
	// unavailable makes all reads fail.
	unavailable bool
	// version is how often the row has been written, delay the duration of a read.
	version int64
	delay   time.Duration
	// driver is that of the last term of the instance under test; inTerm is set once it reads the rows.
	driver *cell.Driver
	inTerm bool
}

func (r *rowStore) scan(ctx context.Context, prefix, _ string, _ int) (ledger.Page, error) {
	if prefix != ledger.OwnerKey {
		r.mu.Lock()
		r.inTerm = true
		r.mu.Unlock()
		<-ctx.Done()
		return ledger.Page{}, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.delay > 0 {
		r.mu.Unlock()
		sleep(ctx, r.delay)
		r.mu.Lock()
	}
	if r.unavailable {
		return ledger.Page{}, errors.New("store is unavailable")
	}
	value, err := proto.Marshal(r.owner)
	return ledger.Page{Rows: []table.Row{{Key: ledger.OwnerKey, Value: value, Version: 5 + r.version}}, StoreClock: r.clock}, err
}

// send rejects all commits with a conflict, unless takeovers are to succeed.
func (r *rowStore) send(context.Context, table.Transaction) (table.Result, time.Duration) {
	if r.commits {
		return table.Result{Outcome: table.Committed, Version: 6}, r.clock
	}
	return table.Result{Outcome: table.Conflict}, 0
}

func (r *rowStore) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// fakePeer is another instance, which responds to all calls of the instance under test with reply.
type fakePeer struct {
	address string
	mu      sync.Mutex
	follows int
	// unresponsive makes all calls hang until the test ends.
	unresponsive bool
	reply        *wire.FollowReply
}

func startPeer(t *testing.T, reply *wire.FollowReply) *fakePeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &fakePeer{address: l.Addr().String(), reply: reply}
	s := peer.Server{Handle: func(context.Context, *wire.Request) *wire.Response {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.unresponsive {
			p.mu.Unlock()
			<-t.Context().Done()
			p.mu.Lock()
		}
		p.follows++
		return &wire.Response{Body: &wire.Response_Follow{Follow: p.reply}}
	}}
	go func() { _ = s.Serve(t.Context(), l) }()
	return p
}

func (p *fakePeer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.follows
}

// hostsStarted is the origin of the clock of the instances under test.
var hostsStarted = time.Now()

// startHost starts the instance under test.
func startHost(t *testing.T, r *rowStore, weight int64) *host.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &host.Host{
		Name: "b", Address: l.Addr().String(), Domain: "z", Weight: weight, SufficientWeight: 100, Nonce: 7,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Ledger: &ledger.Ledger{
			Name: "b", Address: l.Addr().String(), Nonce: 7, Send: r.send, Scan: r.scan, Now: time.Now,
			Sleep: sleep,
		},
		DecodeConfig: func([]byte) (*fleet.Config, error) { return &fleet.Config{Version: 1}, nil },
		WatchConfig: func(ctx context.Context, after int64) ([]byte, int64, error) {
			if after > 0 {
				<-ctx.Done()
			}
			return []byte("policy"), 1, ctx.Err()
		},
		BootTime: func() time.Duration { return time.Since(hostsStarted) },
	}
	h.NewDriver = func() *cell.Driver {
		d := &cell.Driver{Ledger: h.Ledger, Log: h.Log, Lease: time.Second}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.driver = d
		return d
	}
	h.Init()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, task := range []func() error{
		func() error { return h.Serve(ctx, l) },
		func() error { return h.FollowConfig(ctx) },
		func() error { return h.Run(ctx) },
	} {
		wg.Go(func() { _ = task() })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return h
}

// startFollower starts an instance under test and waits until it follows a fake owner.
func startFollower(t *testing.T) (*fakePeer, *rowStore, *host.Host) {
	t.Helper()
	owner := startPeer(t, &wire.FollowReply{Epoch: 3, ConfigVersion: 1})
	r := &rowStore{owner: &wire.OwnerRecord{Holder: "a", Address: owner.address, Epoch: 3}}
	h := startHost(t, r, 100)
	waitFor(t, "the instance to follow the owner", h.Ready)
	return owner, r, h
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
}

// Guards against a needless takeover: after an outage of the store the row of a live owner is stale,
// and an instance that starts then must follow the owner instead of replacing it.
func TestFollowsLiveOwnerWithStaleRow(t *testing.T) {
	owner := startPeer(t, &wire.FollowReply{Epoch: 3, ConfigVersion: 1, StoreAway: true})
	r := &rowStore{owner: &wire.OwnerRecord{Holder: "a", Address: owner.address, Epoch: 3}, clock: time.Hour}
	startHost(t, r, 100)
	const calls = 20
	waitFor(t, "calls of the follower", func() bool { return owner.count() >= calls })
}

// Guards against a slow change of the owner: a candidate that waits for its turn to take over must
// follow a new owner as soon as that one announces itself.
func TestFollowsAnnouncedOwner(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	former := closed.Addr().String()
	assert.NilError(t, closed.Close())
	r := &rowStore{owner: &wire.OwnerRecord{Holder: "a", Address: former, Epoch: 3}, clock: time.Hour}
	// An instance of weight 0 has the longest takeover delay.
	h := startHost(t, r, 0)
	waitFor(t, "the first read of the row", func() bool { return r.count() > 0 })
	owner := startPeer(t, &wire.FollowReply{Epoch: 4, ConfigVersion: 1})
	var client peer.Client
	defer client.Close()
	_, _, err = client.Call(t.Context(), h.Address, &wire.Request{Body: &wire.Request_Announce{
		Announce: &wire.Announce{Address: owner.address, Epoch: 4},
	}})
	assert.NilError(t, err)
	waitFor(t, "calls of the follower", func() bool { return owner.count() > 0 })
}

// Guards against requests that hang on an instance that is cut off from both the owner and the
// store. Requests already sent to the owner must end with an unknown outcome, and later ones must be
// rejected with a retry delay of 0, which sends the client to another instance.
func TestIsolatedInstanceDoesNotHoldRequests(t *testing.T) {
	owner, r, h := startFollower(t)
	owner.mu.Lock()
	owner.unresponsive = true
	owner.mu.Unlock()
	r.mu.Lock()
	r.unavailable = true
	r.mu.Unlock()
	// The context has no deadline, so the instance itself must end the call.
	first := h.Submit(t.Context(), "j1", flow.Spec{Queue: "q"})
	assert.Equal(t, first.Outcome, cell.Unknown)
	waitFor(t, "a rejection that sends the client to another instance", func() bool {
		second := h.Submit(t.Context(), "j2", flow.Spec{Queue: "q"})
		return second.Outcome == cell.Rejected && second.RetryAfter == 0
	})
}

// Guards against unknown outcomes after the owner is gone: requests that arrive later must not be
// sent to it but rejected, so that clients know that they had no effect.
func TestRejectsRequestsAfterOwnerIsGone(t *testing.T) {
	owner, r, h := startFollower(t)
	r.mu.Lock()
	r.unavailable = true
	r.mu.Unlock()
	owner.mu.Lock()
	owner.reply = &wire.FollowReply{Resigned: true}
	owner.mu.Unlock()
	waitFor(t, "the instance to be not ready", func() bool { return !h.Ready() })
	owner.mu.Lock()
	owner.unresponsive = true
	owner.mu.Unlock()
	waitFor(t, "the end of calls to the former owner", func() bool {
		return h.Submit(t.Context(), "j1", flow.Spec{Queue: "q"}).Outcome == cell.Rejected
	})
	for range 3 {
		reply := h.Submit(t.Context(), "j2", flow.Spec{Queue: "q"})
		assert.Equal(t, reply.Outcome, cell.Rejected)
		assert.Assert(t, reply.RetryAfter > 0)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// While the store is down, an instance whose owner is cut off together with the first candidates must
// notice the store's return soon: it must not wait for one unresponsive candidate after the other.
func TestReadsStoreOftenBesideUnresponsiveCandidates(t *testing.T) {
	owner, r, _ := startFollower(t)
	var cutOff []string
	for range 4 {
		p := startPeer(t, nil)
		p.unresponsive = true
		cutOff = append(cutOff, p.address)
	}
	owner.mu.Lock()
	owner.reply = &wire.FollowReply{Epoch: 3, ConfigVersion: 1, Followers: cutOff}
	seen := owner.follows
	owner.mu.Unlock()
	waitFor(t, "the list of candidates", func() bool { return owner.count() > seen+1 })
	r.mu.Lock()
	r.unavailable = true
	r.mu.Unlock()
	owner.mu.Lock()
	owner.unresponsive = true
	owner.mu.Unlock()
	before := r.count()
	waitFor(t, "the first read of the row", func() bool { return r.count() > before })
	const reads, limit = 4, 600 * time.Millisecond
	start, first := time.Now(), r.count()
	waitFor(t, "further reads", func() bool { return r.count() >= first+reads })
	assert.Assert(t, time.Since(start) < reads*limit, "%d reads took %s", reads, time.Since(start))
}

// Guards against an instance that rejects all requests for many seconds after a change of the owner: where
// reads are slow it waited long for its turn to take over, and the new owner did not know it (fault soak of
// 40 instances, seed 601).
func TestFollowsNewOwnerWhileItWaitsForItsTurn(t *testing.T) {
	owner := startPeer(t, &wire.FollowReply{Epoch: 3, ConfigVersion: 1})
	next := startPeer(t, &wire.FollowReply{Epoch: 4, ConfigVersion: 1})
	r := &rowStore{owner: &wire.OwnerRecord{Holder: "a", Address: owner.address, Epoch: 3}}
	h := startHost(t, r, 1)
	waitFor(t, "the instance to follow the owner", h.Ready)
	r.mu.Lock()
	r.clock, r.delay = time.Hour, 300*time.Millisecond
	r.mu.Unlock()
	before := r.count()
	owner.mu.Lock()
	owner.unresponsive = true
	owner.mu.Unlock()
	waitFor(t, "the first read of the row", func() bool { return r.count() > before })
	time.Sleep(500 * time.Millisecond)
	r.mu.Lock()
	r.owner, r.version = &wire.OwnerRecord{Holder: "c", Address: next.address, Epoch: 4}, 1
	r.mu.Unlock()
	start := time.Now()
	waitFor(t, "the instance to follow the new owner", func() bool { return next.count() > 0 })
	assert.Assert(t, time.Since(start) < 4*time.Second, "it took %s", time.Since(start))
}

// While a new owner reads the rows of its predecessor it does not know how many jobs wait. It must not
// tell its followers that none does.
func TestNewOwnerDoesNotReportUnknownCounts(t *testing.T) {
	r := &rowStore{owner: &wire.OwnerRecord{}, commits: true}
	h := startHost(t, r, 100)
	var client peer.Client
	defer client.Close()
	var reply *wire.FollowReply
	waitFor(t, "the takeover", func() bool {
		res, _, err := client.Call(t.Context(), h.Address, &wire.Request{Body: &wire.Request_Follow{
			Follow: &wire.Follow{Name: "c", Address: "127.0.0.1:1", AtOnce: true},
		}})
		reply = res.GetFollow()
		return err == nil && reply.GetEpoch() > 0
	})
	assert.Assert(t, reply.GetCountsUnchanged())
}

// The owner sends its state to a follower again and again on one stream, and the list of followers only
// when it has changed: calls of a hundred followers, each answered with the whole list, would take much
// of its processor and network link.
func TestOwnerSendsStateOnOneStream(t *testing.T) {
	r := &rowStore{owner: &wire.OwnerRecord{}, commits: true}
	h := startHost(t, r, 100)
	var client peer.Client
	defer client.Close()
	waitFor(t, "the takeover", func() bool {
		res, _, err := client.Call(t.Context(), h.Address, &wire.Request{Body: &wire.Request_Follow{
			Follow: &wire.Follow{Name: "c", Address: "127.0.0.1:1", AtOnce: true},
		}})
		return err == nil && res.GetFollow().GetEpoch() > 0
	})
	s, err := client.Open(t.Context(), h.Address, &wire.Request{Body: &wire.Request_Follow{
		Follow: &wire.Follow{Name: "c", Address: "127.0.0.1:1", ConfigVersion: 1, Stream: true},
	}})
	assert.NilError(t, err)
	defer s.Close()
	lists := 0
	for range 5 {
		var res wire.Response
		assert.NilError(t, s.Receive(&res, waitTimeout))
		assert.Assert(t, res.GetFollow().GetEpoch() > 0)
		assert.Equal(t, len(res.GetFollow().GetConfig()), 0)
		if len(res.GetFollow().GetFollowers()) > 0 {
			lists++
			assert.DeepEqual(t, res.GetFollow().GetFollowers(), []string{"127.0.0.1:1"})
		}
	}
	assert.Equal(t, lists, 1)
}

// A follower keeps one stream from the owner open and tells it from time to time that it is alive.
func TestFollowerKeepsStreamOpen(t *testing.T) {
	var mu sync.Mutex
	streams, reports := 0, 0
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := peer.Server{HandleStream: func(ctx context.Context, req *wire.Request, s *peer.Stream) bool {
		if req.GetFollow() == nil {
			return false
		}
		mu.Lock()
		streams++
		mu.Unlock()
		go func() {
			var in wire.Request
			for s.Receive(&in, 0) == nil {
				mu.Lock()
				reports++
				mu.Unlock()
			}
		}()
		state := &wire.Response{Body: &wire.Response_Follow{Follow: &wire.FollowReply{Epoch: 3, ConfigVersion: 1}}}
		for s.Send(state, time.Second) == nil {
			sleep(ctx, 50*time.Millisecond)
		}
		return true
	}}
	go func() { _ = s.Serve(t.Context(), l) }()
	r := &rowStore{owner: &wire.OwnerRecord{Holder: "a", Address: l.Addr().String(), Epoch: 3}}
	h := startHost(t, r, 100)
	waitFor(t, "reports of the follower", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return reports >= 4
	})
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, streams, 1)
	assert.Assert(t, h.Ready())
}
