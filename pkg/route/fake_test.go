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

// fake is a backend server whose log proves how often each request ran.
type fake struct {
	t           testing.TB
	name        string
	mu          sync.Mutex
	runs        map[string]int
	busy, peak  int
	incarnation int64
	state       string
	handle      func(f *fake, w http.ResponseWriter, r *http.Request) // nil echoes the id
	server      *http.Server
	accept      chan net.Conn
	closed      chan struct{}
	closing     sync.Once
	gates       []*gate
	down        bool
	cutAfter    int64 // bytes after which new connections close; 0 means never
}

func newFake(t testing.TB, name string) *fake {
	f := &fake{t: t, name: name, runs: make(map[string]int), incarnation: 1, state: "live", accept: make(chan net.Conn, 16), closed: make(chan struct{})}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run/{route}", f.run)
	mux.HandleFunc("GET /health", f.health)
	f.server = &http.Server{Handler: mux, Protocols: protocols}
	return f
}

// listen serves on a loopback port and returns its address.
func (f *fake) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	go func() { _ = f.server.Serve(l) }()
	f.t.Cleanup(func() { _ = f.server.Close() })
	return l.Addr().String()
}

func (f *fake) run(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.runs[r.Header.Get("Request-Id")]++
	f.busy++
	f.peak = max(f.peak, f.busy)
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

// reply answers with the request's own id as the body.
func reply(w http.ResponseWriter, r *http.Request, status int) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Content-Length", strconv.Itoa(len(id)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(id))
}

// readAll answers once the whole body has arrived.
func readAll(_ *fake, w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	reply(w, r, http.StatusOK)
}

// status answers with a status and headers, without running the request if it says so.
func status(code int, headers ...string) func(*fake, http.ResponseWriter, *http.Request) {
	return func(f *fake, w http.ResponseWriter, r *http.Request) {
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

func (f *fake) health(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"state":%q,"slots":8,"busy":%d,"incarnation":%d}`, f.state, f.busy, f.incarnation)
}

func (f *fake) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fake) ran(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// Accept, Addr and Close make the fake its own listener of in-memory connections.
func (f *fake) Accept() (net.Conn, error) {
	select {
	case conn := <-f.accept:
		return conn, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

func (f *fake) Addr() net.Addr { return &net.TCPAddr{} }

func (f *fake) Close() error {
	f.closing.Do(func() { close(f.closed) })
	return nil
}

// gate is the client's end of a connection that can go silent or close while it is written to.
type gate struct {
	net.Conn
	silent  atomic.Bool
	written atomic.Int64
	limit   int64
}

func (g *gate) Write(p []byte) (int, error) {
	if g.silent.Load() {
		return len(p), nil
	}
	if g.written.Add(int64(len(p))) > g.limit && g.limit > 0 {
		_ = g.Close()
	}
	return g.Conn.Write(p)
}

func (g *gate) Read(p []byte) (int, error) {
	for {
		n, err := g.Conn.Read(p)
		if err != nil || !g.silent.Load() {
			return n, err
		}
	}
}

// freeze makes the open connections silent; new ones work.
func (f *fake) freeze() { f.each(func(g *gate) { g.silent.Store(true) }) }

// cut closes the open connections.
func (f *fake) cut() { f.each(func(g *gate) { _ = g.Close() }) }

func (f *fake) each(change func(*gate)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.gates {
		change(g)
	}
}

// fixture is a router with in-memory connections to fakes named a, b, ...
type fixture struct {
	*route.Router
	fakes []*fake
	list  []route.Backend
}

// setup starts n fakes and a router that prefers the first name among equals.
// It must run in a synctest bubble.
func setup(t *testing.T, n int) *fixture {
	x := &fixture{}
	byAddress := make(map[string]*fake)
	for i := range n {
		f := newFake(t, string(rune('a'+i)))
		address := fmt.Sprintf("10.0.0.%d:80", i)
		byAddress[address] = f
		x.fakes = append(x.fakes, f)
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
		g := &gate{Conn: near, limit: f.cutAfter}
		f.gates = append(f.gates, g)
		f.accept <- far
		return g, nil
	}
	x.SetPeerCount(1)
	x.UpdateBackends(x.list)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		assert.Check(t, x.Drain(ctx))
		time.Sleep(3 * time.Second) // connections that are being opened
		for _, f := range x.fakes {
			_ = f.server.Close()
		}
	})
	return x
}

// watch runs the health polls until the end of the test.
func (x *fixture) watch(t *testing.T) {
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

func (x *fixture) ran(id string) int {
	n := 0
	for _, f := range x.fakes {
		n += f.ran(id)
	}
	return n
}
