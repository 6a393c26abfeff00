package route

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errNoConnection = errors.New("route: no connection can be opened")
	errClosed       = errors.New("route: router is closed")
)

// writeTimeout closes a connection that takes no byte of a pending write for this long.
const writeTimeout = 2 * time.Second

// link is one HTTP/2 connection. The library checks it with PINGs, idle or not,
// and never repeats a request on another connection.
type link struct {
	conn    *http.ClientConn
	address string
	opened  time.Time
	heardAt atomic.Int64 // when the last byte came, in nanoseconds after opened
	worked  atomic.Bool  // a byte has arrived
	failed  atomic.Bool  // a read or write has failed
	closing atomic.Bool  // closed by this package
	lost    atomic.Bool  // closed by the library because it was silent
	retired bool         // takes no new requests; guarded by links.mu
}

// quiet reports whether no byte has come for a PING's time and nothing else has failed.
func (ln *link) quiet() bool {
	silence := time.Since(ln.opened) - time.Duration(ln.heardAt.Load())
	return silence >= pingTimeout && !ln.failed.Load() && !ln.closing.Load()
}

// silent reports whether the connection closed because it was silent. The library ends the
// requests before it closes the connection, so lost alone would come too late.
func (ln *link) silent() bool {
	closing := ln.conn.Err() != nil && ln.quiet()
	return closing || ln.lost.Load()
}

func (ln *link) close() {
	ln.closing.Store(true)
	_ = ln.conn.Close()
}

// links are the connections to one backend server.
type links struct {
	mu      sync.Mutex
	open    []*link
	dialing *dial
	closed  bool
}

type dial struct {
	done chan struct{}
	err  error
}

// get returns a connection with a stream reserved on it, and opens one if none is usable.
// RoundTrip or Release ends the reservation.
func (l *links) get(ctx context.Context, s *server) (*link, error) {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return nil, errClosed
		}
		l.sweepLocked()
		if ln := l.reserveLocked(); ln != nil {
			l.mu.Unlock()
			return ln, nil
		}
		if l.dialing == nil && len(l.open) >= s.connections() {
			l.mu.Unlock()
			return nil, errNoConnection
		}
		if l.dialing == nil {
			l.dialing = &dial{done: make(chan struct{})}
			go l.connect(s, l.dialing)
		}
		d := l.dialing
		l.mu.Unlock()
		select {
		case <-d.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if d.err != nil {
			return nil, d.err
		}
	}
}

// sweepLocked drops closed connections and closes idle ones that take no new requests.
func (l *links) sweepLocked() {
	kept := l.open[:0]
	for _, ln := range l.open {
		// After a GOAWAY the library closes the connection only if a stream ends later.
		unusable := ln.retired || ln.conn.Available() == 0
		if unusable && ln.conn.InFlight() == 0 {
			ln.close()
		}
		if ln.conn.Err() == nil {
			kept = append(kept, ln)
		}
	}
	clear(l.open[len(kept):])
	l.open = kept
}

// reserveLocked returns the connection with the least requests in flight, and reserves
// a stream on it, so that the request does not wait for the streams of others.
func (l *links) reserveLocked() *link {
	slices.SortFunc(l.open, func(a, b *link) int { return a.conn.InFlight() - b.conn.InFlight() })
	for _, ln := range l.open {
		if !ln.retired && ln.conn.Reserve() == nil {
			return ln
		}
	}
	return nil
}

// connect opens a connection for all callers that wait for it.
func (l *links) connect(s *server, d *dial) {
	ln, err := s.connect()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.closed {
		ln.close()
		err = errClosed
	}
	if err == nil {
		l.open = append(l.open, ln)
	}
	d.err = err
	l.dialing = nil
	close(d.done)
}

// retire stops the use of the present connections; they close once they are idle.
func (l *links) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ln := range l.open {
		ln.retired = true
	}
	l.sweepLocked()
}

// close closes all connections, also those in use.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, ln := range l.open {
		ln.close()
	}
	l.open = nil
}

func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweepLocked()
	return len(l.open)
}

// connections bounds the connections of this instance to the server. The server's own
// bound holds for all entry instances together.
func (s *server) connections() int {
	r := s.router
	r.mu.Lock()
	defer r.mu.Unlock()
	n := DefaultMaxConnections
	if r.MaxConnections > 0 {
		n = r.MaxConnections
	}
	if s.Connections > 0 {
		n = min(n, s.Connections/max(r.peers.n, 1))
	}
	return max(n, 1)
}

func (s *server) connect() (*link, error) {
	r := s.router
	r.mu.Lock()
	address := s.Address
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), orDefault(r.DialTimeout, DefaultDialTimeout))
	defer cancel()
	ln := &link{address: address, opened: time.Now()}
	conn, err := s.transport(ln).NewClientConn(ctx, "http", address)
	if err != nil {
		r.count(func(st *Stats) { st.DialFailures++ })
		return nil, errors.Wrapf(err, "route: unable to connect to %s", address)
	}
	ln.conn = conn
	r.count(func(st *Stats) { st.ConnectionsOpened++ })
	return ln, nil
}

// transport opens one connection only; net/http's own pool, which repeats some requests
// by itself, is not used.
func (s *server) transport(ln *link) *http.Transport {
	r := s.router
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := r.dial(ctx, address)
			if err != nil {
				return nil, err
			}
			watched := &watchedConn{Conn: conn, link: ln, onLost: func() {
				r.count(func(st *Stats) { st.SilentConnections++ })
			}}
			return watched, nil
		},
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingInterval,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
		},
	}
}

func (r *Router) dial(ctx context.Context, address string) (net.Conn, error) {
	if r.Dial != nil {
		return r.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// watchedConn finds out whether the library closed the connection because it was silent.
// The library has no usable notice of that: HTTP2Config.CountError is not called for a
// lost PING in Go 1.26.
type watchedConn struct {
	net.Conn
	link   *link
	onLost func()
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.heardAt.Store(int64(time.Since(c.link.opened)))
		c.link.worked.Store(true)
	}
	if err != nil {
		c.link.failed.Store(true)
	}
	return n, err
}

func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.link.failed.Store(true)
	}
	return n, err
}

// Close notes a close without a read or write error after a PING's time of silence.
func (c *watchedConn) Close() error {
	if c.link.quiet() && c.link.lost.CompareAndSwap(false, true) {
		c.onLost()
	}
	return c.Conn.Close()
}
