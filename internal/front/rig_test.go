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

	// hang ends a test that makes no progress; no verdict depends on it.
	hang = 30 * time.Second
)

// rig is a Front with a real router and one backend server on loopback.
type rig struct {
	t       *testing.T
	front   *front.Server
	handler http.Handler
	store   fake.Table
	backend back.Server

	// gated lets requests wait at the backend server: each one sends to entered and then waits
	// for the close of release.
	gated   atomic.Bool
	entered chan struct{}
	release chan struct{}

	notReady atomic.Pointer[string]
	ahead    atomic.Int64 // of the clock
}

func newRig(t *testing.T, limits queue.Limits) *rig {
	r := &rig{t: t, entered: make(chan struct{}, slots), release: make(chan struct{})}
	r.backend.Slots = slots
	r.backend.Routes = map[string]back.ServiceTime{"r": {}, "small": {}, "once": {}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: r.gate(r.backend.Handler()), Protocols: protocols}
	router := &route.Router{Instance: "e1"}
	router.SetPeerCount(1)
	router.UpdateBackends([]route.Backend{{Name: "b1", Address: l.Addr().String(), Slots: slots, Connections: 4}})
	holder := &config.Replica{}
	holder.Apply(config.Update{Revision: 1, Full: true, Changes: []config.Change{
		document(`{"kind":"route","name":"r","deadline_ms":3600000}`),
		document(`{"kind":"route","name":"small","max_body_bytes":4}`),
		document(`{"kind":"route","name":"once","non_idempotent":true,"deadline_ms":3600000}`),
	}})
	dispatcher := &front.Dispatcher{Router: router, Limits: front.Limits{Queue: limits}, Now: r.now}
	dispatcher.Init()
	group, register := r.register("e1")
	r.front = &front.Server{
		Name: "e1", Config: holder, Dispatcher: dispatcher, Router: router, Once: register, Now: r.now,
		RecordEvent:      func(event.Event) {},
		ObserveQueueWait: func(string, time.Duration) {},
		NotReadyReason:   func() string { return *r.notReady.Load() },
		OperatorToken:    func() (string, error) { return "", nil },
	}
	r.setReady("")
	r.handler = r.front.Handler()
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(l) })
	wg.Go(func() { _ = dispatcher.Run(ctx) })
	wg.Go(func() { _ = group.Run(ctx) })
	t.Cleanup(func() {
		// The drain waits for records, so the store must take them again.
		r.store.SetFault(nil)
		r.front.Drain(context.Background())
		cancel()
		_ = server.Close()
		wg.Wait()
	})
	return r
}

func document(text string) config.Change {
	doc, faults := config.Parse("test", []byte(text))
	if len(faults) > 0 {
		panic(faults[0].String())
	}
	return config.Change{VersionedDocument: config.VersionedDocument{Document: doc}}
}

// register returns the once register of an instance; its group must run.
func (r *rig) register(name string) (*table.Group, *once.Register) {
	client := r.store.Client(name)
	group := &table.Group{Commit: client.Commit}
	return group, &once.Register{
		Holder: name, Do: group.Do, Row: client.Row, Rows: client.Rows,
		PutObject: client.PutObject, Object: client.Object, DeleteObject: client.DeleteObject,
	}
}

func (r *rig) now() time.Time {
	return time.Now().Add(time.Duration(r.ahead.Load()))
}

func (r *rig) setReady(reason string) {
	r.notReady.Store(&reason)
}

func (r *rig) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.gated.Load() && strings.HasPrefix(req.URL.Path, "/run/") {
			r.entered <- struct{}{}
			<-r.release
		}
		next.ServeHTTP(w, req)
	})
}

// post sends one request; headers are given as name, value, ...
func (r *rig) post(ctx context.Context, path, body string, headers ...string) *httptest.ResponseRecorder {
	return r.call(ctx, http.MethodPost, "/v1/requests/"+path, strings.NewReader(body), append([]string{front.HeaderUser, "u"}, headers...)...)
}

func (r *rig) call(ctx context.Context, method, path string, body io.Reader, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, method, path, body)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	rec := httptest.NewRecorder()
	r.handler.ServeHTTP(rec, req)
	return rec
}

// pending is a request that was sent in the background.
type pending chan *httptest.ResponseRecorder

func (r *rig) send(ctx context.Context, path, body string, headers ...string) pending {
	p := make(pending, 1)
	go func() { p <- r.post(ctx, path, body, headers...) }()
	return p
}

func (r *rig) answerOf(p pending) *httptest.ResponseRecorder {
	r.t.Helper()
	select {
	case rec := <-p:
		return rec
	case <-time.After(hang):
		r.t.Fatal("no answer")
		return nil
	}
}

// fill takes all slots with requests that wait at the backend server.
func (r *rig) fill(path string, headers ...string) []pending {
	r.gated.Store(true)
	var running []pending
	for range slots {
		running = append(running, r.send(context.Background(), path, "x", headers...))
		<-r.entered
	}
	return running
}

// open lets all requests at the backend server go on.
func (r *rig) open() {
	r.gated.Store(false)
	close(r.release)
}

func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(hang); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal(what)
		}
	}
}

func (r *rig) waiting(n int64) {
	r.t.Helper()
	r.eventually("the queue does not have the expected length", func() bool {
		return r.front.Dispatcher.Stats().Class[queue.Normal].Waiting == n
	})
}

// idle checks that no slot and no place of the queue is lost. A server that leaves has no free slots.
func (r *rig) idle() {
	r.t.Helper()
	r.eventually("a slot or a place of the queue is lost", func() bool {
		s := r.front.Dispatcher.Stats().Class[queue.Normal]
		b := r.front.Router.Snapshot()[0]
		free := r.front.Router.FreeSlots() == slots || b.ReportedLeaving
		return free && b.Used == 0 && s.Waiting == 0 && s.RunningCost == 0
	})
}

func (r *rig) runs() int {
	return len(r.backend.Runs().Requests)
}

// check compares status and outcome, and that a refusal says when to come back.
func check(t *testing.T, rec *httptest.ResponseRecorder, status int, outcome route.Outcome) {
	t.Helper()
	h := rec.Header()
	assert.Equal(t, rec.Code, status, rec.Body.String())
	assert.Equal(t, h.Get(front.HeaderOutcome), string(outcome), h.Get(front.HeaderReason))
	assert.Equal(t, h.Get(front.HeaderInstance), "e1")
	assert.Assert(t, h.Get(front.HeaderRequestID) != "")
	assert.Assert(t, outcome == route.Answered || h.Get(front.HeaderReason) != "")
	later := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	assert.Equal(t, h.Get("Retry-After") != "", later)
}
