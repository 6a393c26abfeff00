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

// Connections to earlier incarnations are of no use: a call on one would only time out.
func TestConnectionsToEarlierIncarnationsAreClosed(t *testing.T) {
	p, _ := newPool(time.Hour)
	first, second, third := get(t, p, "x", 0), get(t, p, "x", 0), get(t, p, "x", 0)
	first.Incarnation, second.Incarnation, third.Incarnation = 1, 1, 2
	p.Put(first, true)
	p.Put(second, true)
	p.Put(third, true)
	assert.Assert(t, isClosed(first) && isClosed(second) && !isClosed(third))
	assert.Equal(t, get(t, p, "x", 1), third, "its response will show the later incarnation")
	p.Put(third, true)
	fourth := get(t, p, "x", 3)
	assert.Assert(t, isClosed(third) && fourth.Incarnation == 0)
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

// Connections that are not used are closed in the end.
func TestIdleConnectionsAreClosed(t *testing.T) {
	p, opened := newPool(time.Nanosecond)
	p.Put(get(t, p, "x", 0), true)
	p.Put(get(t, p, "y", 0), true)
	assert.Assert(t, isClosed((*opened)[0]) && !isClosed((*opened)[1]))
	p.Put(get(t, p, "x", 0), true)
	assert.Equal(t, len(*opened), 3)
}
