package conns

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooMany means that an executor has as many connections as the pool may open.
var ErrTooMany = errors.New("conns: too many connections to the executor")

// Conn is a connection to one incarnation of an executor.
type Conn struct {
	net.Conn
	// Incarnation is the incarnation at the other end as named by a response, 0 before.
	Incarnation int64

	key       string
	idleSince time.Time
}

// Pool keeps connections open between calls. Set the exported fields before the first call.
type Pool struct {
	// Dial opens a connection to an address before the deadline.
	Dial func(address string, deadline time.Time) (net.Conn, error)
	// MaxPerExecutor limits the connections to one executor.
	MaxPerExecutor int
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout time.Duration

	mu sync.Mutex
	// executors holds the connections by ID and address: another executor may take an address.
	executors map[string]*connections
	sweptAt   time.Time
}

// connections are those to one executor. The most recently used idle one is the last.
type connections struct {
	idle []*Conn
	open int
}

// Get returns a connection to an executor for one call: an open one to the given incarnation, or one on which nothing
// has responded yet, or a new one. For incarnation 0 it is any. The caller returns the connection with Put.
func (p *Pool) Get(id, address string, incarnation int64, deadline time.Time) (*Conn, error) {
	key := id + " " + address
	p.mu.Lock()
	c := p.of(key)
	ended := c.removeOthers(incarnation)
	c.open -= len(ended)
	conn := c.take(incarnation)
	full := conn == nil && c.open >= p.MaxPerExecutor
	if conn == nil && !full {
		c.open++
	}
	p.mu.Unlock()
	closeAll(ended)
	switch {
	case conn != nil:
		return conn, nil
	case full:
		return nil, ErrTooMany
	}
	opened, err := p.Dial(address, deadline)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed(key, 1)
		return nil, err
	}
	return &Conn{Conn: opened, key: key}, nil
}

// removeOthers removes the idle connections to other incarnations than the given one, 0 being none, and returns them.
// Start times do not tell which incarnation came first, since the executor's clock may have been set back.
func (c *connections) removeOthers(incarnation int64) []*Conn {
	if incarnation == 0 {
		return nil
	}
	var others []*Conn
	c.idle = slices.DeleteFunc(c.idle, func(conn *Conn) bool {
		other := conn.Incarnation != 0 && conn.Incarnation != incarnation
		if other {
			others = append(others, conn)
		}
		return other
	})
	return others
}

// take removes an idle connection to the given incarnation, or else the most recently used one, and returns it.
func (c *connections) take(incarnation int64) *Conn {
	chosen := len(c.idle) - 1
	for i := chosen; i >= 0 && incarnation != 0; i-- {
		if c.idle[i].Incarnation == incarnation {
			chosen = i
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	conn := c.idle[chosen]
	c.idle = slices.Delete(c.idle, chosen, chosen+1)
	return conn
}

// Put returns a connection after a call. It is kept if the whole response was read, and closed otherwise.
func (p *Pool) Put(conn *Conn, reusable bool) {
	now := time.Now()
	p.mu.Lock()
	c := p.of(conn.key)
	unused := []*Conn{conn}
	if reusable {
		unused = c.removeOthers(conn.Incarnation)
		conn.idleSince = now
		c.idle = append(c.idle, conn)
	}
	p.closed(conn.key, len(unused))
	unused = append(unused, p.sweep(now)...)
	p.mu.Unlock()
	closeAll(unused)
}

// sweep removes connections that were idle for too long and returns them. The caller must hold p.mu.
func (p *Pool) sweep(now time.Time) []*Conn {
	if now.Sub(p.sweptAt) < p.IdleTimeout/2 {
		return nil
	}
	p.sweptAt = now
	var unused []*Conn
	for key, c := range p.executors {
		n := 0 // the connection that was idle for longest is the first
		for n < len(c.idle) && now.Sub(c.idle[n].idleSince) >= p.IdleTimeout {
			n++
		}
		unused = append(unused, c.idle[:n]...)
		c.idle = slices.Delete(c.idle, 0, n)
		p.closed(key, n)
	}
	return unused
}

func closeAll(unused []*Conn) {
	for _, conn := range unused {
		_ = conn.Close() // nothing that was written to it is still waited for
	}
}

// of returns the connections to an executor. The caller must hold p.mu.
func (p *Pool) of(key string) *connections {
	if p.executors == nil {
		p.executors = make(map[string]*connections)
	}
	c := p.executors[key]
	if c == nil {
		c = &connections{}
		p.executors[key] = c
	}
	return c
}

// closed records that n connections were closed or not opened. The caller must hold p.mu.
func (p *Pool) closed(key string, n int) {
	if c := p.executors[key]; c != nil {
		if c.open -= n; c.open == 0 {
			delete(p.executors, key)
		}
	}
}
