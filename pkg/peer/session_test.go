package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// slowCloseConn is a connection whose Close waits for release.
type slowCloseConn struct {
	net.Conn
	closing, release chan struct{}
	once             sync.Once
}

func newSlowCloseConn(conn net.Conn) *slowCloseConn {
	return &slowCloseConn{Conn: conn, closing: make(chan struct{}), release: make(chan struct{})}
}

func (c *slowCloseConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	<-c.release
	return c.Conn.Close()
}

const closeTimeout = time.Second

// ends reports whether done is closed soon, while the connection still closes.
func (c *slowCloseConn) ends(done <-chan struct{}) bool {
	<-c.closing
	select {
	case <-done:
		return true
	case <-time.After(closeTimeout):
		return false
	}
}

// Guards against calls that repeat their read without a pause while their connection closes: on one
// processor they kept the goroutines from running that the close waited for.
func TestCallsEndBeforeTheirConnectionIsClosed(t *testing.T) {
	const calls = 10
	entered := make(chan struct{}, calls)
	hang := func(ctx context.Context, _ *wire.Request) *wire.Response {
		entered <- struct{}{}
		<-ctx.Done()
		return nil
	}
	serve := pipeDial(t.Context(), &peer.Server{Handle: hang})
	var conn *slowCloseConn
	client := peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := serve(ctx, address)
		conn = newSlowCloseConn(c)
		return conn, err
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*closeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			_, outcome, err := client.Call(ctx, "a", fetch(1))
			assert.Check(t, outcome == peer.Unknown)
			assert.Check(t, err != nil)
		})
	}
	for range calls {
		<-entered
	}
	closed := make(chan struct{})
	go func() {
		client.Close()
		close(closed)
	}()
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	assert.Check(t, conn.ends(done), "calls wait for their connection to close")
	close(conn.release)
	<-closed
	<-done
}

// Guards against streams that repeat their read without a pause while their connection closes.
func TestStreamsEndBeforeTheirConnectionIsClosed(t *testing.T) {
	ended := make(chan struct{})
	entered := make(chan struct{})
	server := peer.Server{HandleStream: func(_ context.Context, _ *wire.Request, s *peer.Stream) bool {
		defer close(ended)
		close(entered)
		var req wire.Request
		assert.Check(t, s.Receive(&req, 0) != nil)
		return true
	}}
	clientConn, serverConn := net.Pipe()
	conn := newSlowCloseConn(serverConn)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	served := make(chan struct{})
	go func() {
		server.ServeConn(ctx, conn)
		close(served)
	}()
	client := peer.Client{Dial: func(context.Context, string) (net.Conn, error) { return clientConn, nil }}
	defer client.Close()
	_, err := client.Open(ctx, "a", fetch(1))
	assert.NilError(t, err)
	<-entered
	cancel()
	assert.Check(t, conn.ends(ended), "stream waits for its connection to close")
	close(conn.release)
	<-served
}

// Guards against losing a message that arrived before its connection was closed.
func TestMessageThatArrivedBeforeCloseIsRead(t *testing.T) {
	sent := make(chan struct{})
	server := peer.Server{Handle: echo, HandleStream: func(ctx context.Context, req *wire.Request, s *peer.Stream) bool {
		if req.GetFetchConfig().GetAfterRevision() != 1 {
			return false
		}
		assert.Check(t, s.Send(echo(ctx, req), time.Second))
		close(sent)
		return true
	}}
	serve := pipeDial(t.Context(), &server)
	var conn *slowCloseConn
	client := peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := serve(ctx, address)
		conn = newSlowCloseConn(c)
		return conn, err
	}}
	s, err := client.Open(t.Context(), "a", fetch(1))
	assert.NilError(t, err)
	<-sent
	// The response to a later call arrives after the message.
	_, _, err = client.Call(t.Context(), "a", fetch(2))
	assert.NilError(t, err)
	closed := make(chan struct{})
	go func() {
		client.Close()
		close(closed)
	}()
	<-conn.closing
	var res wire.Response
	assert.NilError(t, s.Receive(&res, closeTimeout))
	assert.Check(t, res.GetConfig().GetRevision() == 1)
	close(conn.release)
	<-closed
}
