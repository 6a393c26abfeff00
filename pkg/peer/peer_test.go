package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

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

// pipeDial returns a dial function whose connections are served by s over net.Pipe.
func pipeDial(ctx context.Context, s *peer.Server) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go s.ServeConn(ctx, serverConn)
		return clientConn, nil
	}
}

// Guards against responses that reach the wrong caller when they arrive out of order.
func TestOutOfOrderResponsesReachTheirCaller(t *testing.T) {
	const calls = 50
	answered := make([]chan struct{}, calls+1)
	for i := range answered {
		answered[i] = make(chan struct{})
	}
	// The call with the highest revision is answered first.
	reverseOrder := func(ctx context.Context, req *wire.Request) *wire.Response {
		rev := req.GetFetchConfig().GetAfterRevision()
		<-answered[rev+1]
		defer close(answered[rev])
		return echo(ctx, req)
	}
	ctx := t.Context()
	client := peer.Client{Dial: pipeDial(ctx, &peer.Server{Handle: reverseOrder})}
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
	close(answered[calls])
	wg.Wait()
}

// Guards against queueing of calls above the limit: they are refused and not sent.
func TestCallsAboveLimitAreNotSent(t *testing.T) {
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

// Guards against reusing a connection that stays open but no longer responds.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	ctx := t.Context()
	server := &peer.Server{Handle: echo}
	dials := 0
	client := peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		dials++
		if dials > 1 {
			return pipeDial(t.Context(), server)(ctx, address)
		}
		clientConn, serverConn := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, serverConn) }()
		return clientConn, nil
	}}
	defer client.Close()
	_, outcome, err := client.Call(ctx, "a", fetch(1))
	assert.Check(t, err != nil)
	assert.Check(t, outcome == peer.Unknown)
	for outcome != peer.Answered {
		// Calls time out until the keep-alive closes the unresponsive connection.
		_, outcome, _ = client.Call(ctx, "a", fetch(7))
	}
	assert.Check(t, dials == 2)
}

// Guards against decoding that trusts the length prefix or accepts a truncated message.
func TestInvalidFramesAreErrors(t *testing.T) {
	tooLong := binary.BigEndian.AppendUint32(nil, peer.MaxMessageBytes+1)
	cases := map[string][]byte{
		"empty":          {},
		"short prefix":   {0, 0},
		"too long":       tooLong,
		"truncated body": {0, 0, 0, 9, 1, 2},
		"not a message":  {0, 0, 0, 3, 0xff, 0xff, 0xff},
	}
	for name, frame := range cases {
		t.Run(name, func(t *testing.T) {
			clientConn, serverConn := net.Pipe()
			go func() {
				_, _ = serverConn.Write(frame)
				_ = serverConn.Close()
			}()
			var req wire.Request
			assert.Check(t, peer.ReadMessage(clientConn, &req) != nil, strconv.Quote(string(frame)))
		})
	}
}

// A message longer than what is allocated at first must arrive whole. One of which only the length arrives must not
// take memory for all of it.
func TestLongMessagesAreReadInParts(t *testing.T) {
	sent := &wire.Response{Body: &wire.Response_Failure{Failure: &wire.Failure{Reason: strings.Repeat("r", 1_000_000)}}}
	var frame bytes.Buffer
	assert.NilError(t, peer.WriteMessage(&frame, sent))
	var received wire.Response
	assert.NilError(t, peer.ReadMessage(&frame, &received))
	assert.Equal(t, received.GetFailure().GetReason(), sent.GetFailure().GetReason())
	prefix := binary.BigEndian.AppendUint32(nil, peer.MaxMessageBytes)
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			assert.Check(b, peer.ReadMessage(bytes.NewReader(prefix), &received) != nil)
		}
	})
	assert.Check(t, result.AllocedBytesPerOp() < peer.MaxMessageBytes/8, "%d bytes", result.AllocedBytesPerOp())
}

// Guards against reporting the outcome Unknown although nothing was sent.
func TestCallWithCancelledContextIsNotSent(t *testing.T) {
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

// startStream opens a stream to a server that serves it with handle.
func startStream(t *testing.T, handle func(s *peer.Stream)) *peer.Stream {
	t.Helper()
	server := &peer.Server{Handle: echo, HandleStream: func(_ context.Context, req *wire.Request, s *peer.Stream) bool {
		if req.GetRelayOpen() == nil {
			return false
		}
		handle(s)
		return true
	}}
	client := &peer.Client{Dial: pipeDial(t.Context(), server)}
	t.Cleanup(client.Close)
	s, err := client.Open(t.Context(), "a", &wire.Request{Body: &wire.Request_RelayOpen{RelayOpen: &wire.RelayOpen{}}})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

// Messages of a stream arrive in both directions, in order, at the same time.
func TestStreamCarriesMessagesBothWays(t *testing.T) {
	const messages = 50
	s := startStream(t, func(s *peer.Stream) {
		for {
			var in wire.RelayCalls
			if s.Receive(&in, 0) != nil {
				return
			}
			_ = s.Send(&wire.RelayResults{Results: []*wire.RelayResult{{Id: in.GetCalls()[0].GetId()}}}, time.Second)
		}
	})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range int64(messages) {
			assert.Check(t, s.Send(&wire.RelayCalls{Calls: []*wire.RelayCall{{Id: i}}}, time.Second))
		}
	})
	for i := range int64(messages) {
		var out wire.RelayResults
		assert.NilError(t, s.Receive(&out, 10*time.Second))
		assert.Equal(t, out.GetResults()[0].GetId(), i)
	}
	wg.Wait()
}

// A call of Receive ends when its timeout passes, and when the stream is closed meanwhile.
func TestReceiveEnds(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	s := startStream(t, func(*peer.Stream) { <-done })
	var m wire.RelayResults
	assert.Check(t, s.Receive(&m, 10*time.Millisecond) != nil)
	ended := make(chan error, 1)
	go func() { ended <- s.Receive(&m, 0) }()
	time.AfterFunc(50*time.Millisecond, s.Close)
	select {
	case err := <-ended:
		assert.Check(t, err != nil)
	case <-time.After(3 * time.Second):
		t.Fatal("Receive did not end with the stream")
	}
	assert.Check(t, s.Receive(&m, 0) != nil)
}

// A server that supports streams still serves calls.
func TestCallsBesideStreams(t *testing.T) {
	server := &peer.Server{Handle: echo, HandleStream: func(context.Context, *wire.Request, *peer.Stream) bool { return false }}
	client := peer.Client{Dial: pipeDial(t.Context(), server)}
	defer client.Close()
	res, _, err := client.Call(t.Context(), "a", fetch(5))
	assert.NilError(t, err)
	assert.Equal(t, res.GetConfig().GetRevision(), int64(5))
}
