package back_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/plat"
)

// pipeListener is a listener whose connections are created by net.Pipe.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	p <- serverEnd
	return clientEnd, nil
}

// serve runs s on a pipeListener. It returns an HTTP/2 client and a function that shuts s down.
func serve(t *testing.T, s *back.Server) (client *http.Client, shutDown func()) {
	t.Helper()
	l := make(pipeListener, 8)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Serve(ctx, l) }()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{DialContext: l.dial, Protocols: protocols}
	return &http.Client{Transport: transport}, func() {
		cancel()
		assert.NilError(t, <-done)
		transport.CloseIdleConnections()
	}
}

// withoutConnections returns a client like c that has no open connections.
func withoutConnections(c *http.Client) *http.Client {
	return &http.Client{Transport: c.Transport.(*http.Transport).Clone()}
}

func newServer() *back.Server {
	return &back.Server{
		Name: "b1", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 2, Seed: 1,
		Routes: map[string]back.ServiceTime{"r": {Min: time.Second, Mean: time.Second}},
	}
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// deadline is the time that every request may take.
const deadline = 5 * time.Second

func send(client *http.Client, id, body string) response {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://b1/run/r", strings.NewReader(body))
	r.Header.Set(back.RequestIDHeader, id)
	r.Header.Set(back.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set(back.IdempotencyKeyHeader, "key-"+id)
	res, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return response{err: err}
	}
	return response{status: res.StatusCode, header: res.Header, body: string(got)}
}

// sendAsync sends a request without waiting for the response.
func sendAsync(client *http.Client, id string) <-chan response {
	got := make(chan response, 1)
	go func() { got <- send(client, id, "") }()
	return got
}

// Guards against running more requests than slots, and against reporting a request that ran as not run.
func TestExcessRequestsDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		client, shutDown := serve(t, s)
		defer shutDown()
		first, second := sendAsync(client, "q1"), sendAsync(client, "q2")
		synctest.Wait()
		got := send(client, "q3", "")
		assert.Equal(t, got.status, 503)
		assert.Equal(t, got.header.Get(back.RunStateHeader), back.NotRun)
		assert.Equal(t, got.header.Get(back.ServerStateHeader), "")
		assert.Equal(t, (<-first).status, 200)
		assert.Equal(t, (<-second).status, 200)
		assert.DeepEqual(t, s.RunCounts().Requests, map[string]int{"q1": 1, "q2": 1})
	})
}

// Guards against a shutdown that aborts requests in progress, accepts new ones or leaves the server in
// the instance list as live.
func TestShutdownFinishesRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var platform plat.Server
		s := newServer()
		s.PlatformURL = "http://platform"
		s.Client = &http.Client{Transport: plat.HandlerTransport{Handler: platform.Handler()}}
		listed := func() string {
			w := httptest.NewRecorder()
			platform.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/v1/instances", nil))
			return w.Body.String()
		}
		client, shutDown := serve(t, s)
		first := sendAsync(client, "q1")
		synctest.Wait()
		assert.Assert(t, strings.Contains(listed(), `"state":"live"`))
		go func() {
			synctest.Wait()
			assert.Check(t, strings.Contains(listed(), `"state":"leaving"`))
			got := send(client, "q2", "")
			assert.Check(t, got.status == 503 && got.header.Get(back.RunStateHeader) == back.NotRun)
			assert.Check(t, got.header.Get(back.ServerStateHeader) == "leaving")
		}()
		done := make(chan response, 1)
		go func() { done <- <-first }()
		shutDown()
		got := <-done
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "q1\n")
		assert.Equal(t, got.header.Get(back.ServerStateHeader), "leaving")
		assert.Assert(t, strings.Contains(listed(), `"state":"gone"`))
		assert.DeepEqual(t, s.RunCounts().Requests, map[string]int{"q1": 1})
	})
}

// Guards against a frozen connection that sends a response after all, or that still counts against the
// connection limit.
func TestFrozenConnectionsStayFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		s.MaxConnections = 1
		client, shutDown := serve(t, s)
		defer shutDown()
		assert.Equal(t, send(client, "q1", "").status, 200)
		pending := sendAsync(client, "q2")
		synctest.Wait()
		s.SetFaults(back.Faults{FreezeConnections: true})
		assert.ErrorContains(t, send(client, "q3", "").err, "deadline")
		assert.ErrorContains(t, (<-pending).err, "deadline")
		assert.DeepEqual(t, s.RunCounts().Requests, map[string]int{"q1": 1, "q2": 1})

		assert.Equal(t, send(withoutConnections(client), "q4", "").status, 200)
	})
}

// Guards against more open connections than the limit.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		s.MaxConnections = 1
		l := make(pipeListener)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx, l) }()
		first, _ := l.dial(ctx, "", "")
		synctest.Wait()
		select {
		case l <- first:
			t.Fatal("accepted a second connection")
		default:
		}
		assert.NilError(t, first.Close())
		second, _ := l.dial(ctx, "", "")
		assert.NilError(t, second.Close())
		cancel()
		assert.NilError(t, <-done)
	})
}

// Guards against injected faults without the documented effect.
func TestResponseFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   back.Faults
		status   int // 0 if there is no complete response
		duration time.Duration
	}{
		{"none", back.Faults{}, 200, time.Second},
		{"slow", back.Faults{DelayMs: 500}, 200, 1500 * time.Millisecond},
		{"fail", back.Faults{ErrorRate: 1}, 500, time.Second},
		{"truncated", back.Faults{TruncationRate: 1}, 0, time.Second},
		{"late", back.Faults{RespondLate: true}, 0, deadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer()
				client, shutDown := serve(t, s)
				defer shutDown()
				s.SetFaults(c.faults)
				began := time.Now()
				got := send(client, "q1", "hello")
				assert.Equal(t, time.Since(began), c.duration)
				assert.Equal(t, got.err != nil, c.status == 0)
				assert.Equal(t, got.status, c.status)
				assert.Equal(t, s.RunCounts().Requests["q1"], 1)
			})
		})
	}
}

// Guards against service times that differ from their distribution, or between runs with the same seed.
func TestServiceTimeDistribution(t *testing.T) {
	means := map[uint64]time.Duration{}
	for _, seed := range []uint64{1, 2, 1} {
		synctest.Test(t, func(t *testing.T) {
			s := &back.Server{Seed: seed, Routes: map[string]back.ServiceTime{"r": {Min: time.Second, Mean: 3 * time.Second}}}
			began := time.Now()
			for range 2000 {
				last := time.Now()
				post(s, "q", "1", "", "r", "")
				assert.Assert(t, time.Since(last) >= time.Second)
			}
			mean := time.Since(began) / 2000
			assert.Assert(t, (mean-3*time.Second).Abs() < 300*time.Millisecond, "seed %d: %v", seed, mean)
			assert.Equal(t, cmp.Or(means[seed], mean), mean)
			means[seed] = mean
		})
	}
	assert.Assert(t, means[1] != means[2])
}

// post calls the handler with a request, without a connection.
func post(s *back.Server, id, deadline, key, route, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", "/run/r", strings.NewReader(body))
	r.URL.Path = "/run/" + route
	r.Header.Set(back.RequestIDHeader, id)
	r.Header.Set(back.DeadlineHeader, deadline)
	r.Header.Set(back.IdempotencyKeyHeader, key)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

// Guards against running a request whose body exceeds the limit.
func TestBodyLimit(t *testing.T) {
	s := &back.Server{Routes: map[string]back.ServiceTime{"r": {}}}
	assert.Equal(t, post(s, "q1", "1", "", "r", strings.Repeat("x", 1<<20)).Code, 200)
	assert.Equal(t, post(s, "q2", "1", "", "r", strings.Repeat("x", 1<<20+1)).Code, 413)
	assert.DeepEqual(t, s.RunCounts().Requests, map[string]int{"q1": 1})
}

// Guards against malformed headers that crash the server, and against running a rejected request.
func FuzzRun(f *testing.F) {
	f.Fuzz(func(t *testing.T, id, deadline, key, route, body string) {
		s := &back.Server{Routes: map[string]back.ServiceTime{"r": {}}}
		w := post(s, id, deadline, key, route, body)
		ran := w.Code == 200
		assert.Equal(t, s.RunCounts().Requests[id] == 1, ran, "status %d", w.Code)
		assert.Assert(t, !ran || w.Body.String() == string(back.ResponseBody(id, []byte(body))))
		if w.Code == 400 || w.Code == 413 {
			assert.Equal(t, w.Header().Get(back.RunStateHeader), back.NotRun)
		}
	})
}
