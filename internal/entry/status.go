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

// statusLimit bounds the wait for another instance's status or events.
const statusLimit = 2 * time.Second

// Status is the state of all instances, as far as they answer.
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

// RequestCounts are the requests since the instance started, by outcome.
type RequestCounts struct {
	Received int64 `json:"received"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	Unknown  int64 `json:"unknown"`
	Replayed int64 `json:"replayed"`
}

func countsOf(c *front.Counters) RequestCounts {
	return RequestCounts{
		Received: c.Received.Load(),
		Answered: c.Answered.Load(),
		Refused:  c.Refused.Load(),
		Failed:   c.Failed.Load(),
		Unknown:  c.Unknown.Load(),
		Replayed: c.Replayed.Load(),
	}
}

func (n *Instance) localStatus() InstanceStatus {
	self := n.members.self()
	return InstanceStatus{
		Name:           self.Name,
		FailureDomain:  self.FailureDomain,
		HTTPAddress:    self.HTTPAddress,
		State:          self.State,
		NotReady:       n.notReady(),
		UptimeSeconds:  int64(time.Since(n.started).Seconds()),
		StoreDown:      n.store.isDown(),
		ConfigRevision: self.ConfigRevision,
		OwnedEpoch:     self.OwnedEpoch,
		Requests:       countsOf(n.API.Counters()),
		Queue:          n.Dispatcher.Stats(),
		Backends:       n.Router.Snapshot(),
		Routing:        n.Router.Stats(),
		Members:        n.members.list(time.Now()),
		Owner:          n.Owner.Status(),
	}
}

// status collects the states of all instances.
func (n *Instance) status(ctx context.Context) any {
	s := &Status{Instances: []InstanceStatus{n.localStatus()}}
	var mu sync.Mutex
	n.askOthers(ctx, func(ctx context.Context, other member.Status) {
		status, err := n.fetchStatus(ctx, other.Address)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			s.Unreachable = append(s.Unreachable, other.Name)
			return
		}
		s.Instances = append(s.Instances, status)
	})
	slices.SortFunc(s.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(s.Unreachable)
	return s
}

// askOthers calls ask for every other instance that has not ended, at the same time.
func (n *Instance) askOthers(ctx context.Context, ask func(context.Context, member.Status)) {
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, other := range n.members.list(time.Now()) {
		if other.Name != n.Settings.Name && other.State != member.StateGone {
			wg.Go(func() { ask(ctx, other) })
		}
	}
}

func (n *Instance) fetchStatus(ctx context.Context, address string) (InstanceStatus, error) {
	var status InstanceStatus
	req := &wire.Request{Body: &wire.Request_Status{Status: &wire.Status{}}}
	res, _, err := n.PeerClient.Call(ctx, address, req)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(res.GetStatus().GetDocument(), &status)
}

// localEvents returns the events of this instance and its copies of others'.
func (n *Instance) localEvents() []event.Event {
	return event.Merge(append(n.EventMirror.All(), n.EventRing.After(0, 0)))
}

// maxEvents bounds the events of one answer.
const maxEvents = 20_000

// events collects the time line over all instances.
func (n *Instance) events(ctx context.Context, f event.Filter) []event.Event {
	sources := [][]event.Event{n.localEvents()}
	var mu sync.Mutex
	n.askOthers(ctx, func(ctx context.Context, other member.Status) {
		req := &wire.Request{Body: &wire.Request_Events{Events: &wire.Events{}}}
		res, _, err := n.PeerClient.Call(ctx, other.Address, req)
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
