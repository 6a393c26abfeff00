package entry

import (
	"context"
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/member"
	"github.com/daisyrack/daisyrack/pkg/route"
	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	instancePollInterval = time.Second

	// downThreshold is the number of consecutive failed calls after which the platform is
	// considered down.
	downThreshold = 2

	roleEntry   = "entry"
	roleBackend = "backend"
)

// healthTracker tracks whether the platform responds, for the log and the status page.
type healthTracker struct {
	instance *Instance
	mu       sync.Mutex
	failures int
	down     bool
}

// observe records whether a call succeeded.
func (s *healthTracker) observe(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.failures = 0
		if s.down {
			s.down = false
			s.instance.record(event.Event{Kind: event.StoreUp})
			s.instance.Log.Info("platform is reachable again")
		}
		return
	}
	s.failures++
	if s.failures >= downThreshold && !s.down {
		s.down = true
		s.instance.record(event.Event{Kind: event.StoreDown})
		s.instance.Log.Warn("platform is unreachable")
	}
}

func (s *healthTracker) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// pollInstances polls the platform's list of instances until ctx ends.
func (inst *Instance) pollInstances(ctx context.Context) error {
	tick := time.NewTicker(instancePollInterval)
	defer tick.Stop()
	for {
		inst.refreshInstances(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// refreshInstances reads the list and updates membership, router and slot grants.
func (inst *Instance) refreshInstances(ctx context.Context) {
	list, err := inst.Table.ListInstances(ctx)
	if ctx.Err() != nil {
		return
	}
	inst.storeHealth.observe(err == nil)
	if err != nil {
		return
	}
	inst.instanceList.Store(&list)
	now := time.Now()
	inst.membership.applyInstanceList(now, entryMembers(list))
	inst.Router.UpdateBackends(inst.localBackends(list))
	inst.slotGranter.setBackends(now, inst.knownBackends())
}

func entryMembers(list table.InstanceList) []member.Member {
	var entries []member.Member
	for _, info := range list.Instances {
		if info.Role == roleEntry {
			entries = append(entries, member.Member{
				Name:          info.Name,
				Address:       info.Address,
				FailureDomain: info.FailureDomain,
				State:         info.State,
				Incarnation:   info.Incarnation,
			})
		}
	}
	return entries
}

// knownBackends returns the backend servers whose number of slots is known. It comes from their
// health reports, since the platform's list does not include it.
func (inst *Instance) knownBackends() []route.Backend {
	var known []route.Backend
	for _, s := range inst.Router.Snapshot() {
		if s.Slots > 0 {
			known = append(known, s.Backend)
		}
	}
	return known
}

// localBackends returns the backend servers of this instance's failure domain.
func (inst *Instance) localBackends(list table.InstanceList) []route.Backend {
	var backends []route.Backend
	for _, info := range list.Instances {
		if info.Role != roleBackend || info.FailureDomain != inst.Settings.FailureDomain {
			continue
		}
		backends = append(backends, route.Backend{
			Name:          info.Name,
			Address:       info.Address,
			FailureDomain: info.FailureDomain,
			Connections:   backendConnections,
			Incarnation:   info.Incarnation,
			State:         route.State(info.State),
		})
	}
	return backends
}
