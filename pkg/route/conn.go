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

// writeTimeout is how long a pending write may make no progress before the connection is closed.
const writeTimeout = 2 * time.Second

// clientConn is one HTTP/2 connection. net/http checks it with PINGs, even when it is idle, and
// never retries a request on another connection.
type clientConn struct {
	h2                 *http.ClientConn
	address            string
	openedAt           time.Time
	lastReadAfter      atomic.Int64 // time of the last successful read, in nanoseconds after openedAt
	hasRead            atomic.Bool  // at least one byte has been read
	ioFailed           atomic.Bool  // a read or write has failed
	closedLocally      atomic.Bool  // closed by this package
	closedUnresponsive atomic.Bool  // closed by net/http because it was unresponsive
	retired            bool         // accepts no new requests; guarded by connPool.mu
}

// unresponsive reports whether nothing has been read for pingTimeout, although no read or write
// has failed and the connection was not closed by this package.
func (c *clientConn) unresponsive() bool {
	silence := time.Since(c.openedAt) - time.Duration(c.lastReadAfter.Load())
	return silence >= pingTimeout && !c.ioFailed.Load() && !c.closedLocally.Load()
}

// endedUnresponsive reports whether the connection ended because it was unresponsive. net/http ends
// the requests before it closes the connection, so closedUnresponsive alone would be set too late.
func (c *clientConn) endedUnresponsive() bool {
	closing := c.h2.Err() != nil && c.unresponsive()
	return closing || c.closedUnresponsive.Load()
}

func (c *clientConn) close() {
	c.closedLocally.Store(true)
	_ = c.h2.Close()
}

// connPool holds the connections to one backend server.
type connPool struct {
	mu      sync.Mutex
	conns   []*clientConn
	dialing *pendingDial
	closed  bool
}

type pendingDial struct {
	done chan struct{}
	err  error
}

// reserve returns a connection with a stream reserved on it, and opens one if none is usable.
// RoundTrip or Release of the http.ClientConn ends the reservation.
func (p *connPool) reserve(ctx context.Context, s *server) (*clientConn, error) {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, errClosed
		}
		p.removeClosedLocked()
		if conn := p.reserveLocked(); conn != nil {
			p.mu.Unlock()
			return conn, nil
		}
		if p.dialing == nil && len(p.conns) >= s.maxConnections() {
			p.mu.Unlock()
			return nil, errNoConnection
		}
		if p.dialing == nil {
			p.dialing = &pendingDial{done: make(chan struct{})}
			go p.open(s, p.dialing)
		}
		d := p.dialing
		p.mu.Unlock()
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

// removeClosedLocked removes closed connections and closes idle ones that accept no new requests.
func (p *connPool) removeClosedLocked() {
	kept := p.conns[:0]
	for _, conn := range p.conns {
		// After a GOAWAY, net/http closes the connection only when a stream ends, so an idle one
		// would stay open.
		unusable := conn.retired || conn.h2.Available() == 0
		if unusable && conn.h2.InFlight() == 0 {
			conn.close()
		}
		if conn.h2.Err() == nil {
			kept = append(kept, conn)
		}
	}
	clear(p.conns[len(kept):])
	p.conns = kept
}

// reserveLocked returns the usable connection with the fewest requests in flight, with a stream
// reserved on it, so that the request does not wait for a free stream.
func (p *connPool) reserveLocked() *clientConn {
	slices.SortFunc(p.conns, func(a, b *clientConn) int { return a.h2.InFlight() - b.h2.InFlight() })
	for _, conn := range p.conns {
		if !conn.retired && conn.h2.Reserve() == nil {
			return conn
		}
	}
	return nil
}

// open opens a connection for all callers that wait for d.
func (p *connPool) open(s *server, d *pendingDial) {
	conn, err := s.dial()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		conn.close()
		err = errClosed
	}
	if err == nil {
		p.conns = append(p.conns, conn)
	}
	d.err = err
	p.dialing = nil
	close(d.done)
}

// retire stops the use of the present connections for new requests. They are closed once idle.
func (p *connPool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.retired = true
	}
	p.removeClosedLocked()
}

// close closes all connections, including those in use.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.conns {
		conn.close()
	}
	p.conns = nil
}

func (p *connPool) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeClosedLocked()
	return len(p.conns)
}

// maxConnections returns the maximum number of connections of this instance to the server. The
// server's own limit is divided among all entry instances.
func (s *server) maxConnections() int {
	r := s.router
	r.mu.Lock()
	defer r.mu.Unlock()
	n := DefaultMaxConnections
	if r.MaxConnections > 0 {
		n = r.MaxConnections
	}
	if s.Connections > 0 {
		n = min(n, s.Connections/max(r.peerCount.current, 1))
	}
	return max(n, 1)
}

func (s *server) dial() (*clientConn, error) {
	r := s.router
	r.mu.Lock()
	address := s.Address
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), orDefault(r.DialTimeout, DefaultDialTimeout))
	defer cancel()
	conn := &clientConn{address: address, openedAt: time.Now()}
	h2, err := s.transport(conn).NewClientConn(ctx, "http", address)
	if err != nil {
		r.updateStats(func(st *Stats) { st.DialFailures++ })
		return nil, errors.Wrapf(err, "route: unable to connect to %s", address)
	}
	conn.h2 = h2
	r.updateStats(func(st *Stats) { st.ConnectionsOpened++ })
	return conn, nil
}

// transport returns a transport for a single connection. The connection pool of net/http is not
// used, because it retries some requests on its own.
func (s *server) transport(client *clientConn) *http.Transport {
	r := s.router
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			raw, err := r.dial(ctx, address)
			if err != nil {
				return nil, err
			}
			watched := &watchedConn{Conn: raw, conn: client, onUnresponsive: func() {
				r.updateStats(func(st *Stats) { st.SilentConnections++ })
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

// watchedConn detects whether net/http closed the connection because it was unresponsive. net/http
// does not report that: HTTP2Config.CountError is not called for a lost PING in Go 1.26.
type watchedConn struct {
	net.Conn
	conn           *clientConn
	onUnresponsive func()
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.conn.lastReadAfter.Store(int64(time.Since(c.conn.openedAt)))
		c.conn.hasRead.Store(true)
	}
	if err != nil {
		c.conn.ioFailed.Store(true)
	}
	return n, err
}

func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.conn.ioFailed.Store(true)
	}
	return n, err
}

// Close closes the connection. A close after pingTimeout without a byte read and without a read or
// write error counts as one of an unresponsive connection.
func (c *watchedConn) Close() error {
	if c.conn.unresponsive() && c.conn.closedUnresponsive.CompareAndSwap(false, true) {
		c.onUnresponsive()
	}
	return c.Conn.Close()
}
