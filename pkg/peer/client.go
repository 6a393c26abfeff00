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

// Outcome says what is known of a call.
type Outcome int

const (
	// Answered means that the whole answer arrived.
	Answered Outcome = iota
	// NotSent means that no byte of the call reached the other instance.
	NotSent
	// Unknown means that the call may have been carried out.
	Unknown
)

const (
	dialTimeout        = time.Second
	defaultCallTimeout = 2 * time.Second
)

// Client calls other instances over one connection each; set the fields before the first call.
type Client struct {
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// MaxInFlight bounds the calls in progress to one address; 0 means DefaultMaxInFlight.
	MaxInFlight int

	mu    sync.Mutex
	links map[string]*link
	shut  bool
}

// link is the connection to one address.
type link struct {
	slots   chan struct{}
	mu      sync.Mutex
	session *yamux.Session
}

// Call sends req to the instance at address and waits for the answer or the end of ctx.
func (c *Client) Call(ctx context.Context, address string, req *wire.Request) (*wire.Response, Outcome, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	ln, err := c.link(address)
	if err != nil {
		return nil, NotSent, err
	}
	select {
	case ln.slots <- struct{}{}:
		defer func() { <-ln.slots }()
	default:
		return nil, NotSent, errors.Newf("peer: too many calls in progress to %s", address)
	}
	stream, err := c.open(ctx, ln, address)
	if err != nil {
		return nil, NotSent, err
	}
	defer func() { _ = stream.Close() }()
	return exchange(ctx, stream, req)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

func exchange(ctx context.Context, stream *yamux.Stream, req *wire.Request) (*wire.Response, Outcome, error) {
	if err := ctx.Err(); err != nil {
		return nil, NotSent, errors.Wrap(err, "peer: call ended before it was sent")
	}
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	if left := time.Until(deadline).Milliseconds(); req.DeadlineMs == 0 && left > 0 {
		req.DeadlineMs = left
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

func (c *Client) link(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return nil, errors.New("peer: client is closed")
	}
	if c.links == nil {
		c.links = make(map[string]*link)
	}
	ln, ok := c.links[address]
	if !ok {
		ln = &link{slots: make(chan struct{}, c.inFlight())}
		c.links[address] = ln
	}
	return ln, nil
}

func (c *Client) inFlight() int {
	if c.MaxInFlight > 0 {
		return c.MaxInFlight
	}
	return DefaultMaxInFlight
}

// open returns a new stream, on a new connection if the present one has closed.
func (c *Client) open(ctx context.Context, ln *link, address string) (*yamux.Stream, error) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.session != nil && !ln.session.IsClosed() {
		if stream, err := ln.session.OpenStream(); err == nil {
			return stream, nil
		}
		_ = ln.session.Close()
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: unable to connect to %s", address)
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "peer: unable to open session with %s", address)
	}
	ln.session = session
	stream, err := session.OpenStream()
	return stream, errors.Wrapf(err, "peer: unable to open stream to %s", address)
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

// Disconnect closes the connection to an instance that is gone.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	ln := c.links[address]
	delete(c.links, address)
	c.mu.Unlock()
	if ln != nil {
		ln.close()
	}
}

// Close closes all connections; calls in progress end with Unknown.
func (c *Client) Close() {
	c.mu.Lock()
	c.shut = true
	links := c.links
	c.links = nil
	c.mu.Unlock()
	for _, ln := range links {
		ln.close()
	}
}

func (ln *link) close() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.session != nil {
		_ = ln.session.Close()
	}
}
