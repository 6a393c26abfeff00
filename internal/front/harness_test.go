package front_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/front"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/route"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

const (
	slots = 2

	// testTimeout fails a test that hangs; no other result depends on it.
	testTimeout = 30 * time.Second
)

// harness runs a Server with a real router, one backend server on loopback and a fake store.
type harness struct {
	t       *testing.T
	server  *front.Server
	handler http.Handler
	store   fake.Table
	backend back.Server

	// While holdRequests is set, requests block in the backend server: each one sends to held and
	// then waits until release is closed.
	holdRequests atomic.Bool
	held         chan struct{}
	release      chan struct{}

	notReady    atomic.Pointer[string]
	clockOffset atomic.Int64 // added to the time of the clock, in nanoseconds
}

func newHarness(t *testing.T, limits queue.Limits) *harness {
	h := &harness{t: t, held: make(chan struct{}, slots), release: make(chan struct{})}
	h.backend.Slots = slots
	h.backend.Routes = map[string]back.ServiceTime{"r": {}, "small": {}, "once": {}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	backendServer := &http.Server{Handler: h.holdMiddleware(h.backend.Handler()), Protocols: protocols}
	router := &route.Router{Instance: "e1"}
	router.SetPeerCount(1)
	router.UpdateBackends([]route.Backend{{Name: "b1", Address: l.Addr().String(), Slots: slots, Connections: 4}})
	replica := &config.Replica{}
	replica.Apply(config.Update{Revision: 1, Full: true, Changes: []config.Change{
		documentChange(`{"kind":"route","name":"r","deadline_ms":3600000}`),
		documentChange(`{"kind":"route","name":"small","max_body_bytes":4}`),
		documentChange(`{"kind":"route","name":"once","non_idempotent":true,"deadline_ms":3600000}`),
	}})
	dispatcher := &front.Dispatcher{Router: router, Limits: front.Limits{Queue: limits}, Now: h.now}
	dispatcher.Init()
	group, dedup := h.newDeduplicator("e1")
	h.server = &front.Server{
		Name: "e1", Config: replica, Dispatcher: dispatcher, Router: router, Once: dedup, Now: h.now,
		RecordEvent:      func(event.Event) {},
		ObserveQueueWait: func(string, time.Duration) {},
		NotReadyReason:   func() string { return *h.notReady.Load() },
		OperatorToken:    func() (string, error) { return "", nil },
	}
	h.setNotReady("")
	h.handler = h.server.Handler()
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	var wg sync.WaitGroup
	wg.Go(func() { _ = backendServer.Serve(l) })
	wg.Go(func() { _ = dispatcher.Run(ctx) })
	wg.Go(func() { _ = group.Run(ctx) })
	t.Cleanup(func() {
		// Drain waits until responses are recorded, so the store must accept writes again.
		h.store.SetFault(nil)
		h.server.Drain(context.Background())
		cancel()
		_ = backendServer.Close()
		wg.Wait()
	})
	return h
}

func documentChange(text string) config.Change {
	doc, faults := config.Parse("test", []byte(text))
	if len(faults) > 0 {
		panic(faults[0].String())
	}
	return config.Change{VersionedDocument: config.VersionedDocument{Document: doc}}
}

// newDeduplicator returns the deduplicator of an instance and the group committer that the caller
// must run for it.
func (h *harness) newDeduplicator(name string) (*table.GroupCommitter, *once.Deduplicator) {
	client := h.store.Client(name)
	group := &table.GroupCommitter{Commit: client.Commit}
	return group, &once.Deduplicator{
		Instance: name, Commit: group.Do, ReadRow: client.ReadRow, ReadRows: client.ReadRows,
		PutObject: client.PutObject, GetObject: client.GetObject, DeleteObject: client.DeleteObject,
	}
}

func (h *harness) now() time.Time {
	return time.Now().Add(time.Duration(h.clockOffset.Load()))
}

func (h *harness) setNotReady(reason string) {
	h.notReady.Store(&reason)
}

func (h *harness) holdMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if h.holdRequests.Load() && strings.HasPrefix(req.URL.Path, "/run/") {
			h.held <- struct{}{}
			<-h.release
		}
		next.ServeHTTP(w, req)
	})
}

// post sends one request; headers are given as name, value, ...
func (h *harness) post(ctx context.Context, path, body string, headers ...string) *httptest.ResponseRecorder {
	return h.do(ctx, http.MethodPost, "/v1/requests/"+path, strings.NewReader(body), append([]string{front.HeaderUser, "u"}, headers...)...)
}

func (h *harness) do(ctx context.Context, method, path string, body io.Reader, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, method, path, body)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	rec := httptest.NewRecorder()
	h.handler.ServeHTTP(rec, req)
	return rec
}

// pendingResponse receives the response to a request that was sent in the background.
type pendingResponse chan *httptest.ResponseRecorder

func (h *harness) send(ctx context.Context, path, body string, headers ...string) pendingResponse {
	p := make(pendingResponse, 1)
	go func() { p <- h.post(ctx, path, body, headers...) }()
	return p
}

func (h *harness) await(p pendingResponse) *httptest.ResponseRecorder {
	h.t.Helper()
	select {
	case rec := <-p:
		return rec
	case <-time.After(testTimeout):
		h.t.Fatal("no answer")
		return nil
	}
}

// occupySlots takes all slots with requests that block in the backend server.
func (h *harness) occupySlots(path string, headers ...string) []pendingResponse {
	h.holdRequests.Store(true)
	var running []pendingResponse
	for range slots {
		running = append(running, h.send(context.Background(), path, "x", headers...))
		<-h.held
	}
	return running
}

// releaseHeld unblocks all requests that block in the backend server.
func (h *harness) releaseHeld() {
	h.holdRequests.Store(false)
	close(h.release)
}

func (h *harness) eventually(failure string, condition func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatal(failure)
		}
	}
}

func (h *harness) awaitQueueLength(n int64) {
	h.t.Helper()
	h.eventually("the queue does not reach the expected length", func() bool {
		return h.server.Dispatcher.Stats().Class[queue.Normal].Waiting == n
	})
}

// awaitIdle waits until no request is queued or running and all slots are free again, so that a
// slot or queue entry that leaked fails the test. A backend server that is leaving has no free slots.
func (h *harness) awaitIdle() {
	h.t.Helper()
	h.eventually("a slot or a queue entry leaked", func() bool {
		s := h.server.Dispatcher.Stats().Class[queue.Normal]
		b := h.server.Router.Snapshot()[0]
		free := h.server.Router.FreeSlots() == slots || b.ReportedLeaving
		return free && b.Used == 0 && s.Waiting == 0 && s.RunningCost == 0
	})
}

func (h *harness) runCount() int {
	return len(h.backend.RunCounts().Requests)
}

// checkResponse checks status, outcome and headers; a refusal with status 429 or 503 must have a
// Retry-After header, and no other response may have one.
func checkResponse(t *testing.T, rec *httptest.ResponseRecorder, status int, outcome route.Outcome) {
	t.Helper()
	h := rec.Header()
	assert.Equal(t, rec.Code, status, rec.Body.String())
	assert.Equal(t, h.Get(front.HeaderOutcome), string(outcome), h.Get(front.HeaderReason))
	assert.Equal(t, h.Get(front.HeaderInstance), "e1")
	assert.Assert(t, h.Get(front.HeaderRequestID) != "")
	assert.Assert(t, outcome == route.Answered || h.Get(front.HeaderReason) != "")
	wantRetryAfter := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	assert.Equal(t, h.Get("Retry-After") != "", wantRetryAfter)
}
