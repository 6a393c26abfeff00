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

	Clock           *event.HybridClock
	EventRing       *event.Ring
	EventMirror     *event.Mirror
	Table           *table.Client
	GroupCommit     *table.GroupCommitter
	Once            *once.Deduplicator
	Config          *config.Replica
	ConfigWatcher   *config.Watcher
	ConfigPublisher *config.Publisher
	Router          *route.Router
	Dispatcher      *front.Dispatcher
	API             *front.Server
	PeerClient      *peer.Client
	Elector         *lease.Elector
	Owner           *sched.Owner

	membership   *membership
	slotGranter  *slotGranter
	storeHealth  *healthTracker
	metrics      *metrics.Set
	instanceList atomic.Pointer[table.InstanceList]
	draining     atomic.Bool

	httpListener net.Listener
	peerListener net.Listener
	security     *PeerTLS
	started      time.Time
}

// backendConnections is the number of connections that a backend server accepts from all
// instances together. The platform's list does not include it.
const backendConnections = 60

// NewInstance returns an entry instance that listens on its addresses but serves nothing yet.
func NewInstance(settings setup.Entry, logger log.Interface) (*Instance, error) {
	now := time.Now()
	inst := &Instance{
		Settings:    settings,
		Incarnation: now.UnixMicro(),
		started:     now,
		Log:         logger.WithField("instance", settings.Name),
		metrics:     metrics.NewSet(),
	}
	if err := inst.listen(); err != nil {
		return nil, err
	}
	inst.buildStore()
	inst.buildEvents()
	inst.buildMembership()
	inst.buildConfig()
	inst.buildRouting()
	inst.buildOwner()
	inst.buildAPI()
	return inst, nil
}

func (inst *Instance) buildEvents() {
	inst.Clock = &event.HybridClock{}
	inst.EventRing = &event.Ring{Instance: inst.Settings.Name, Clock: inst.Clock}
	inst.EventMirror = &event.Mirror{}
}

func (inst *Instance) record(e event.Event) {
	inst.EventRing.Add(e)
}

func (inst *Instance) buildStore() {
	inst.storeHealth = &healthTracker{instance: inst}
	inst.Table = &table.Client{
		BaseURL:       inst.Settings.PlatformURL,
		FailureDomain: inst.Settings.FailureDomain,
		HTTP:          &http.Client{Transport: storeTransport()},
		Timeout:       inst.Settings.StoreTimeout(),
	}
	inst.GroupCommit = &table.GroupCommitter{Commit: inst.commit, Rate: inst.writeRate}
	inst.Once = &once.Deduplicator{
		Commit:       inst.GroupCommit.Do,
		ReadRow:      inst.Table.ReadRow,
		ReadRows:     inst.Table.ReadRows,
		PutObject:    inst.Table.PutObject,
		GetObject:    inst.Table.GetObject,
		DeleteObject: inst.Table.DeleteObject,
		Instance:     inst.Settings.Name,
	}
}

// totalWritesPerSecond is the write budget of all instances together for at-most-once claims and
// results (docs/design.md, section 5).
const totalWritesPerSecond = 70

// writeRate returns this instance's share of the write budget.
func (inst *Instance) writeRate() float64 {
	return min(inst.Settings.WritesPerSecond, totalWritesPerSecond/float64(inst.membership.activeInstances()))
}

// storeTransport returns a transport with few connections to the platform, which are closed after
// 30 s without use.
func storeTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 4,
		MaxConnsPerHost:     16,
		IdleConnTimeout:     30 * time.Second,
	}
}

// commit commits a transaction. A timeout limits the reads that determine its outcome if the
// response is lost.
func (inst *Instance) commit(ctx context.Context, c table.Transaction) table.Result {
	ctx, cancel := context.WithTimeout(ctx, commitTimeoutFactor*inst.Settings.StoreTimeout())
	defer cancel()
	res := inst.Table.Commit(ctx, c)
	inst.storeHealth.observe(res.Outcome == table.Committed || res.Outcome == table.Conflict)
	return res
}

// commitTimeoutFactor is the timeout of a transaction, including the reads that determine its
// outcome, as a multiple of the timeout of a single call.
const commitTimeoutFactor = 3

func (inst *Instance) buildConfig() {
	inst.Config = &config.Replica{OnApply: inst.onConfigApplied}
	inst.ConfigWatcher = &config.Watcher{
		Replica:     inst.Config,
		ReadRow:     inst.Table.ReadRow,
		ScanRows:    inst.Table.ScanRows,
		FetchUpdate: inst.fetchConfigUpdate,
		Peers:       inst.membership.addresses,
	}
	inst.ConfigWatcher.Init()
	inst.ConfigPublisher = &config.Publisher{ReadRow: inst.Table.ReadRow, Commit: inst.commit, Now: time.Now}
}

func (inst *Instance) onConfigApplied(s *config.Snapshot) {
	inst.record(event.Event{Kind: event.ConfigApplied, Detail: revisionText(s.Revision)})
	inst.Log.WithField("revision", s.Revision).Info("configuration applied")
	if inst.Dispatcher != nil {
		inst.Dispatcher.Reconfigure(requestLimits(s))
	}
}

func (inst *Instance) buildRouting() {
	inst.Router = &route.Router{Instance: inst.Settings.Name, OnAttempt: inst.onAttempt, OnStateChange: inst.onBackendChange}
	inst.slotGranter = &slotGranter{instance: inst}
	inst.Dispatcher = &front.Dispatcher{Router: inst.Router, Limits: requestLimits(inst.Config.Current()), Now: time.Now}
	inst.Dispatcher.Init()
}

func (inst *Instance) onBackendChange(c route.StateChange) {
	inst.record(event.Event{Kind: event.BackendChanged, Backend: c.Backend, Detail: c.State})
	inst.Log.WithField("backend", c.Backend).WithField("state", c.State).Info("backend server state changed")
}

func (inst *Instance) onAttempt(a route.Attempt) {
	inst.record(event.Event{
		Kind:       event.AttemptEnded,
		Request:    a.ID,
		Backend:    a.Backend,
		Detail:     string(a.Outcome) + " " + a.Reason,
		DurationUS: a.End.Sub(a.Start).Microseconds(),
	})
}

func (inst *Instance) buildOwner() {
	inst.Elector = &lease.Elector{
		FailureDomain: inst.Settings.FailureDomain,
		Holder:        inst.Settings.Name,
		Address:       inst.peerListener.Addr().String(),
		ReadRow:       inst.Table.ReadRow,
		Commit:        inst.commit,
		OnAcquired:    inst.onLeaseAcquired,
		OnLost:        inst.onLeaseLost,
	}
	inst.Owner = &sched.Owner{
		Name:             inst.Settings.Name,
		FailureDomain:    inst.Settings.FailureDomain,
		FailureDomains:   inst.Settings.FailureDomains,
		LeaseConfirmedAt: inst.Elector.ConfirmedAt,
		ReadRows:         inst.Table.ScanRows,
		ReadRow:          inst.Table.ReadRow,
		Commit:           inst.commit,
		PutObject:        inst.Table.PutObject,
		GetObject:        inst.Table.GetObject,
		Instances:        inst.instances,
		Config:           inst.Config,
		WorkerClient:     &agent.Client{HTTP: &http.Client{Transport: workerTransport()}},
		RecordEvent:      inst.record,
		ObserveTaskWait:  inst.waitObserver("daisyrack_task_wait_seconds"),
		Log:              inst.Log,
		Now:              time.Now,
	}
	inst.Owner.Init()
}

// workerTransport returns a transport with one idle connection to each worker of the failure domain.
func workerTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        4096,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     30 * time.Second,
	}
}

func (inst *Instance) onLeaseAcquired(l lease.Lease) {
	inst.record(event.Event{Kind: event.LeaseGained, Detail: leaseText(l)})
	inst.Log.WithField("epoch", l.Epoch).Info("lease acquired")
	inst.Owner.OnLeaseAcquired(l)
}

func (inst *Instance) onLeaseLost(l lease.Lease) {
	inst.record(event.Event{Kind: event.LeaseLost, Detail: leaseText(l)})
	inst.Log.WithField("epoch", l.Epoch).Warn("lease lost")
	inst.Owner.OnLeaseLost(l)
}

// instances returns the last instance list of the platform, and false before the first one.
func (inst *Instance) instances() (table.InstanceList, bool) {
	if l := inst.instanceList.Load(); l != nil {
		return *l, true
	}
	return table.InstanceList{}, false
}

func (inst *Instance) buildAPI() {
	inst.API = &front.Server{
		Name:             inst.Settings.Name,
		Incarnation:      inst.Incarnation,
		Config:           inst.Config,
		Dispatcher:       inst.Dispatcher,
		Router:           inst.Router,
		Once:             inst.Once,
		RecordEvent:      inst.record,
		Now:              time.Now,
		NotReadyReason:   inst.notReadyReason,
		OperatorToken:    inst.operatorToken,
		Publish:          inst.ConfigPublisher.Publish,
		SubmitJob:        inst.submit,
		CancelJob:        inst.cancel,
		DescribeJob:      inst.describe,
		Status:           inst.collectStatus,
		Events:           inst.collectEvents,
		WriteMetrics:     inst.writeMetrics,
		ObserveQueueWait: inst.waitObserver("daisyrack_request_wait_seconds"),
	}
}

// notReadyReason returns why the load balancer must not send requests to this instance, or "".
func (inst *Instance) notReadyReason() string {
	switch {
	case inst.draining.Load():
		return "the instance is leaving"
	case !inst.Config.Ready():
		return "the instance has no configuration yet"
	default:
		return ""
	}
}
