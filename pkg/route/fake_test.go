package route_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// fake is a backend server whose log proves how often each request ran.
type fake struct {
	t           *testing.T
	name        string
	mu          sync.Mutex
	runs        map[string]int
	incarnation int64
	leaving     bool
	polls       int
	// handle answers a run; nil echoes the id.
	handle func(w http.ResponseWriter, r *http.Request)
	server *http.Server
}

func newFake(t *testing.T, name string) *fake {
	f := &fake{t: t, name: name, runs: make(map[string]int), incarnation: 1}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run/{route}", f.run)
	mux.HandleFunc("GET /health", f.health)
	f.server = &http.Server{Handler: mux, Protocols: protocols}
	return f
}

func (f *fake) run(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.runs[r.Header.Get("Request-Id")]++
	handle := f.handle
	f.mu.Unlock()
	assert.Check(f.t, r.Header.Get("Idempotency-Key") == "")
	if handle != nil {
		handle(w, r)
		return
	}
	reply(w, r, http.StatusOK, "done")
}

func reply(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// refuse answers that the request did not run and takes it out of the log.
func (f *fake) refuse(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.runs[r.Header.Get("Request-Id")]--
	f.mu.Unlock()
	w.Header().Set("Run-State", "not-run")
	reply(w, r, http.StatusServiceUnavailable, "")
}

func (f *fake) health(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	state := "live"
	if f.leaving {
		state = "leaving"
	}
	_, _ = fmt.Fprintf(w, `{"state":%q,"slots":8,"busy":0,"incarnation":%d}`, state, f.incarnation)
}

func (f *fake) ran(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// listen serves on a loopback port and returns its entry in the instance list.
func (f *fake) listen() route.Backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	go func() { _ = f.server.Serve(l) }()
	f.t.Cleanup(func() { _ = f.server.Close() })
	return f.backend(l.Addr().String())
}

func (f *fake) backend(address string) route.Backend {
	return route.Backend{Name: f.name, Address: address, Slots: 8, Connections: 60, Incarnation: 1}
}

func request(id string) route.Request {
	return route.Request{ID: id, Route: "r", Class: "normal", Deadline: time.Now().Add(10 * time.Second)}
}

func send(t *testing.T, r *route.Router, req route.Request) route.Answer {
	slot, ok := r.Acquire(req.Route)
	assert.Assert(t, ok)
	return r.Do(t.Context(), slot, req)
}
