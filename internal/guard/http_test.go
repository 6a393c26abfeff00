package guard_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/daisyrack/daisyrack/internal/guard"
)

// testServer serves guarded requests: /read reads the body, other paths do not; /hold waits for release.
type testServer struct {
	t       *testing.T
	guard   *guard.Guard
	address string
	release chan struct{}

	mu    sync.Mutex
	errs  []error
	lines int
}

func startServer(t *testing.T, limits guard.Limits) *testServer {
	s := &testServer{t: t, release: make(chan struct{})}
	s.guard = &guard.Guard{Name: "test", Limits: limits, Log: &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(*log.Entry) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lines++
		return nil
	})}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = l.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	l = s.guard.Listen(l, true)
	s.guard.Configure(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/read":
		if err := guard.Hold(r, 4096); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, err := io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errs = append(s.errs, err)
	case "/hold":
		<-s.release
	}
}

// exchange opens a connection, sends text and returns a reader of the responses.
func (s *testServer) exchange(text string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, text)
	assert.NilError(s.t, err)
	return c, bufio.NewReader(c)
}

func (s *testServer) status(text string) (status int, closes bool) {
	s.t.Helper()
	_, in := s.exchange(text)
	res, err := http.ReadResponse(in, nil)
	assert.NilError(s.t, err)
	_, err = io.ReadAll(res.Body)
	assert.NilError(s.t, err)
	if res.Close {
		_, err = in.ReadByte()
		assert.Assert(s.t, err != nil, "the connection is open after a response that announces its end")
	}
	return res.StatusCode, res.Close
}

// waitUnused waits until nothing is counted any more.
func (s *testServer) waitUnused() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		var out bytes.Buffer
		s.guard.WriteMetrics(&out)
		for _, name := range []string{"connections", "requests", "held_bytes"} {
			if !strings.Contains(out.String(), fmt.Sprintf("guard_%s{listener=\"test\"} 0\n", name)) {
				return poll.Continue("%s", out.String())
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against reading bodies that no handler reads, which a client can hold open, and against closing the
// connections of clients whose body was read.
func TestUnreadBodiesCloseTheConnection(t *testing.T) {
	s := startServer(t, guard.Limits{})
	for text, closes := range map[string]bool{
		"GET /x HTTP/1.1\r\nHost: h\r\n\r\n":                                      false,
		"POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc":          false,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na":               true,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n":           true,
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na": true,
		"DELETE /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n":              true,
	} {
		status, closed := s.status(text)
		assert.Check(t, status == http.StatusOK && closed == closes, "%q: %d, closed: %t", text, status, closed)
	}
}

// Guards against heads with so many fields that they take a hundred times their size, complete or not.
func TestManyHeaderFieldsAreRefused(t *testing.T) {
	s := startServer(t, guard.Limits{HeaderFields: 20})
	head := "GET /x HTTP/1.1\r\nHost: h\r\n"
	status, _ := s.status(head + strings.Repeat("a: b\r\n", 15) + "\r\n")
	assert.Equal(t, status, http.StatusOK)
	for _, text := range []string{strings.Repeat("a: b\r\n", 25), strings.Repeat("a: b\r\n", 25) + "\r\n"} {
		status, closed := s.status(head + text)
		assert.Check(t, status == http.StatusRequestHeaderFieldsTooLarge && closed, "%d, closed: %t", status, closed)
	}
	// The lines of a body are no fields.
	body := strings.Repeat("\n", 3000)
	status, _ = s.status(fmt.Sprintf("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	assert.Equal(t, status, http.StatusOK)
	// The server reads the second of two heads at once with the first one.
	_, in := s.exchange(head + "\r\n" + head + strings.Repeat("a: b\r\n", 25) + "\r\n")
	for _, want := range []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		res, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, want)
	}
}

// Guards against a sender that stops in the middle of a body, or sends a byte now and then, and is waited for.
func TestSlowBodiesEnd(t *testing.T) {
	s := startServer(t, guard.Limits{Stall: 100 * time.Millisecond, BytesPerSecond: 1000})
	const head = "POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
	for _, pause := range []time.Duration{time.Minute, 10 * time.Millisecond} {
		c, in := s.exchange(head)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 100 {
				time.Sleep(min(pause, time.Second))
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
			}
		}()
		res, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Assert(t, res.Close)
		_ = c.Close()
		<-done
	}
	s.waitUnused()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.errs), 2)
	for _, err := range s.errs {
		assert.ErrorContains(t, err, "timeout")
	}
}

// Guards against requests, connections and bytes beyond the budget, refusals that are no responses, and more than one
// log line for a source in a second.
func TestBudgetsRefuseAndAreReleased(t *testing.T) {
	s := startServer(t, guard.Limits{Connections: 8, Requests: 2, HeldBytes: 5000})
	begun := time.Now()
	const head = " HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
	held, _ := s.exchange("POST /hold" + head)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var out bytes.Buffer
		s.guard.WriteMetrics(&out)
		if strings.Contains(out.String(), `guard_requests{listener="test"} 1`) {
			return poll.Success()
		}
		return poll.Continue("the request does not run")
	}, poll.WithDelay(5*time.Millisecond))
	status, closed := s.status("POST /x" + head)
	assert.Check(t, status == http.StatusServiceUnavailable && closed)
	close(s.release)
	_ = held.Close()
	s.waitUnused()
	// Two bodies of 4096 bytes do not fit: the newer one makes room, or is refused.
	var crowd []net.Conn
	for range 5 {
		c, _ := s.exchange("POST /read" + head)
		crowd = append(crowd, c)
	}
	for range 20 {
		c, _ := s.exchange("")
		crowd = append(crowd, c)
	}
	var out bytes.Buffer
	s.guard.WriteMetrics(&out)
	assert.Check(t, !strings.Contains(out.String(), `guard_connections{listener="test"} 9`), "%s", out.String())
	for _, c := range crowd {
		_ = c.Close()
	}
	s.waitUnused()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Check(t, s.lines >= 1 && s.lines <= int(time.Since(begun).Seconds())+2, "%d lines", s.lines)
}

// Guards against connections without a byte that keep other instances out, and against closing the connection of an
// instance that was silent for some time to make room for them.
func TestSilentPeersMakeRoomFirst(t *testing.T) {
	g := &guard.Guard{Name: "peers", Limits: guard.Limits{Connections: 3}, Log: &log.Logger{Handler: discard.New()}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l = g.Listen(l, false)
	t.Cleanup(func() { _ = l.Close() })
	connect := func(text string) (client, server net.Conn) {
		client, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		server, err = l.Accept()
		assert.NilError(t, err)
		_, err = io.WriteString(client, text)
		assert.NilError(t, err)
		if text != "" {
			_, err = server.Read(make([]byte, 8))
			assert.NilError(t, err)
		}
		return client, server
	}
	peer, served := connect("hello")
	silent, _ := connect("")
	time.Sleep(1100 * time.Millisecond) // a connection counts as stalled after 1 s
	_, _ = connect("hello")
	assert.NilError(t, silent.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = silent.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	_, err = io.WriteString(served, "still here")
	assert.NilError(t, err)
	_, err = peer.Read(make([]byte, 1))
	assert.NilError(t, err)
}
