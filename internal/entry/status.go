package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/internal/front"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/member"
	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/route"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// statusTimeout limits the wait for the status or events of other instances.
const statusTimeout = 2 * time.Second

// Status is the state of all entry instances; those that did not respond are listed in Unreachable.
type Status struct {
	Instances   []InstanceStatus `json:"instances"`
	Unreachable []string         `json:"unreachable,omitempty"`
}

// InstanceStatus is the state of one entry instance.
type InstanceStatus struct {
	Name           string          `json:"name"`
	FailureDomain  string          `json:"failure_domain"`
	HTTPAddress    string          `json:"http_address"`
	State          string          `json:"state"`
	NotReady       string          `json:"not_ready,omitempty"`
	UptimeSeconds  int64           `json:"uptime_seconds"`
	StoreDown      bool            `json:"store_down"`
	ConfigRevision int64           `json:"config_revision"`
	OwnedEpoch     int64           `json:"owned_epoch"`
	Requests       RequestCounts   `json:"requests"`
	Queue          queue.Stats     `json:"queue"`
	Backends       []route.Status  `json:"backends"`
	Routing        route.Stats     `json:"routing"`
	Members        []member.Status `json:"members"`
	Owner          *sched.Status   `json:"owner,omitempty"`
}

// RequestCounts is the number of requests since the instance started, by outcome.
type RequestCounts struct {
	Received int64 `json:"received"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	Unknown  int64 `json:"unknown"`
	Replayed int64 `json:"replayed"`
}

func requestCounts(c *front.Counters) RequestCounts {
	return RequestCounts{
		Received: c.Received.Load(),
		Answered: c.Answered.Load(),
		Refused:  c.Refused.Load(),
		Failed:   c.Failed.Load(),
		Unknown:  c.Unknown.Load(),
		Replayed: c.Replayed.Load(),
	}
}

func (inst *Instance) localStatus() InstanceStatus {
	self := inst.membership.self()
	return InstanceStatus{
		Name:           self.Name,
		FailureDomain:  self.FailureDomain,
		HTTPAddress:    self.HTTPAddress,
		State:          self.State,
		NotReady:       inst.notReadyReason(),
		UptimeSeconds:  int64(time.Since(inst.started).Seconds()),
		StoreDown:      inst.storeHealth.isDown(),
		ConfigRevision: self.ConfigRevision,
		OwnedEpoch:     self.OwnedEpoch,
		Requests:       requestCounts(inst.API.Counters()),
		Queue:          inst.Dispatcher.Stats(),
		Backends:       inst.Router.Snapshot(),
		Routing:        inst.Router.Stats(),
		Members:        inst.membership.list(time.Now()),
		Owner:          inst.Owner.Status(),
	}
}

// collectStatus collects the status of all instances.
func (inst *Instance) collectStatus(ctx context.Context) any {
	result := &Status{Instances: []InstanceStatus{inst.localStatus()}}
	var mu sync.Mutex
	inst.queryOthers(ctx, func(ctx context.Context, other member.Status) {
		status, err := inst.fetchStatus(ctx, other.Address)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			result.Unreachable = append(result.Unreachable, other.Name)
			return
		}
		result.Instances = append(result.Instances, status)
	})
	slices.SortFunc(result.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(result.Unreachable)
	return result
}

// queryOthers calls query concurrently for every other instance that is not gone.
func (inst *Instance) queryOthers(ctx context.Context, query func(context.Context, member.Status)) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, other := range inst.membership.list(time.Now()) {
		if other.Name != inst.Settings.Name && other.State != member.StateGone {
			wg.Go(func() { query(ctx, other) })
		}
	}
}

func (inst *Instance) fetchStatus(ctx context.Context, address string) (InstanceStatus, error) {
	var status InstanceStatus
	req := &wire.Request{Body: &wire.Request_Status{Status: &wire.Status{}}}
	res, _, err := inst.PeerClient.Call(ctx, address, req)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(res.GetStatus().GetDocument(), &status)
}

// localEvents returns the events of this instance and its copies of the events of others.
func (inst *Instance) localEvents() []event.Event {
	return event.Merge(append(inst.EventMirror.All(), inst.EventRing.After(0, 0)))
}

// maxEvents is the maximum number of events in a response.
const maxEvents = 20_000

// collectEvents collects the matching events of all instances, oldest first.
func (inst *Instance) collectEvents(ctx context.Context, f event.Filter) []event.Event {
	sources := [][]event.Event{inst.localEvents()}
	var mu sync.Mutex
	inst.queryOthers(ctx, func(ctx context.Context, other member.Status) {
		req := &wire.Request{Body: &wire.Request_Events{Events: &wire.Events{}}}
		res, _, err := inst.PeerClient.Call(ctx, other.Address, req)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		sources = append(sources, eventsFromWire(res.GetEvents().GetEvents()))
	})
	matching := []event.Event{}
	for _, e := range event.Merge(sources) {
		if f.Match(e) {
			matching = append(matching, e)
		}
	}
	return matching[max(0, len(matching)-maxEvents):]
}
