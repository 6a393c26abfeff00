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
	leaveTimeout = 2 * time.Second

	// frozenBuffer is about a socket buffer. Without it a writer over net.Pipe would block
	// with its first byte, which no writer to a silent TCP connection does.
	frozenBuffer = 64 << 10

	// maxStreams is above any number of slots, so that the server refuses work in words
	// instead of leaving it waiting for a stream.
	maxStreams = 1024
)

// Serve registers the server and serves l until ctx ends; then it finishes the work in progress and deregisters.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.once.Do(s.start)
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

	life, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.announce(life, plat.StateLive) })
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
	}
	cancel()
	wg.Wait()
	return errors.CombineErrors(err, s.leave(ctx, server))
}

// leave tells the platform, finishes the work in progress and closes the connections;
// frozen ones never become idle and are closed by force.
func (s *Server) leave(ctx context.Context, server *http.Server) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	ctx = context.WithoutCancel(ctx)
	_ = s.tell(ctx, plat.StateLeaving)
	s.drain()
	stop, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		_ = server.Close()
	}
	return s.tell(ctx, plat.StateGone)
}

func (s *Server) tell(ctx context.Context, state string) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return s.announce(ctx, state)
}

// connKey is the context key of the connection that a call came over.
type connKey struct{}

// connSet holds the open connections, so that they can be frozen.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func (c *connSet) listen(l net.Listener, limit int) net.Listener {
	return &listener{Listener: l, set: c, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// freeze stops the reading and writing of all open connections but one for good.
func (c *connSet) freeze(except *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		if k == except {
			continue
		}
		close(k.frozen)
		k.free()
		go k.drop()
		delete(c.open, k)
	}
}

func (c *connSet) add(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*conn]struct{})
	}
	c.open[k] = struct{}{}
}

func (c *connSet) remove(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, k)
}

// listener accepts a bounded number of connections; further ones wait to be accepted.
type listener struct {
	net.Listener
	set   *connSet
	slots chan struct{}
	stop  sync.Once
	done  chan struct{}
}

// Accept waits for a free place and then for a connection.
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
	k := &conn{Conn: inner, frozen: make(chan struct{}), closed: make(chan struct{})}
	k.free = sync.OnceFunc(func() { <-l.slots })
	k.shut = sync.OnceFunc(func() {
		close(k.closed)
		l.set.remove(k)
		k.free()
	})
	l.set.add(k)
	return k, nil
}

// Close closes the listener; connections stay open.
func (l *listener) Close() error {
	l.stop.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// conn is a connection that can be frozen. A frozen one gives back its place:
// it notices no close of the other side and would hold the place for ever.
type conn struct {
	net.Conn
	frozen chan struct{}
	closed chan struct{}
	free   func()
	shut   func()
}

// Read reads, or blocks until Close when the connection is frozen.
func (k *conn) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if k.silent() {
		return 0, io.ErrClosedPipe
	}
	return n, err
}

// Write writes, or blocks until Close when the connection is frozen.
func (k *conn) Write(p []byte) (int, error) {
	if k.silent() {
		return 0, io.ErrClosedPipe
	}
	return k.Conn.Write(p)
}

// drop takes what the buffers of a network would still take from the other side.
func (k *conn) drop() {
	_, _ = io.CopyN(io.Discard, k.Conn, frozenBuffer)
}

// silent returns false at once on a working connection, and true after the close of a frozen one.
func (k *conn) silent() bool {
	select {
	case <-k.frozen:
		<-k.closed
		return true
	default:
		return false
	}
}

// Close closes the connection.
func (k *conn) Close() error {
	k.shut()
	return k.Conn.Close()
}
