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

// patience bounds the waits of these tests; verdicts do not depend on it.
const patience = 30 * time.Second

// row is the owner's row in a store that serves everybody.
type row struct {
	mu    sync.Mutex
	owner *wire.OwnerRecord
	clock time.Duration
	// reads counts the calls of the instance under test.
	reads int
	// away makes all reads fail.
	away bool
}

func (r *row) scan(context.Context, string, string, int) (ledger.Page, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.away {
		return ledger.Page{}, errors.New("store is out of reach")
	}
	value, err := proto.Marshal(r.owner)
	return ledger.Page{Rows: []table.Row{{Key: ledger.OwnerKey, Value: value, Version: 5}}, StoreClock: r.clock}, err
}

// send refuses all takeovers.
func (r *row) send(context.Context, table.Commit) (table.Result, time.Duration) {
	return table.Result{Outcome: table.Conflict}, 0
}

func (r *row) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// peerOf is another instance that answers the calls of the instance under test.
type peerOf struct {
	address string
	mu      sync.Mutex
	follows int
	// silent keeps all calls without an answer.
	silent bool
	reply  *wire.FollowReply
}

func startPeer(t *testing.T, reply *wire.FollowReply) *peerOf {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &peerOf{address: l.Addr().String(), reply: reply}
	s := peer.Server{Handle: func(context.Context, *wire.Request) *wire.Response {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.silent {
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

func (p *peerOf) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.follows
}

// startHost starts the instance under test.
func startHost(t *testing.T, r *row, weight int64) *host.Host {
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
	}
	h.NewDriver = func() *cell.Driver { return &cell.Driver{Ledger: h.Ledger, Log: h.Log, Lease: time.Second} }
	h.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, duty := range []func() error{
		func() error { return h.Serve(ctx, l) },
		func() error { return h.FollowConfig(ctx) },
		func() error { return h.Run(ctx) },
	} {
		wg.Go(func() { _ = duty() })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return h
}

// startFollower starts an instance that follows an owner.
func startFollower(t *testing.T) (*peerOf, *row, *host.Host) {
	t.Helper()
	owner := startPeer(t, &wire.FollowReply{Epoch: 3, ConfigVersion: 1})
	r := &row{owner: &wire.OwnerRecord{Holder: "a", Address: owner.address, Epoch: 3}}
	h := startHost(t, r, 100)
	waitFor(t, "the owner to be followed", h.Ready)
	return owner, r, h
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(time.Millisecond))
}

// After an outage of the store the row of a living owner is old; an instance that starts then
// follows the owner instead of replacing it.
func TestOwnerWithAnOldRowIsFollowed(t *testing.T) {
	owner := startPeer(t, &wire.FollowReply{Epoch: 3, ConfigVersion: 1, StoreAway: true})
	r := &row{owner: &wire.OwnerRecord{Holder: "a", Address: owner.address, Epoch: 3}, clock: time.Hour}
	startHost(t, r, 100)
	const calls = 20
	waitFor(t, "calls of the follower", func() bool { return owner.count() >= calls })
}

// A candidate that waits for its turn follows the new owner as soon as that one announces itself.
func TestAnnouncedOwnerIsFollowed(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	former := gone.Addr().String()
	assert.NilError(t, gone.Close())
	r := &row{owner: &wire.OwnerRecord{Holder: "a", Address: former, Epoch: 3}, clock: time.Hour}
	// The smallest candidate waits longest.
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

// An instance that is cut off from the owner and the store does not hold callers: what it has
// handed over has an unknown outcome, and the rest is sent to other instances at once.
func TestCutOffInstanceDoesNotHoldCallers(t *testing.T) {
	owner, r, h := startFollower(t)
	owner.mu.Lock()
	owner.silent = true
	owner.mu.Unlock()
	r.mu.Lock()
	r.away = true
	r.mu.Unlock()
	// The calls have no deadline of their own.
	first := h.Submit(t.Context(), "j1", flow.Spec{Queue: "q"})
	assert.Equal(t, first.Outcome, cell.Unknown)
	waitFor(t, "a rejection that sends the caller elsewhere", func() bool {
		second := h.Submit(t.Context(), "j2", flow.Spec{Queue: "q"})
		return second.Outcome == cell.Rejected && second.RetryAfter == 0
	})
}

// Requests that come after the owner has gone are not handed to it, so that callers are told that
// nothing was done.
func TestRequestsAfterTheOwnerHasGoneAreRejected(t *testing.T) {
	owner, r, h := startFollower(t)
	r.mu.Lock()
	r.away = true
	r.mu.Unlock()
	owner.mu.Lock()
	owner.reply = &wire.FollowReply{Resigned: true}
	owner.mu.Unlock()
	waitFor(t, "the owner to be unheard of", func() bool { return !h.Ready() })
	owner.mu.Lock()
	owner.silent = true
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
