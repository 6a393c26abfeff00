package sched_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/rack"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/internal/work"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	domain       = "a"
	platformHost = "platform"
)

// network carries calls to handlers without sockets, with faults for each pair.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[[2]string]bool
	paused   map[string]chan struct{}
	held     map[string]chan struct{}
	calls    sync.WaitGroup
}

// link is the network as seen by one instance.
type link struct {
	net  *network
	from string
}

var errNoRoute = errors.New("connection refused")

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}] || n.cut[[2]string{from, "*"}] || n.cut[[2]string{"*", to}]
}

func (n *network) setCut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = on
}

// pause holds everything that an instance sends or receives, as SIGSTOP does;
// what it had begun to send arrives after resume.
func (n *network) pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[name] = make(chan struct{})
}

func (n *network) resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.paused[name])
	delete(n.paused, name)
}

// hold keeps the commits that an instance sends on their way until release,
// although their sender gives up on them.
func (n *network) hold(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[name] = make(chan struct{})
}

func (n *network) release(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.held[name])
	delete(n.held, name)
}

func (n *network) awake(name string) {
	n.mu.Lock()
	held := n.paused[name]
	n.mu.Unlock()
	if held != nil {
		<-held
	}
}

// RoundTrip carries one call. A cut is silent: the caller waits for its time-out.
func (l *link) RoundTrip(req *http.Request) (*http.Response, error) {
	l.net.awake(l.from)
	l.net.mu.Lock()
	handler := l.net.handlers[req.URL.Host]
	l.net.mu.Unlock()
	if handler == nil {
		return nil, errNoRoute
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	answer := make(chan *http.Response, 1)
	l.net.calls.Go(func() { l.deliver(req, handler, answer) })
	select {
	case res := <-answer:
		l.net.awake(l.from)
		if res == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return res, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func (l *link) deliver(req *http.Request, handler http.Handler, answer chan *http.Response) {
	// Read at once, since a caller that gives up closes the body.
	body, _ := io.ReadAll(req.Body)
	time.Sleep(time.Millisecond)
	l.net.mu.Lock()
	held := l.net.held[l.from]
	l.net.mu.Unlock()
	if held != nil && req.Method == http.MethodPost && req.URL.Host == platformHost {
		<-held
	}
	if l.net.isCut(l.from, req.URL.Host) {
		return
	}
	in := req.Clone(context.Background())
	in.Body = io.NopCloser(bytes.NewReader(body))
	rec := httptest.NewRecorder()
	defer func() {
		if recover() != nil { // The stand-in lost the answer on purpose.
			answer <- nil
		}
	}()
	handler.ServeHTTP(rec, in)
	if !l.net.isCut(l.from, req.URL.Host) {
		answer <- rec.Result()
	}
}

// rig is one failure domain with its stand-ins.
type rig struct {
	t        *testing.T
	ctx      context.Context
	net      *network
	platform *plat.Server
	workers  []*work.Server
	nodes    map[string]*node
	config   *config.Holder
	events   event.Ring
	wg       sync.WaitGroup
}

// node is one candidate for the ownership.
type node struct {
	owner  *sched.Owner
	keeper *lease.Keeper
	cancel context.CancelFunc
	// list follows the platform; a stale one shows no later changes.
	list *lister
}

// lister follows the platform's list like an entry instance does.
type lister struct {
	mu     sync.Mutex
	stale  bool
	newest *table.InstanceList
}

func (l *lister) set(list table.InstanceList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stale {
		l.newest = &list
	}
}

func (l *lister) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = true
}

func (l *lister) get() (table.InstanceList, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest == nil {
		return table.InstanceList{}, false
	}
	return *l.newest, true
}

func newRig(t *testing.T, workers int) *rig {
	r := &rig{
		t:        t,
		net:      &network{handlers: map[string]http.Handler{}, cut: map[[2]string]bool{}, paused: map[string]chan struct{}{}, held: map[string]chan struct{}{}},
		platform: &plat.Server{Seed: 1},
		nodes:    map[string]*node{},
		config:   &config.Holder{},
	}
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(func() {
		if t.Failed() {
			r.dumpStatus()
			r.dump()
		}
		cancel()
		r.platform.SetFaults(plat.Faults{})
		for _, w := range r.workers {
			w.SetFaults(work.Faults{})
		}
		r.wg.Wait()
		r.net.calls.Wait()
	})
	r.events.Clock = &event.Clock{}
	r.config.Apply(config.Page{Whole: true})
	r.net.handlers[platformHost] = r.platform.Handler()
	for i := range workers {
		r.startWorker(i)
	}
	return r
}

func (r *rig) startWorker(i int) {
	w := &work.Server{
		Name:          fmt.Sprintf("w%d", i),
		Address:       fmt.Sprintf("w%d", i),
		Rack:          fmt.Sprintf("rack%d", i/2),
		FailureDomain: domain,
		Capacity:      work.Resources{CPUMillis: 4000, MemoryMB: 4000},
		Seed:          uint64(i),
		Platform:      "http://" + platformHost,
		Client:        &http.Client{Transport: &link{net: r.net, from: fmt.Sprintf("w%d", i)}},
	}
	r.workers = append(r.workers, w)
	r.net.mu.Lock()
	r.net.handlers[w.Name] = w.Handler()
	r.net.mu.Unlock()
	r.wg.Go(func() { _ = w.Run(r.ctx) })
}

// start starts a candidate; a name can be used again after kill.
func (r *rig) start(name string) *node {
	client := &http.Client{Transport: &link{net: r.net, from: name}}
	db := &table.Client{BaseURL: "http://" + platformHost, FailureDomain: domain, HTTP: client}
	n := &node{list: &lister{}}
	r.wg.Go(func() { r.follow(db, n.list) })
	n.keeper = &lease.Keeper{
		FailureDomain: domain,
		Holder:        name,
		Address:       name,
		Row:           db.Row,
		Commit:        db.Commit,
		OnGain:        func(l lease.Lease) { n.owner.OnLeaseAcquired(l) },
		OnLoss:        func(l lease.Lease) { n.owner.OnLeaseLost(l) },
	}
	n.owner = &sched.Owner{
		Name:             name,
		FailureDomain:    domain,
		FailureDomains:   []string{domain},
		LeaseConfirmedAt: n.keeper.Proven,
		Rows:             db.AllRows,
		Row:              db.Row,
		Commit:           db.Commit,
		PutObject:        db.PutObject,
		Object:           db.Object,
		Instances:        n.list.get,
		Config:           r.config,
		WorkerClient:     &agent.Client{HTTP: client},
		RecordEvent:      func(e event.Event) { e.Instance = name; r.events.Add(e) },
		ObserveTaskWait:  func(string, time.Duration) {},
		Log:              &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Now:              time.Now,
	}
	n.owner.Init()
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(r.ctx)
	r.wg.Go(func() { _ = n.owner.Run(ctx) })
	r.wg.Go(func() { _ = n.keeper.Run(ctx) })
	r.nodes[name] = n
	return n
}

func (r *rig) follow(db *table.Client, l *lister) {
	for r.ctx.Err() == nil {
		if list, err := db.Instances(r.ctx); err == nil {
			l.set(list)
		}
		select {
		case <-r.ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// kill ends an instance without any handover: nothing that it sends any more arrives.
func (r *rig) kill(name string) {
	r.net.setCut(name, "*", true)
	r.nodes[name].cancel()
}

// until advances time until done is true, and fails after limit.
func (r *rig) until(what string, limit time.Duration, done func() bool) time.Duration {
	r.t.Helper()
	began := time.Now()
	for !done() {
		if time.Since(began) > limit {
			r.t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// ownerOf returns the instance whose term has recovered, or nil.
func (r *rig) ownerNamed(name string) bool {
	s := r.nodes[name].owner.Status()
	return s != nil && s.Recovered
}

func (r *rig) running() int {
	n := 0
	for _, w := range r.workers {
		for _, run := range w.History().Runs {
			if run.EndMs == 0 {
				n++
			}
		}
	}
	return n
}

func (r *rig) records() []work.Record {
	var records []work.Record
	for _, w := range r.workers {
		records = append(records, w.History())
	}
	return records
}

// holds checks what must hold at any time.
func (r *rig) holds() {
	r.t.Helper()
	_, twice := rack.Overlaps(r.records())
	assert.Equal(r.t, twice, 0, "a task ran in two places at once")
	assert.Equal(r.t, rack.Overcommitted(r.records()), 0, "a worker held more than it has")
}

func (r *rig) publish(jobs ...config.Job) {
	page := config.Page{Revision: r.config.Current().Revision + 1}
	for _, j := range jobs {
		body := mustJSON(r.t, j)
		doc := config.Document{Kind: j.Kind, Name: j.Name, Body: body}
		page.Changes = append(page.Changes, config.Change{
			Entry:    config.Entry{Document: doc, Version: page.Revision},
			Revision: page.Revision,
		})
	}
	assert.Assert(r.t, r.config.Apply(page))
}

// inBubble runs a test with fake time.
func inBubble(t *testing.T, workers int, run func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(newRig(t, workers)) })
}

// overlaps counts the starts of tasks and those that ran in two places.
func overlaps(r *rig) (starts, twice int) {
	return rack.Overlaps(r.records())
}

// dump logs the events and runs of a failed test.
func (r *rig) dump() {
	for _, e := range r.events.After(0, 0) {
		r.t.Logf("%s %s %s %s%s %s %s", event.Time(e.Time).Format("15:04:05.000"), e.Instance, e.Kind, e.Job, e.Task, e.Worker, e.Detail)
	}
	for _, rec := range r.records() {
		for _, run := range rec.Runs {
			r.t.Logf("%s %+v", rec.Name, run)
		}
	}
}

func (n *network) isPaused(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[name] != nil
}

// dumpStatus logs what the owners know at the end of a failed test.
func (r *rig) dumpStatus() {
	for name, n := range r.nodes {
		if s := n.owner.Status(); s != nil {
			r.t.Logf("%s epoch %d jobs %+v", name, s.Epoch, s.Jobs)
			r.t.Logf("%s workers %+v", name, s.Workers)
			r.t.Logf("%s counters refused %d unknown %d", name, n.owner.Counters().SavesRefused.Load(), n.owner.Counters().SavesUnknown.Load())
		}
	}
}
