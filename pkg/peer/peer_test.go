package peer_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

func echo(_ context.Context, req *wire.Request) *wire.Response {
	rev := req.GetFetchConfig().GetAfterRevision()
	return &wire.Response{Body: &wire.Response_Config{Config: &wire.ConfigPage{Revision: rev}}}
}

func fetch(rev int64) *wire.Request {
	return &wire.Request{Body: &wire.Request_FetchConfig{FetchConfig: &wire.FetchConfig{AfterRevision: rev}}}
}

// pipeDial connects every call to a server in the same test over net.Pipe.
func pipeDial(ctx context.Context, s *peer.Server) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go s.ServeConn(ctx, far)
		return near, nil
	}
}

// Guards against an answer that reaches the wrong call when answers come out of order.
func TestCrossedAnswersReachTheirOwnCaller(t *testing.T) {
	const calls = 50
	turns := make([]chan struct{}, calls+1)
	for i := range turns {
		turns[i] = make(chan struct{})
	}
	// The call with the highest revision answers first.
	backwards := func(ctx context.Context, req *wire.Request) *wire.Response {
		rev := req.GetFetchConfig().GetAfterRevision()
		<-turns[rev+1]
		defer close(turns[rev])
		return echo(ctx, req)
	}
	ctx := t.Context()
	client := peer.Client{Dial: pipeDial(ctx, &peer.Server{Handle: backwards})}
	defer client.Close()
	var wg sync.WaitGroup
	for rev := range int64(calls) {
		wg.Go(func() {
			res, outcome, err := client.Call(ctx, "a", fetch(rev))
			assert.Check(t, err)
			assert.Check(t, outcome == peer.Answered)
			assert.Check(t, res.GetConfig().GetRevision() == rev)
		})
	}
	close(turns[calls])
	wg.Wait()
}

// Guards against a hidden queue: above the bound the call is refused and was not sent.
func TestCallsAboveTheBoundAreNotSent(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	slow := func(ctx context.Context, req *wire.Request) *wire.Response {
		close(entered)
		<-release
		return echo(ctx, req)
	}
	ctx := t.Context()
	client := peer.Client{MaxInFlight: 1, Dial: pipeDial(ctx, &peer.Server{Handle: slow})}
	defer client.Close()
	var wg sync.WaitGroup
	wg.Go(func() { _, _, _ = client.Call(ctx, "a", fetch(0)) })
	<-entered
	_, outcome, err := client.Call(ctx, "a", fetch(1))
	assert.Check(t, outcome == peer.NotSent)
	assert.ErrorContains(t, err, "too many calls")
	close(release)
	wg.Wait()
}

// Guards against a connection that stays open but never answers again.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ctx := t.Context()
	server := &peer.Server{Handle: echo}
	dials := 0
	client := peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		dials++
		if dials > 1 {
			return pipeDial(t.Context(), server)(ctx, address)
		}
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return near, nil
	}}
	defer client.Close()
	_, outcome, err := client.Call(ctx, "a", fetch(1))
	assert.Check(t, err != nil)
	assert.Check(t, outcome == peer.Unknown)
	for outcome != peer.Answered {
		// Keep-alive closes the silent connection; until then calls time out.
		_, outcome, _ = client.Call(ctx, "a", fetch(7))
	}
	assert.Check(t, dials == 2)
}

// Guards against decoders that trust a length or accept a message cut short.
func TestFaultyFramesAreErrors(t *testing.T) {
	tooLong := binary.BigEndian.AppendUint32(nil, peer.MaxMessageBytes+1)
	cases := map[string][]byte{
		"empty":         {},
		"short prefix":  {0, 0},
		"too long":      tooLong,
		"cut body":      {0, 0, 0, 9, 1, 2},
		"not a message": {0, 0, 0, 3, 0xff, 0xff, 0xff},
	}
	for name, frame := range cases {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Write(frame)
				_ = far.Close()
			}()
			var req wire.Request
			assert.Check(t, peer.ReadMessage(near, &req) != nil, strconv.Quote(string(frame)))
		})
	}
}

// Guards against an outcome that is called unknown although nothing was sent.
func TestCallAfterItsDeadlineIsNotSent(t *testing.T) {
	server := &peer.Server{Handle: echo}
	client := peer.Client{Dial: pipeDial(t.Context(), server)}
	defer client.Close()
	_, outcome, err := client.Call(t.Context(), "a", fetch(1))
	assert.NilError(t, err)
	assert.Check(t, outcome == peer.Answered)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, outcome, err = client.Call(ctx, "a", fetch(2))
	assert.ErrorIs(t, err, context.Canceled)
	assert.Check(t, outcome == peer.NotSent)
}
