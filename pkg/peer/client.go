package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Outcome states whether a call was executed, as far as the caller knows.
type Outcome int

const (
	// Answered means that the complete response arrived.
	Answered Outcome = iota
	// NotSent means that no byte of the call was sent, so that it cannot have been executed.
	NotSent
	// Unknown means that the call may or may not have been executed.
	Unknown
)

const (
	dialTimeout        = time.Second
	defaultCallTimeout = 2 * time.Second
)

// Client calls other instances over one connection per address. Set the fields before the first call.
type Client struct {
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// MaxInFlight limits the calls in flight to one address; 0 means DefaultMaxInFlight.
	MaxInFlight int

	mu          sync.Mutex
	connections map[string]*connection
	closed      bool
}

// connection is the connection to one address; session is nil until the first call.
type connection struct {
	slots   chan struct{}
	mu      sync.Mutex
	session *session
}

// Call sends req to the instance at address and waits for the response until ctx is done. If
// ctx has no deadline, the timeout is 2 s.
func (c *Client) Call(ctx context.Context, address string, req *wire.Request) (*wire.Response, Outcome, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	conn, err := c.connection(address)
	if err != nil {
		return nil, NotSent, err
	}
	select {
	case conn.slots <- struct{}{}:
		defer func() { <-conn.slots }()
	default:
		return nil, NotSent, errors.Newf("peer: too many calls in progress to %s", address)
	}
	stream, err := c.openStream(ctx, conn, address)
	if err != nil {
		return nil, NotSent, err
	}
	defer func() { _ = stream.Close() }()
	return roundTrip(ctx, stream, req)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

func roundTrip(ctx context.Context, stream *stream, req *wire.Request) (*wire.Response, Outcome, error) {
	if err := ctx.Err(); err != nil {
		return nil, NotSent, errors.Wrap(err, "peer: call ended before it was sent")
	}
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(expired) })
	defer stop()

	if remaining := time.Until(deadline).Milliseconds(); req.DeadlineMs == 0 && remaining > 0 {
		req.DeadlineMs = remaining
	}
	if err := WriteMessage(stream, req); err != nil {
		return nil, Unknown, err
	}
	var res wire.Response
	if err := ReadMessage(stream, &res); err != nil {
		return nil, Unknown, err
	}
	return &res, Answered, nil
}

func (c *Client) connection(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("peer: client is closed")
	}
	if c.connections == nil {
		c.connections = make(map[string]*connection)
	}
	conn, ok := c.connections[address]
	if !ok {
		conn = &connection{slots: make(chan struct{}, c.maxInFlight())}
		c.connections[address] = conn
	}
	return conn, nil
}

func (c *Client) maxInFlight() int {
	if c.MaxInFlight > 0 {
		return c.MaxInFlight
	}
	return DefaultMaxInFlight
}

// openStream opens a stream, on a new connection if there is none or it has been closed.
func (c *Client) openStream(ctx context.Context, conn *connection, address string) (*stream, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.session != nil && !conn.session.IsClosed() {
		if st, err := conn.session.open(); err == nil {
			return st, nil
		}
		_ = conn.session.Close()
	}
	netConn, err := c.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: unable to connect to %s", address)
	}
	s, err := newSession(netConn, yamux.Client)
	if err != nil {
		_ = netConn.Close()
		return nil, errors.Wrapf(err, "peer: unable to open session with %s", address)
	}
	conn.session = s
	st, err := s.open()
	return st, errors.Wrapf(err, "peer: unable to open stream to %s", address)
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Disconnect closes the connection to the instance at address, for example once it is gone.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	conn := c.connections[address]
	delete(c.connections, address)
	c.mu.Unlock()
	if conn != nil {
		conn.close()
	}
}

// Close closes all connections; calls that were already sent end with Unknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	connections := c.connections
	c.connections = nil
	c.mu.Unlock()
	for _, conn := range connections {
		conn.close()
	}
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		_ = c.session.Close()
	}
}
