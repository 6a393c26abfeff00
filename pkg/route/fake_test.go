package route_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// fakeBackend is a backend server that counts how often each request ran.
type fakeBackend struct {
	t              testing.TB
	name           string
	mu             sync.Mutex
	runs           map[string]int
	busy, peakBusy int
	incarnation    int64
	state          string
	handle         func(f *fakeBackend, w http.ResponseWriter, r *http.Request) // nil responds with the request ID
	server         *http.Server
	accept         chan net.Conn
	closed         chan struct{}
	closing        sync.Once
	conns          []*faultyConn
	down           bool
	closeAfter     int64 // bytes written after which new connections are closed; 0 means never
}

func newFakeBackend(t testing.TB, name string) *fakeBackend {
	f := &fakeBackend{t: t, name: name, runs: make(map[string]int), incarnation: 1, state: "live", accept: make(chan net.Conn, 16), closed: make(chan struct{})}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run/{route}", f.run)
	mux.HandleFunc("GET /health", f.health)
	f.server = &http.Server{Handler: mux, Protocols: protocols}
	return f
}

// listen serves on a loopback port and returns its address.
func (f *fakeBackend) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	go func() { _ = f.server.Serve(l) }()
	f.t.Cleanup(func() { _ = f.server.Close() })
	return l.Addr().String()
}

func (f *fakeBackend) run(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.runs[r.Header.Get("Request-Id")]++
	f.busy++
	f.peakBusy = max(f.peakBusy, f.busy)
	handle := f.handle
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.busy--
	}()
	assert.Check(f.t, r.Header.Get("Idempotency-Key") == "")
	if handle != nil {
		handle(f, w, r)
		return
	}
	reply(w, r, http.StatusOK)
}

// reply responds with the request's ID as the body.
func reply(w http.ResponseWriter, r *http.Request, status int) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Content-Length", strconv.Itoa(len(id)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(id))
}

// readAll responds once the whole body has arrived.
func readAll(_ *fakeBackend, w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	reply(w, r, http.StatusOK)
}

// status responds with a status and headers. With Run-State not-run, the request does not count as
// run.
func status(code int, headers ...string) func(*fakeBackend, http.ResponseWriter, *http.Request) {
	return func(f *fakeBackend, w http.ResponseWriter, r *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		if w.Header().Get("Run-State") == "not-run" {
			f.mu.Lock()
			f.runs[r.Header.Get("Request-Id")]--
			f.mu.Unlock()
		}
		reply(w, r, code)
	}
}

func (f *fakeBackend) health(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"state":%q,"slots":8,"busy":%d,"incarnation":%d}`, f.state, f.busy, f.incarnation)
}

func (f *fakeBackend) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeBackend) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// Accept, Addr and Close implement net.Listener with in-memory connections.
func (f *fakeBackend) Accept() (net.Conn, error) {
	select {
	case conn := <-f.accept:
		return conn, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

func (f *fakeBackend) Addr() net.Addr { return &net.TCPAddr{} }

func (f *fakeBackend) Close() error {
	f.closing.Do(func() { close(f.closed) })
	return nil
}

// faultyConn is the client's end of a connection. It can become unresponsive, or close after a number
// of bytes written.
type faultyConn struct {
	net.Conn
	silent  atomic.Bool
	written atomic.Int64
	limit   int64
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if c.written.Add(int64(len(p))) > c.limit && c.limit > 0 {
		_ = c.Close()
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// silenceConns makes the open connections unresponsive. New ones work.
func (f *fakeBackend) silenceConns() { f.eachConn(func(conn *faultyConn) { conn.silent.Store(true) }) }

// closeConns closes the open connections.
func (f *fakeBackend) closeConns() { f.eachConn(func(conn *faultyConn) { _ = conn.Close() }) }

func (f *fakeBackend) eachConn(change func(*faultyConn)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		change(conn)
	}
}

// fixture is a router with in-memory connections to fake backends named a, b, ...
type fixture struct {
	*route.Router
	backends []*fakeBackend
	list     []route.Backend
}

// setup starts n fake backends and a router that prefers the first name among equals.
// It must run in a synctest bubble.
func setup(t *testing.T, n int) *fixture {
	x := &fixture{}
	byAddress := make(map[string]*fakeBackend)
	for i := range n {
		f := newFakeBackend(t, string(rune('a'+i)))
		address := fmt.Sprintf("10.0.0.%d:80", i)
		byAddress[address] = f
		x.backends = append(x.backends, f)
		x.list = append(x.list, route.Backend{Name: f.name, Address: address, Slots: 8, Connections: 60, Incarnation: 1})
		go func() { _ = f.server.Serve(f) }()
	}
	x.Router = &route.Router{Instance: "e", Random: func(int) int { return 0 }}
	x.Dial = func(_ context.Context, address string) (net.Conn, error) {
		f := byAddress[address]
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.down {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		conn := &faultyConn{Conn: near, limit: f.closeAfter}
		f.conns = append(f.conns, conn)
		f.accept <- far
		return conn, nil
	}
	x.SetPeerCount(1)
	x.UpdateBackends(x.list)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		assert.Check(t, x.Drain(ctx))
		time.Sleep(3 * time.Second) // wait for connections that are being opened
		for _, f := range x.backends {
			_ = f.server.Close()
		}
	})
	return x
}

// startPolling runs the health polls until the end of the test.
func (x *fixture) startPolling(t *testing.T) {
	go func() { _ = x.Run(t.Context()) }()
	synctest.Wait()
}

func request(id string) route.Request {
	return route.Request{ID: id, Route: "r", Class: "normal", Deadline: time.Now().Add(10 * time.Second)}
}

func (x *fixture) send(t *testing.T, req route.Request) route.Response {
	slot, ok := x.Acquire(req.Route)
	assert.Assert(t, ok)
	return x.Do(t.Context(), slot, req)
}

func (x *fixture) runCount(id string) int {
	n := 0
	for _, f := range x.backends {
		n += f.runCount(id)
	}
	return n
}
