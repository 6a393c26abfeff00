package entry

import (
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/pkg/member"
	"github.com/daisyrack/daisyrack/pkg/route"
)

// borrowInterval is how often the owner lends slots to itself.
const borrowInterval = 500 * time.Millisecond

// lender lends the slots of backend servers while this instance owns the failure domain.
type lender struct {
	node *Instance

	mu       sync.Mutex
	epoch    int64
	lender   *route.SlotAllocator
	backends []route.Backend
	next     time.Time
}

func (l *lender) setBackends(now time.Time, list []route.Backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backends = list
	if l.lender != nil {
		l.lender.SetBackends(now, list)
	}
}

// current returns the lender of the present term, or nil. A new term starts
// with an empty one, which lends nothing until older grants have ended.
func (l *lender) current(now time.Time) *route.SlotAllocator {
	epoch := l.node.Owner.Epoch()
	if epoch == 0 {
		l.lender = nil
		l.epoch = 0
		return nil
	}
	if l.lender == nil || l.epoch != epoch {
		l.epoch = epoch
		l.lender = &route.SlotAllocator{}
		l.lender.SetMembers(now, l.names(now))
		l.lender.SetBackends(now, l.backends)
	}
	return l.lender
}

func (l *lender) names(now time.Time) []string {
	var names []string
	for _, s := range l.node.members.list(now) {
		if s.FailureDomain == l.node.Settings.FailureDomain && s.State != member.StateGone {
			names = append(names, s.Name)
		}
	}
	return names
}

// lend answers another instance's demand.
func (l *lender) lend(now time.Time, holder string, demands []route.Demand) []route.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current(now)
	if current == nil {
		return nil
	}
	current.SetMembers(now, l.names(now))
	current.SetDemand(now, holder, demands)
	return current.Allocate(now, holder)
}

// borrow lends slots to this instance itself.
func (l *lender) borrow(now time.Time) {
	if now.Before(l.next) {
		return
	}
	l.next = now.Add(borrowInterval)
	if grants := l.lend(now, l.node.Settings.Name, l.node.Router.CollectDemands()); len(grants) > 0 {
		l.node.Router.ApplyGrants(now, grants)
	}
}
