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

// Instance is one entry instance with its components.
type Instance struct {
	Settings    setup.Entry
	Incarnation int64
	Log         log.Interface

	Clock           *event.Clock
	EventRing       *event.Ring
	EventMirror     *event.Mirror
	Table           *table.Client
	GroupCommit     *table.Group
	Once            *once.Register
	Config          *config.Replica
	ConfigWatcher   *config.Watcher
	ConfigPublisher *config.Publisher
	Router          *route.Router
	Dispatcher      *front.Dispatcher
	API             *front.Server
	PeerClient      *peer.Client
	Elector         *lease.Elector
	Owner           *sched.Owner

	members  *members
	lender   *lender
	store    *storeState
	metrics  *metrics.Set
	list     atomic.Pointer[table.InstanceList]
	draining atomic.Bool

	httpListener net.Listener
	peerListener net.Listener
	security     *PeerTLS
	started      time.Time
}

// backendConnections is the number of connections that a backend server accepts
// from all instances together; the platform's list does not give it.
const backendConnections = 60

// NewInstance returns an entry instance that listens on its addresses but serves nothing yet.
func NewInstance(settings setup.Entry, logger log.Interface) (*Instance, error) {
	now := time.Now()
	n := &Instance{
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

func (n *Instance) buildEvents() {
	n.Clock = &event.Clock{}
	n.EventRing = &event.Ring{Instance: n.Settings.Name, Clock: n.Clock}
	n.EventMirror = &event.Mirror{}
}

func (n *Instance) record(e event.Event) {
	n.EventRing.Add(e)
}

func (n *Instance) buildStore() {
	n.store = &storeState{node: n}
	n.Table = &table.Client{
		BaseURL:       n.Settings.PlatformURL,
		FailureDomain: n.Settings.FailureDomain,
		HTTP:          &http.Client{Transport: storeTransport()},
		Timeout:       n.Settings.StoreTimeout(),
	}
	n.GroupCommit = &table.Group{Commit: n.commit, Rate: n.writeRate}
	n.Once = &once.Register{
		Do:           n.GroupCommit.Do,
		Row:          n.Table.Row,
		Rows:         n.Table.Rows,
		PutObject:    n.Table.PutObject,
		Object:       n.Table.Object,
		DeleteObject: n.Table.DeleteObject,
		Holder:       n.Settings.Name,
	}
}

// fleetWritesPerSecond is the budget of all instances together for at-most-once
// claims and results (docs/design.md, section 5).
const fleetWritesPerSecond = 70

// writeRate returns this instance's part of the budget.
func (n *Instance) writeRate() float64 {
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
func (n *Instance) commit(ctx context.Context, c table.Commit) table.Result {
	ctx, cancel := context.WithTimeout(ctx, commitLimit*n.Settings.StoreTimeout())
	defer cancel()
	res := n.Table.Commit(ctx, c)
	n.store.note(res.Outcome == table.Committed || res.Outcome == table.Conflict)
	return res
}

// commitLimit is the time limit of a transaction with its reading back, in
// time limits of a single call.
const commitLimit = 3

func (n *Instance) buildConfig() {
	n.Config = &config.Replica{OnApply: n.configApplied}
	n.ConfigWatcher = &config.Watcher{
		Replica:     n.Config,
		ReadRow:     n.Table.Row,
		ScanRows:    n.Table.AllRows,
		FetchUpdate: n.fetchConfig,
		Peers:       n.members.addresses,
	}
	n.ConfigWatcher.Init()
	n.ConfigPublisher = &config.Publisher{ReadRow: n.Table.Row, Commit: n.commit, Now: time.Now}
}

func (n *Instance) configApplied(s *config.Snapshot) {
	n.record(event.Event{Kind: event.ConfigApplied, Detail: revisionText(s.Revision)})
	n.Log.WithField("revision", s.Revision).Info("configuration applied")
	if n.Dispatcher != nil {
		n.Dispatcher.Reconfigure(requestLimits(s))
	}
}

func (n *Instance) buildRouting() {
	n.Router = &route.Router{Instance: n.Settings.Name, OnAttempt: n.attempted, OnStateChange: n.backendChanged}
	n.lender = &lender{node: n}
	n.Dispatcher = &front.Dispatcher{Router: n.Router, Limits: requestLimits(n.Config.Current()), Now: time.Now}
	n.Dispatcher.Init()
}

func (n *Instance) backendChanged(c route.StateChange) {
	n.record(event.Event{Kind: event.BackendChanged, Backend: c.Backend, Detail: c.State})
	n.Log.WithField("backend", c.Backend).WithField("state", c.State).Info("backend server changed")
}

func (n *Instance) attempted(a route.Attempt) {
	n.record(event.Event{
		Kind:       event.AttemptEnded,
		Request:    a.ID,
		Backend:    a.Backend,
		Detail:     string(a.Outcome) + " " + a.Reason,
		DurationUS: a.End.Sub(a.Start).Microseconds(),
	})
}

func (n *Instance) buildOwner() {
	n.Elector = &lease.Elector{
		FailureDomain: n.Settings.FailureDomain,
		Holder:        n.Settings.Name,
		Address:       n.peerListener.Addr().String(),
		ReadRow:       n.Table.Row,
		Commit:        n.commit,
		OnAcquired:    n.gained,
		OnLost:        n.lost,
	}
	n.Owner = &sched.Owner{
		Name:             n.Settings.Name,
		FailureDomain:    n.Settings.FailureDomain,
		FailureDomains:   n.Settings.FailureDomains,
		LeaseConfirmedAt: n.Elector.ConfirmedAt,
		ReadRows:         n.Table.AllRows,
		ReadRow:          n.Table.Row,
		Commit:           n.commit,
		PutObject:        n.Table.PutObject,
		GetObject:        n.Table.Object,
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

func (n *Instance) gained(l lease.Lease) {
	n.record(event.Event{Kind: event.LeaseGained, Detail: leaseText(l)})
	n.Log.WithField("epoch", l.Epoch).Info("lease gained")
	n.Owner.OnLeaseAcquired(l)
}

func (n *Instance) lost(l lease.Lease) {
	n.record(event.Event{Kind: event.LeaseLost, Detail: leaseText(l)})
	n.Log.WithField("epoch", l.Epoch).Warn("lease lost")
	n.Owner.OnLeaseLost(l)
}

func (n *Instance) instances() (table.InstanceList, bool) {
	if l := n.list.Load(); l != nil {
		return *l, true
	}
	return table.InstanceList{}, false
}

func (n *Instance) buildFront() {
	n.API = &front.Server{
		Name:             n.Settings.Name,
		Incarnation:      n.Incarnation,
		Config:           n.Config,
		Dispatcher:       n.Dispatcher,
		Router:           n.Router,
		Once:             n.Once,
		RecordEvent:      n.record,
		Now:              time.Now,
		NotReadyReason:   n.notReady,
		OperatorToken:    n.operatorToken,
		Publish:          n.ConfigPublisher.Publish,
		SubmitJob:        n.submit,
		CancelJob:        n.cancel,
		DescribeJob:      n.describe,
		Status:           n.status,
		Events:           n.events,
		WriteMetrics:     n.writeMetrics,
		ObserveQueueWait: n.waited("daisyrack_request_wait_seconds"),
	}
}

// notReady says why the balancer must not send requests here, or "".
func (n *Instance) notReady() string {
	switch {
	case n.draining.Load():
		return "the instance is leaving"
	case !n.Config.Ready():
		return "the instance has no configuration yet"
	default:
		return ""
	}
}
