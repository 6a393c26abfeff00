package conns_test

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/conns"
)

// newPool returns a pool, and the connections that it has opened.
func newPool(idle time.Duration) (*conns.Pool, *[]net.Conn) {
	var opened []net.Conn
	return &conns.Pool{
		Dial: func(string, time.Time) (net.Conn, error) {
			c, _ := net.Pipe()
			opened = append(opened, c)
			return c, nil
		},
		MaxPerExecutor: 3, IdleTimeout: idle,
	}, &opened
}

func get(t *testing.T, p *conns.Pool, id string, incarnation int64) *conns.Conn {
	t.Helper()
	c, err := p.Get(id, "a", incarnation, time.Time{})
	assert.NilError(t, err)
	return c
}

func isClosed(c net.Conn) bool { return c.SetDeadline(time.Time{}) != nil }

// A call for one incarnation gets a connection to it, although one to a later or an unknown one was used since.
func TestConnectionToIncarnationComesFirst(t *testing.T) {
	p, opened := newPool(time.Hour)
	first, second, third := get(t, p, "x", 0), get(t, p, "x", 0), get(t, p, "x", 0)
	second.Incarnation = 5
	for _, c := range []*conns.Conn{second, first, third} {
		p.Put(c, true)
	}
	assert.Equal(t, get(t, p, "x", 5), second)
	assert.Equal(t, get(t, p, "x", 5), third, "the most recently used one, to be tried")
	assert.Equal(t, len(*opened), 3)
}

// Connections to other incarnations are of no use: a call on one would only time out. The start time of the next
// incarnation can be the earlier one.
func TestConnectionsToOtherIncarnationsAreClosed(t *testing.T) {
	for _, next := range []int64{2, 8} {
		p, _ := newPool(time.Hour)
		first, second, third := get(t, p, "x", 0), get(t, p, "x", 0), get(t, p, "x", 0)
		first.Incarnation, second.Incarnation, third.Incarnation = 5, 5, next
		p.Put(first, true)
		p.Put(second, false)
		assert.Assert(t, !isClosed(first) && isClosed(second))
		p.Put(third, true)
		assert.Assert(t, isClosed(first) && !isClosed(third))
		assert.Equal(t, get(t, p, "x", next), third)
		p.Put(third, true)
		assert.Equal(t, get(t, p, "x", 7).Incarnation, int64(0))
		assert.Assert(t, isClosed(third))
	}
}

// A connection that breaks says nothing about the others.
func TestBrokenConnectionLeavesOthersOpen(t *testing.T) {
	p, _ := newPool(time.Hour)
	live, dead := get(t, p, "x", 0), get(t, p, "x", 0)
	live.Incarnation, dead.Incarnation = 2, 1
	p.Put(live, true)
	p.Put(dead, false)
	assert.Assert(t, !isClosed(live) && isClosed(dead))
}

// Another executor at the address, or another address of the executor, is another process.
func TestConnectionsOfExecutorsAreKeptApart(t *testing.T) {
	p, opened := newPool(time.Hour)
	p.Put(get(t, p, "x", 0), true)
	p.Put(get(t, p, "y", 0), true)
	assert.Equal(t, len(*opened), 2)
}

// The limit counts connections in use and idle ones, and those that could not be opened no more.
func TestNumberOfConnectionsIsLimited(t *testing.T) {
	p, _ := newPool(time.Hour)
	dial := p.Dial
	p.Dial = func(string, time.Time) (net.Conn, error) { return nil, net.ErrClosed }
	for range 5 {
		_, err := p.Get("x", "a", 0, time.Time{})
		assert.ErrorIs(t, err, net.ErrClosed)
	}
	p.Dial = dial
	first := get(t, p, "x", 0)
	_, _ = get(t, p, "x", 0), get(t, p, "x", 0)
	_, err := p.Get("x", "a", 0, time.Time{})
	assert.Assert(t, errors.Is(err, conns.ErrTooMany))
	p.Put(first, false)
	assert.Assert(t, isClosed(first))
	get(t, p, "x", 0)
}

// Guards against a pool that opens no more connections: each one that is closed makes room, whatever closes it.
func TestClosedConnectionsMakeRoom(t *testing.T) {
	for name, closing := range map[string]func(p *conns.Pool, all []*conns.Conn){
		"broken":            func(*conns.Pool, []*conns.Conn) {},
		"other incarnation": func(p *conns.Pool, all []*conns.Conn) { all[2].Incarnation = 9; p.Put(all[2], true) },
		"call for another":  func(p *conns.Pool, all []*conns.Conn) { p.Put(all[2], true) },
		"idle":              func(p *conns.Pool, _ []*conns.Conn) { p.IdleTimeout = time.Nanosecond; p.Put(get(t, p, "y", 0), true) },
	} {
		p, opened := newPool(time.Hour)
		p.Put(get(t, p, "y", 0), true) // the first call sweeps
		all := []*conns.Conn{get(t, p, "x", 0), get(t, p, "x", 0), get(t, p, "x", 0)}
		for _, c := range all[:2] {
			c.Incarnation = 5
			p.Put(c, name != "broken")
		}
		closing(p, all)
		wanted := int64(9)
		for range 2 {
			_, err := p.Get("x", "a", wanted, time.Time{})
			assert.NilError(t, err, name)
		}
		assert.Assert(t, len(*opened) <= 6, name)
	}
}

// Connections that are not used are closed in the end.
func TestIdleConnectionsAreClosed(t *testing.T) {
	p, opened := newPool(time.Nanosecond)
	p.Put(get(t, p, "x", 0), true)
	p.Put(get(t, p, "y", 0), true)
	assert.Assert(t, isClosed((*opened)[0]) && !isClosed((*opened)[1]))
	p.Put(get(t, p, "x", 0), true)
	assert.Equal(t, len(*opened), 3)
}
