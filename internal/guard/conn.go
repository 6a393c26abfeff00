package guard

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// sendBufferBytes limits what the kernel keeps of responses that a client does not read. A response to a client
	// has less than 1 KB.
	sendBufferBytes = 32 << 10

	// refusalTimeout limits the write of a refusal to a connection that was just opened, whose send buffer is empty.
	refusalTimeout = 10 * time.Millisecond

	// closeDelay is how long a connection whose body was not read stays half open: a connection that is closed with
	// data unread is reset, and the client may lose the response. Go's server waits as long.
	closeDelay = 500 * time.Millisecond

	connectionRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headRefusal       = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

type listener struct {
	net.Listener
	guard   *Guard
	respond bool
}

// Accept returns the next connection that is within the budget.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
	}
}

func (l *listener) admit(nc net.Conn) net.Conn {
	c := &conn{Conn: nc, guard: l.guard, http: l.respond}
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		host = nc.RemoteAddr().String()
	}
	c.member = &Member{Source: host, Close: func() { _ = c.closeNow() }}
	victims, ok := l.guard.budget.Open(c.member, l.guard.now())
	l.guard.evict(victims)
	if ok {
		if tcp, isTCP := nc.(*net.TCPConn); isTCP && l.respond {
			_ = tcp.SetWriteBuffer(sendBufferBytes)
		}
		return c
	}
	l.guard.report(host, CauseConnections)
	if l.respond {
		_ = nc.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(nc, connectionRefusal)
	}
	_ = nc.Close()
	return nil
}

// conn is a connection in a budget. With http it tells heads of requests from the rest.
type conn struct {
	net.Conn
	guard  *Guard
	http   bool
	member *Member

	// abandoned is set when the rest of the body is not read and the connection closes after the response.
	abandoned atomic.Bool
	closeOnce sync.Once
	head      headScanner
}

// Read counts the bytes of heads, and ends connections whose head has too many fields or does not fit the budget.
func (c *conn) Read(p []byte) (int, error) {
	if c.abandoned.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	g := c.guard
	phase := g.budget.Phase(c.member)
	switch {
	case !c.http:
		// An instance keeps its connection to another one open. Only one without any byte is stalled.
		if phase == Head {
			g.budget.Enter(c.member, Idle, g.now())
		}
		return n, err
	case phase != Idle && phase != Head:
		return n, err
	case phase == Idle:
		c.head = headScanner{}
	}
	size := c.head.scan(p[:n])
	g.budget.Enter(c.member, Head, g.now())
	if limit := g.Limits.HeaderFields; limit > 0 && c.head.fields > limit {
		return 0, c.refuseHead(headRefusal, CauseHeaderFields)
	}
	victims, ok := g.budget.Hold(c.member, int64(size), g.now())
	g.evict(victims)
	if !ok {
		return 0, c.refuseHead(connectionRefusal, CauseHeldBytes)
	}
	return n, err
}

// refuseHead responds to a request whose head is not complete. The server does not respond after io.EOF.
func (c *conn) refuseHead(response, cause string) error {
	c.guard.report(c.member.Source, cause)
	_, _ = io.WriteString(c, response)
	c.abandoned.Store(true)
	return io.EOF
}

// Write writes to a client that has to read within the time limit.
func (c *conn) Write(p []byte) (int, error) {
	g := c.guard
	if !c.http {
		return c.Conn.Write(p)
	}
	phase := g.budget.Phase(c.member)
	g.budget.Enter(c.member, Response, g.now())
	if d := g.Limits.Stall; d > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(d))
	}
	n, err := c.Conn.Write(p)
	g.budget.Enter(c.member, phase, g.now())
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.report(c.member.Source, CauseStalled)
	}
	return n, err
}

// CloseWrite shuts down the writing side, as a TCP connection does.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection, with a delay if the rest of a body was not read.
func (c *conn) Close() error {
	if !c.abandoned.Load() {
		return c.closeNow()
	}
	c.guard.budget.Enter(c.member, Closing, c.guard.now())
	c.guard.budget.End(c.member)
	time.AfterFunc(closeDelay, func() { _ = c.closeNow() })
	return c.CloseWrite()
}

func (c *conn) closeNow() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.guard.budget.Remove(c.member)
	})
	return err
}

// headScanner counts the lines of the head of a request as it arrives.
type headScanner struct {
	fields int
	// empty is set while the present line has no bytes yet, done after the head.
	begun, empty, done bool
}

// scan counts the lines of p that belong to the head and returns how many bytes of p do.
func (s *headScanner) scan(p []byte) int {
	if s.done {
		return 0
	}
	for i, b := range p {
		switch {
		case b == '\n' && s.empty && s.begun:
			s.done = true
			return i + 1
		case b == '\n':
			s.fields++
			s.empty, s.begun = true, true
		case b != '\r':
			s.empty = false
		}
	}
	return len(p)
}
