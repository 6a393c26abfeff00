package entry

import (
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/pkg/member"
	"github.com/daisyrack/daisyrack/pkg/route"
)

// selfGrantInterval is the time between grants of the owner to itself.
const selfGrantInterval = 500 * time.Millisecond

// slotGranter grants slots of backend servers to the instances of the failure domain while this
// instance is its owner.
type slotGranter struct {
	instance *Instance

	mu            sync.Mutex
	epoch         int64
	allocator     *route.SlotAllocator
	backends      []route.Backend
	nextSelfGrant time.Time
}

func (g *slotGranter) setBackends(now time.Time, list []route.Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backends = list
	if g.allocator != nil {
		g.allocator.SetBackends(now, list)
	}
}

// currentAllocator returns the allocator of the current ownership term, or nil if this instance is
// not the owner. A new term starts with an empty allocator, which grants nothing until the grants
// of the previous owner have expired.
func (g *slotGranter) currentAllocator(now time.Time) *route.SlotAllocator {
	epoch := g.instance.Owner.Epoch()
	if epoch == 0 {
		g.allocator = nil
		g.epoch = 0
		return nil
	}
	if g.allocator == nil || g.epoch != epoch {
		g.epoch = epoch
		g.allocator = &route.SlotAllocator{}
		g.allocator.SetMembers(now, g.memberNames(now))
		g.allocator.SetBackends(now, g.backends)
	}
	return g.allocator
}

// memberNames returns the names of the instances of the failure domain that may hold grants.
func (g *slotGranter) memberNames(now time.Time) []string {
	var names []string
	for _, s := range g.instance.membership.list(now) {
		if s.FailureDomain == g.instance.Settings.FailureDomain && s.State != member.StateGone {
			names = append(names, s.Name)
		}
	}
	return names
}

// grant grants slots to holder for its demands; it returns nil if this instance is not the owner.
func (g *slotGranter) grant(now time.Time, holder string, demands []route.Demand) []route.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.currentAllocator(now)
	if current == nil {
		return nil
	}
	current.SetMembers(now, g.memberNames(now))
	current.SetDemand(now, holder, demands)
	return current.Allocate(now, holder)
}

// grantSelf grants slots to this instance itself, if it is the owner.
func (g *slotGranter) grantSelf(now time.Time) {
	if now.Before(g.nextSelfGrant) {
		return
	}
	g.nextSelfGrant = now.Add(selfGrantInterval)
	if grants := g.grant(now, g.instance.Settings.Name, g.instance.Router.CollectDemands()); len(grants) > 0 {
		g.instance.Router.ApplyGrants(now, grants)
	}
}
