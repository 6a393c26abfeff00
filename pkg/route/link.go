package route

import (
	"context"
	"net"
	"net/http"
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
	heard   atomic.Bool // a byte has arrived
	lost    atomic.Bool // a PING was not answered
	retired bool        // takes no new requests; guarded by links.mu
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

// get returns a connection with the least requests in flight, and opens one if none is usable.
func (l *links) get(ctx context.Context, s *server) (*link, error) {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return nil, errClosed
		}
		l.sweepLocked()
		if ln := l.bestLocked(); ln != nil {
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

// sweepLocked drops closed connections and closes retired ones that are idle.
func (l *links) sweepLocked() {
	kept := l.open[:0]
	for _, ln := range l.open {
		if ln.retired && ln.conn.InFlight() == 0 {
			_ = ln.conn.Close()
		}
		if ln.conn.Err() == nil {
			kept = append(kept, ln)
		}
	}
	clear(l.open[len(kept):])
	l.open = kept
}

func (l *links) bestLocked() *link {
	var best *link
	for _, ln := range l.open {
		if ln.retired || ln.conn.Available() == 0 {
			continue
		}
		if best == nil || ln.conn.InFlight() < best.conn.InFlight() {
			best = ln
		}
	}
	return best
}

// connect opens a connection for all callers that wait for it.
func (l *links) connect(s *server, d *dial) {
	ln, err := s.connect()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.closed {
		_ = ln.conn.Close()
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
		_ = ln.conn.Close()
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
	n := DefaultConnections
	if r.Connections > 0 {
		n = r.Connections
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
	ln := &link{address: address}
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
			return &heardConn{Conn: conn, link: ln}, nil
		},
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingInterval,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
			CountError: func(kind string) {
				if kind == "conn_close_lost_ping" && ln.lost.CompareAndSwap(false, true) {
					r.count(func(st *Stats) { st.SilentConnections++ })
				}
			},
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

// heardConn notes that a byte has arrived.
type heardConn struct {
	net.Conn
	link *link
}

func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.heard.Store(true)
	}
	return n, err
}
