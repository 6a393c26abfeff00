package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/internal/front"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/internal/setup"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/route"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// Node is one entry instance with its parts.
type Node struct {
	Settings    setup.Entry
	Incarnation int64
	Log         log.Interface

	Clock   *event.Clock
	Ring    *event.Ring
	Mirror  *event.Mirror
	Table   *table.Client
	Group   *table.GroupCommitter
	Once    *once.Deduplicator
	Config  *config.Holder
	Watcher *config.Watcher
	Publish *config.Publisher
	Router  *route.Router
	Queue   *front.Dispatcher
	Front   *front.Front
	Peers   *peer.Client
	Keeper  *lease.Elector
	Owner   *sched.Owner

	members  *members
	lender   *lender
	store    *storeState
	metrics  *metrics.Set
	list     atomic.Pointer[table.InstanceList]
	draining atomic.Bool

	httpListener net.Listener
	peerListener net.Listener
	security     *Security
	started      time.Time
}

// backendConnections is the number of connections that a backend server accepts
// from all instances together; the platform's list does not give it.
const backendConnections = 60

// NewNode returns an entry instance that listens on its addresses but does nothing yet.
func NewNode(settings setup.Entry, logger log.Interface) (*Node, error) {
	now := time.Now()
	n := &Node{
		Settings:    settings,
		Incarnation: now.UnixMicro(),
		started:     now,
		Log:         logger.WithField("instance", settings.Name),
		metrics:     metrics.NewSet(),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.buildStore()
	n.buildEvents()
	n.buildMembers()
	n.buildConfig()
	n.buildRouting()
	n.buildOwner()
	n.buildFront()
	return n, nil
}

func (n *Node) buildEvents() {
	n.Clock = &event.Clock{}
	n.Ring = &event.Ring{Instance: n.Settings.Name, Clock: n.Clock}
	n.Mirror = &event.Mirror{}
}

func (n *Node) record(e event.Event) {
	n.Ring.Add(e)
}

func (n *Node) buildStore() {
	n.store = &storeState{node: n}
	n.Table = &table.Client{
		BaseURL:       n.Settings.Platform,
		FailureDomain: n.Settings.FailureDomain,
		HTTP:          &http.Client{Transport: storeTransport()},
		Timeout:       n.Settings.StoreTimeout(),
	}
	n.Group = &table.GroupCommitter{Commit: n.commit, Rate: n.writeRate}
	n.Once = &once.Deduplicator{
		Commit:       n.Group.Do,
		ReadRow:      n.Table.ReadRow,
		ReadRows:     n.Table.ReadRows,
		PutObject:    n.Table.PutObject,
		GetObject:    n.Table.GetObject,
		DeleteObject: n.Table.DeleteObject,
		Instance:     n.Settings.Name,
	}
}

// fleetWritesPerSecond is the budget of all instances together for at-most-once
// claims and results (docs/design.md, section 5).
const fleetWritesPerSecond = 70

// writeRate returns this instance's part of the budget.
func (n *Node) writeRate() float64 {
	return min(n.Settings.WritesPerSecond, fleetWritesPerSecond/float64(n.members.entries()))
}

// storeTransport keeps a few connections to the platform and gives up one that
// stays silent.
func storeTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 4,
		MaxConnsPerHost:     16,
		IdleConnTimeout:     30 * time.Second,
	}
}

// commit sends a transaction with a limit on the search for a lost answer.
func (n *Node) commit(ctx context.Context, c table.Transaction) table.Result {
	ctx, cancel := context.WithTimeout(ctx, commitLimit*n.Settings.StoreTimeout())
	defer cancel()
	res := n.Table.Commit(ctx, c)
	n.store.note(res.Outcome == table.Committed || res.Outcome == table.Conflict)
	return res
}

// commitLimit is the time limit of a transaction with its reading back, in
// time limits of a single call.
const commitLimit = 3

func (n *Node) buildConfig() {
	n.Config = &config.Holder{OnApply: n.configApplied}
	n.Watcher = &config.Watcher{
		Holder: n.Config,
		Row:    n.Table.ReadRow,
		All:    n.Table.ScanRows,
		Fetch:  n.fetchConfig,
		Peers:  n.members.addresses,
	}
	n.Watcher.Init()
	n.Publish = &config.Publisher{Row: n.Table.ReadRow, Commit: n.commit, Now: time.Now}
}

func (n *Node) configApplied(s *config.Snapshot) {
	n.record(event.Event{Kind: event.ConfigApplied, Detail: revisionText(s.Revision)})
	n.Log.WithField("revision", s.Revision).Info("configuration applied")
	if n.Queue != nil {
		n.Queue.Reconfigure(requestLimits(s))
	}
}

func (n *Node) buildRouting() {
	n.Router = &route.Router{Instance: n.Settings.Name, OnAttempt: n.attempted, OnStateChange: n.backendChanged}
	n.lender = &lender{node: n}
	n.Queue = &front.Dispatcher{Router: n.Router, Limits: requestLimits(n.Config.Current()), Now: time.Now}
	n.Queue.Init()
}

func (n *Node) backendChanged(c route.StateChange) {
	n.record(event.Event{Kind: event.BackendChanged, Backend: c.Backend, Detail: c.State})
	n.Log.WithField("backend", c.Backend).WithField("state", c.State).Info("backend server changed")
}

func (n *Node) attempted(a route.Attempt) {
	n.record(event.Event{
		Kind:       event.AttemptEnded,
		Request:    a.ID,
		Backend:    a.Backend,
		Detail:     string(a.Outcome) + " " + a.Reason,
		DurationUS: a.End.Sub(a.Start).Microseconds(),
	})
}

func (n *Node) buildOwner() {
	n.Keeper = &lease.Elector{
		FailureDomain: n.Settings.FailureDomain,
		Holder:        n.Settings.Name,
		Address:       n.peerListener.Addr().String(),
		ReadRow:       n.Table.ReadRow,
		Commit:        n.commit,
		OnAcquired:    n.gained,
		OnLost:        n.lost,
	}
	n.Owner = &sched.Owner{
		Name:             n.Settings.Name,
		FailureDomain:    n.Settings.FailureDomain,
		FailureDomains:   n.Settings.FailureDomains,
		LeaseConfirmedAt: n.Keeper.ConfirmedAt,
		ReadRows:         n.Table.ScanRows,
		ReadRow:          n.Table.ReadRow,
		Commit:           n.commit,
		PutObject:        n.Table.PutObject,
		GetObject:        n.Table.GetObject,
		Instances:        n.instances,
		Config:           n.Config,
		WorkerClient:     &agent.Client{HTTP: &http.Client{Transport: workerTransport()}},
		RecordEvent:      n.record,
		ObserveTaskWait:  n.waited("daisyrack_task_wait_seconds"),
		Log:              n.Log,
		Now:              time.Now,
	}
	n.Owner.Init()
}

// workerTransport keeps one connection to each worker of the failure domain.
func workerTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        4096,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     30 * time.Second,
	}
}

func (n *Node) gained(l lease.Lease) {
	n.record(event.Event{Kind: event.LeaseGained, Detail: leaseText(l)})
	n.Log.WithField("epoch", l.Epoch).Info("lease gained")
	n.Owner.OnLeaseAcquired(l)
}

func (n *Node) lost(l lease.Lease) {
	n.record(event.Event{Kind: event.LeaseLost, Detail: leaseText(l)})
	n.Log.WithField("epoch", l.Epoch).Warn("lease lost")
	n.Owner.OnLeaseLost(l)
}

func (n *Node) instances() (table.InstanceList, bool) {
	if l := n.list.Load(); l != nil {
		return *l, true
	}
	return table.InstanceList{}, false
}

func (n *Node) buildFront() {
	n.Front = &front.Front{
		Name:        n.Settings.Name,
		Incarnation: n.Incarnation,
		Config:      n.Config,
		Dispatcher:  n.Queue,
		Router:      n.Router,
		Once:        n.Once,
		Record:      n.record,
		Now:         time.Now,
		Ready:       n.notReady,
		Token:       n.operatorToken,
		Publish:     n.Publish.Publish,
		Submit:      n.submit,
		Cancel:      n.cancel,
		Job:         n.describe,
		Status:      n.status,
		Events:      n.events,
		Metrics:     n.writeMetrics,
		Waited:      n.waited("daisyrack_request_wait_seconds"),
	}
}

// notReady says why the balancer must not send requests here, or "".
func (n *Node) notReady() string {
	switch {
	case n.draining.Load():
		return "the instance is leaving"
	case !n.Config.Ready():
		return "the instance has no configuration yet"
	default:
		return ""
	}
}
