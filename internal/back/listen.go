package back

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/plat"
)

const (
	shutdownTimeout = 2 * time.Second

	// maxFrozenInput is the number of bytes that a frozen connection still accepts, about the size of a
	// socket buffer. Without it a writer to a net.Pipe would block on its first byte, unlike a writer to
	// a TCP connection whose peer is unresponsive.
	maxFrozenInput = 64 << 10

	// maxStreams is higher than any number of slots, so that the server rejects excess requests with a
	// response instead of letting them wait for a stream.
	maxStreams = 1024
)

// Serve registers the server and serves requests from l until ctx ends. It then finishes the requests in
// progress and deregisters the server.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.once.Do(s.initialize)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:   s.Handler(),
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.conns.listen(l, s.MaxConnections)) }()

	registerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.register(registerCtx, plat.StateLive) })
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
	}
	cancel()
	wg.Wait()
	return errors.CombineErrors(err, s.shutDown(ctx, server))
}

// shutDown registers the server as leaving, finishes the requests in progress, closes the connections
// and registers the server as gone. Frozen connections never become idle and are closed by server.Close.
func (s *Server) shutDown(ctx context.Context, server *http.Server) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	ctx = context.WithoutCancel(ctx)
	_ = s.updateState(ctx, plat.StateLeaving)
	s.drain()
	stop, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		_ = server.Close()
	}
	return s.updateState(ctx, plat.StateGone)
}

func (s *Server) updateState(ctx context.Context, state string) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	return s.register(ctx, state)
}

// connKey is the context key for the connection of a request.
type connKey struct{}

// connSet is the set of open connections that are not frozen.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func (s *connSet) listen(l net.Listener, limit int) net.Listener {
	return &listener{Listener: l, set: s, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// freeze permanently stops reading from and writing to all open connections except one.
func (s *connSet) freeze(except *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c == except {
			continue
		}
		close(c.frozen)
		c.releaseSlot()
		go c.discardInput()
		delete(s.open, c)
	}
}

func (s *connSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*conn]struct{})
	}
	s.open[c] = struct{}{}
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// listener accepts a limited number of connections. Further connections wait until one is closed or
// frozen.
type listener struct {
	net.Listener
	set       *connSet
	slots     chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// Accept waits until the number of connections is below the limit, and then for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	inner, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	c := &conn{Conn: inner, frozen: make(chan struct{}), closed: make(chan struct{})}
	c.releaseSlot = sync.OnceFunc(func() { <-l.slots })
	c.cleanUp = sync.OnceFunc(func() {
		close(c.closed)
		l.set.remove(c)
		c.releaseSlot()
	})
	l.set.add(c)
	return c, nil
}

// Close closes the listener. Accepted connections stay open.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// conn is a connection that can be frozen. A frozen connection does not count against the limit of its
// listener, because it does not notice when the peer closes it and would otherwise count forever.
type conn struct {
	net.Conn
	frozen      chan struct{}
	closed      chan struct{}
	releaseSlot func()
	cleanUp     func()
}

// Read reads from the connection. If the connection is frozen, it blocks until Close.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.blockIfFrozen() {
		return 0, io.ErrClosedPipe
	}
	return n, err
}

// Write writes to the connection. If the connection is frozen, it blocks until Close.
func (c *conn) Write(p []byte) (int, error) {
	if c.blockIfFrozen() {
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(p)
}

// discardInput reads and discards up to maxFrozenInput bytes, which the socket buffers of a real network
// would still accept from the peer.
func (c *conn) discardInput() {
	_, _ = io.CopyN(io.Discard, c.Conn, maxFrozenInput)
}

// blockIfFrozen returns false immediately if the connection is not frozen. Otherwise it blocks until
// Close and then returns true.
func (c *conn) blockIfFrozen() bool {
	select {
	case <-c.frozen:
		<-c.closed
		return true
	default:
		return false
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.cleanUp()
	return c.Conn.Close()
}
