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

// network delivers calls to handlers without sockets. Partitions are set for pairs of hosts, pauses
// and held commits for single instances.
type network struct {
	mu          sync.Mutex
	handlers    map[string]http.Handler
	partitions  map[[2]string]bool
	paused      map[string]chan struct{}
	heldCommits map[string]chan struct{}
	calls       sync.WaitGroup
}

// transport is the HTTP transport of one host on the network.
type transport struct {
	net  *network
	from string
}

var errConnectionRefused = errors.New("connection refused")

func (n *network) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[[2]string{from, to}] || n.partitions[[2]string{from, "*"}] || n.partitions[[2]string{"*", to}]
}

func (n *network) setPartitioned(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{from, to}] = on
}

// pause blocks all calls and replies of an instance until resume, as SIGSTOP does. A blocked call
// is delivered after resume, even if it has timed out by then.
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

// holdCommits delays the delivery of an instance's commits until releaseCommits, even if the sender
// has timed out by then.
func (n *network) holdCommits(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldCommits[name] = make(chan struct{})
}

func (n *network) releaseCommits(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.heldCommits[name])
	delete(n.heldCommits, name)
}

func (n *network) waitWhilePaused(name string) {
	n.mu.Lock()
	resumed := n.paused[name]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// RoundTrip delivers one call. On a partitioned connection it waits until the caller times out.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.net.waitWhilePaused(t.from)
	t.net.mu.Lock()
	handler := t.net.handlers[req.URL.Host]
	t.net.mu.Unlock()
	if handler == nil {
		return nil, errConnectionRefused
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	reply := make(chan *http.Response, 1)
	t.net.calls.Go(func() { t.deliver(req, handler, reply) })
	select {
	case res := <-reply:
		t.net.waitWhilePaused(t.from)
		if res == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return res, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func (t *transport) deliver(req *http.Request, handler http.Handler, reply chan *http.Response) {
	// Read the body first, because a caller that times out closes it.
	body, _ := io.ReadAll(req.Body)
	time.Sleep(time.Millisecond)
	t.net.mu.Lock()
	held := t.net.heldCommits[t.from]
	t.net.mu.Unlock()
	if held != nil && req.Method == http.MethodPost && req.URL.Host == platformHost {
		<-held
	}
	if t.net.isPartitioned(t.from, req.URL.Host) {
		return
	}
	in := req.Clone(context.Background())
	in.Body = io.NopCloser(bytes.NewReader(body))
	rec := httptest.NewRecorder()
	defer func() {
		if recover() != nil { // The handler drops the reply to simulate its loss.
			reply <- nil
		}
	}()
	handler.ServeHTTP(rec, in)
	if !t.net.isPartitioned(t.from, req.URL.Host) {
		reply <- rec.Result()
	}
}

// rig is a failure domain with a simulated platform, workers and network.
type rig struct {
	t         *testing.T
	ctx       context.Context
	net       *network
	platform  *plat.Server
	workers   []*work.Server
	instances map[string]*instance
	config    *config.Replica
	events    event.Ring
	wg        sync.WaitGroup
}

// instance is a candidate for the ownership of the failure domain.
type instance struct {
	owner   *sched.Owner
	elector *lease.Elector
	cancel  context.CancelFunc
	lister  *instanceLister
}

// instanceLister holds the latest instance list that was polled. Once frozen it ignores newer
// lists.
type instanceLister struct {
	mu     sync.Mutex
	frozen bool
	latest *table.InstanceList
}

func (l *instanceLister) set(list table.InstanceList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.frozen {
		l.latest = &list
	}
}

func (l *instanceLister) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
}

func (l *instanceLister) get() (table.InstanceList, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest == nil {
		return table.InstanceList{}, false
	}
	return *l.latest, true
}

func newRig(t *testing.T, workers int) *rig {
	r := &rig{
		t:         t,
		net:       &network{handlers: map[string]http.Handler{}, partitions: map[[2]string]bool{}, paused: map[string]chan struct{}{}, heldCommits: map[string]chan struct{}{}},
		platform:  &plat.Server{Seed: 1},
		instances: map[string]*instance{},
		config:    &config.Replica{},
	}
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(func() {
		if t.Failed() {
			r.logStatus()
			r.logHistory()
		}
		cancel()
		r.platform.SetFaults(plat.Faults{})
		for _, w := range r.workers {
			w.SetFaults(work.Faults{})
		}
		r.wg.Wait()
		r.net.calls.Wait()
	})
	r.events.Clock = &event.HybridClock{}
	r.config.Apply(config.Update{Full: true})
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
		PlatformURL:   "http://" + platformHost,
		Client:        &http.Client{Transport: &transport{net: r.net, from: fmt.Sprintf("w%d", i)}},
	}
	r.workers = append(r.workers, w)
	r.net.mu.Lock()
	r.net.handlers[w.Name] = w.Handler()
	r.net.mu.Unlock()
	r.wg.Go(func() { _ = w.Run(r.ctx) })
}

// start starts a candidate. Its name must be new, since the name of a killed one stays partitioned.
func (r *rig) start(name string) *instance {
	client := &http.Client{Transport: &transport{net: r.net, from: name}}
	db := &table.Client{BaseURL: "http://" + platformHost, FailureDomain: domain, HTTP: client}
	n := &instance{lister: &instanceLister{}}
	r.wg.Go(func() { r.pollInstances(db, n.lister) })
	n.elector = &lease.Elector{
		FailureDomain: domain,
		Holder:        name,
		Address:       name,
		ReadRow:       db.ReadRow,
		Commit:        db.Commit,
		OnAcquired:    func(l lease.Lease) { n.owner.OnLeaseAcquired(l) },
		OnLost:        func(l lease.Lease) { n.owner.OnLeaseLost(l) },
	}
	n.owner = &sched.Owner{
		Name:             name,
		FailureDomain:    domain,
		FailureDomains:   []string{domain},
		LeaseConfirmedAt: n.elector.ConfirmedAt,
		ReadRows:         db.ScanRows,
		ReadRow:          db.ReadRow,
		Commit:           db.Commit,
		PutObject:        db.PutObject,
		GetObject:        db.GetObject,
		Instances:        n.lister.get,
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
	r.wg.Go(func() { _ = n.elector.Run(ctx) })
	r.instances[name] = n
	return n
}

func (r *rig) pollInstances(db *table.Client, l *instanceLister) {
	for r.ctx.Err() == nil {
		if list, err := db.ListInstances(r.ctx); err == nil {
			l.set(list)
		}
		select {
		case <-r.ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// kill ends an instance as a crash does: none of its calls arrive any more, so that there is no
// handover.
func (r *rig) kill(name string) {
	r.net.setPartitioned(name, "*", true)
	r.instances[name].cancel()
}

// waitFor waits until done returns true and returns how long it took. The test fails after limit.
func (r *rig) waitFor(what string, limit time.Duration, done func() bool) time.Duration {
	r.t.Helper()
	start := time.Now()
	for !done() {
		if time.Since(start) > limit {
			r.t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// isOwner reports whether the instance runs a term that has recovered.
func (r *rig) isOwner(name string) bool {
	s := r.instances[name].owner.Status()
	return s != nil && s.Recovered
}

func (r *rig) countRunning() int {
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

func (r *rig) histories() []work.RunHistory {
	var records []work.RunHistory
	for _, w := range r.workers {
		records = append(records, w.History())
	}
	return records
}

// checkInvariants fails the test if a task ran twice at the same time or a worker was
// overcommitted.
func (r *rig) checkInvariants() {
	r.t.Helper()
	_, overlapping := rack.CountOverlappingRuns(r.histories())
	assert.Equal(r.t, overlapping, 0, "a task ran in two places at once")
	assert.Equal(r.t, rack.CountOvercommitted(r.histories()), 0, "a worker was overcommitted")
}

func (r *rig) publish(jobs ...config.Job) {
	page := config.Update{Revision: r.config.Current().Revision + 1}
	for _, j := range jobs {
		body := mustJSON(r.t, j)
		doc := config.Document{Kind: j.Kind, Name: j.Name, Body: body}
		page.Changes = append(page.Changes, config.Change{
			VersionedDocument: config.VersionedDocument{Document: doc, Version: page.Revision},
			Revision:          page.Revision,
		})
	}
	assert.Assert(r.t, r.config.Apply(page))
}

// simulate runs a test with a fake clock.
func simulate(t *testing.T, workers int, run func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(newRig(t, workers)) })
}

// countStarts returns the number of task starts and how many of them overlapped another run of the
// same task.
func countStarts(r *rig) (starts, overlapping int) {
	return rack.CountOverlappingRuns(r.histories())
}

// logHistory logs all events and runs after a failed test.
func (r *rig) logHistory() {
	for _, e := range r.events.After(0, 0) {
		r.t.Logf("%s %s %s %s%s %s %s", event.WallTime(e.Time).Format("15:04:05.000"), e.Instance, e.Kind, e.Job, e.Task, e.Worker, e.Detail)
	}
	for _, rec := range r.histories() {
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

// logStatus logs the status of all owners after a failed test.
func (r *rig) logStatus() {
	for name, n := range r.instances {
		if s := n.owner.Status(); s != nil {
			r.t.Logf("%s epoch %d jobs %+v", name, s.Epoch, s.Jobs)
			r.t.Logf("%s workers %+v", name, s.Workers)
			r.t.Logf("%s counters refused %d unknown %d", name, n.owner.Counters().SavesRefused.Load(), n.owner.Counters().SavesUnknown.Load())
		}
	}
}
