package back_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/back"
)

// pipes is a listener whose connections are net.Pipe.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p <- far
	return near, nil
}

// serve runs s over pipes and returns a client of HTTP/2 and the function that ends s.
func serve(t *testing.T, s *back.Server) (client *http.Client, end func()) {
	t.Helper()
	l := make(pipes, 8)
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

func newServer() *back.Server {
	return &back.Server{
		Name: "b1", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 2, Seed: 1,
		Routes: map[string]back.ServiceTime{"r": {Min: time.Second, Mean: time.Second}},
	}
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func run(client *http.Client, id, body string) answer {
	r, _ := http.NewRequest("POST", "http://b1/run/r", strings.NewReader(body))
	r.Header.Set(back.RequestIDHeader, id)
	r.Header.Set(back.DeadlineHeader, "5000")
	res, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(got), err: err}
}

// Guards against an answer that is not the caller's own.
func TestAnswerEchoesTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		client, end := serve(t, s)
		defer end()
		got := run(client, "q1", "hello")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "q1\nhello")
		assert.Equal(t, got.header.Get(back.RequestIDHeader), "q1")
		assert.DeepEqual(t, s.Runs().Requests, map[string]int{"q1": 1})
	})
}
