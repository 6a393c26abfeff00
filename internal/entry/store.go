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
	listInterval = time.Second

	// downAfter is the number of failed calls in a row after which the platform
	// counts as down.
	downAfter = 2

	roleEntry   = "entry"
	roleBackend = "backend"
)

// storeState tells whether the platform answers, for the log and status pages.
type storeState struct {
	node   *Node
	mu     sync.Mutex
	failed int
	down   bool
}

func (s *storeState) note(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.failed = 0
		if s.down {
			s.down = false
			s.node.record(event.Event{Kind: event.StoreUp})
			s.node.Log.Info("platform answers again")
		}
		return
	}
	s.failed++
	if s.failed >= downAfter && !s.down {
		s.down = true
		s.node.record(event.Event{Kind: event.StoreDown})
		s.node.Log.Warn("platform does not answer")
	}
}

func (s *storeState) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// runList follows the platform's list of instances.
func (n *Node) runList(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		n.readList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (n *Node) readList(ctx context.Context) {
	list, err := n.Table.ListInstances(ctx)
	if ctx.Err() != nil {
		return
	}
	n.store.note(err == nil)
	if err != nil {
		return
	}
	n.list.Store(&list)
	now := time.Now()
	n.members.listed(now, entriesOf(list))
	n.Router.UpdateBackends(n.backendsOf(list))
	n.lender.setBackends(now, n.knownBackends())
}

func entriesOf(list table.InstanceList) []member.Member {
	var entries []member.Member
	for _, i := range list.Instances {
		if i.Role == roleEntry {
			entries = append(entries, member.Member{
				Name:          i.Name,
				Address:       i.Address,
				FailureDomain: i.FailureDomain,
				State:         i.State,
				Incarnation:   i.Incarnation,
			})
		}
	}
	return entries
}

// knownBackends returns the backend servers whose number of slots has been
// learned from their health reports, since the list does not give it.
func (n *Node) knownBackends() []route.Backend {
	var known []route.Backend
	for _, s := range n.Router.Snapshot() {
		if s.Slots > 0 {
			known = append(known, s.Backend)
		}
	}
	return known
}

func (n *Node) backendsOf(list table.InstanceList) []route.Backend {
	var backends []route.Backend
	for _, i := range list.Instances {
		if i.Role != roleBackend || i.FailureDomain != n.Settings.FailureDomain {
			continue
		}
		backends = append(backends, route.Backend{
			Name:          i.Name,
			Address:       i.Address,
			FailureDomain: i.FailureDomain,
			Connections:   backendConnections,
			Incarnation:   i.Incarnation,
			State:         route.State(i.State),
		})
	}
	return backends
}
