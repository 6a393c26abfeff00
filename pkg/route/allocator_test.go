package route_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// entryInstance is a router and the responses from the allocator that are in flight to it.
type entryInstance struct {
	router *route.Router
	inbox  []message
}

type message struct {
	sent, due time.Time
	grants    []route.Grant
}

// The shares of all holders must never exceed the slots of a backend server, even if messages are
// delayed, lost or reordered and holders join and leave. This is checked for the grants of the
// allocator and for the routers themselves.
func TestSharesNeverExceedTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var allocator route.SlotAllocator
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		list := []route.Backend{{Name: "b", Slots: slots, Address: "10.0.0.1:1"}}
		allocator.SetBackends(now, list)
		instances := map[string]*entryInstance{}
		sentGrants := map[string][]message{}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4", "e5"}).Draw(t, "name")
			switch rapid.SampledFrom([]string{"heartbeat", "heartbeat", "heartbeat", "join", "leave"}).Draw(t, "step") {
			case "join":
				if instances[name] == nil {
					r := &route.Router{Now: func() time.Time { return now }}
					r.UpdateBackends(list)
					instances[name] = &entryInstance{router: r}
				}
			case "leave":
				delete(instances, name) // its base share and grants may still be in use for a while
			case "heartbeat":
				instance := instances[name]
				if instance == nil {
					continue
				}
				wanted := rapid.IntRange(0, slots).Draw(t, "wanted")
				allocator.SetDemand(now, name, []route.Demand{{Backend: "b", Wanted: wanted}})
				grants := allocator.Allocate(now, name)
				m := message{sent: now, due: now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "delay")) * time.Millisecond), grants: grants}
				instance.inbox = append(instance.inbox, m)
				sentGrants[name] = append(sentGrants[name], m)
			}
			allocator.SetMembers(now, slices.Collect(maps.Keys(instances)))
			peers := allocator.PeerCount(now)
			granted := 0
			for _, messages := range sentGrants {
				largest := 0
				for _, m := range messages {
					if now.Before(m.sent.Add(route.GrantTTL)) && len(m.grants) > 0 {
						largest = max(largest, m.grants[0].Slots)
					}
				}
				granted += largest
			}
			if peers > 0 && slots/peers*peers+granted > slots {
				t.Fatalf("%d base shares of %d and %d granted of %d slots", peers, slots/peers, granted, slots)
			}
			inUse := 0
			for _, instance := range instances {
				instance.deliver(now)
				for _, s := range instance.router.Snapshot() {
					inUse += s.Granted
				}
			}
			if inUse > granted {
				t.Fatalf("routers use %d granted slots of %d", inUse, granted)
			}
		}
	})
}

// deliver applies the responses that are due, newest first.
func (e *entryInstance) deliver(now time.Time) {
	for i := len(e.inbox) - 1; i >= 0; i-- {
		if m := e.inbox[i]; !now.Before(m.due) {
			e.router.ApplyGrants(m.sent, m.grants)
			e.inbox = slices.Delete(e.inbox, i, i+1)
		}
	}
}

// simulateHeartbeats sends a heartbeat of every holder to the allocator each half second for the
// duration d, and returns the slots last granted to each.
func simulateHeartbeats(a *route.SlotAllocator, from time.Time, d time.Duration, wants map[string]int) map[string]int {
	got := make(map[string]int)
	for now := from; now.Before(from.Add(d)); now = now.Add(500 * time.Millisecond) {
		for name, wanted := range wants {
			a.SetDemand(now, name, []route.Demand{{Backend: "b", Wanted: wanted}})
			got[name] = 0
			for _, g := range a.Allocate(now, name) {
				got[name] = g.Slots
			}
		}
	}
	return got
}

// No holder may keep all slots, and the slots of a crashed holder must become available again.
func TestGrantedSlotsAreSharedFairlyAndReturned(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var a route.SlotAllocator
	a.SetBackends(now, []route.Backend{{Name: "b", Slots: 8}})
	members := make([]string, 9) // no base share: all 8 slots are granted on demand
	for i := range members {
		members[i] = fmt.Sprintf("e%d", i)
	}
	a.SetMembers(now, members)
	assert.Equal(t, len(simulateHeartbeats(&a, now, time.Second, map[string]int{"e0": 1})), 1)
	assert.Equal(t, simulateHeartbeats(&a, now, 3*time.Second, map[string]int{"e0": 8})["e0"], 0, "grants of the previous owner may still be in use")
	now = now.Add(4 * time.Second)
	assert.DeepEqual(t, simulateHeartbeats(&a, now, time.Second, map[string]int{"e0": 8}), map[string]int{"e0": 8})
	now = now.Add(time.Second)
	got := simulateHeartbeats(&a, now, 8*time.Second, map[string]int{"e0": 8, "e1": 8, "e2": 1})
	assert.Equal(t, got["e0"]+got["e1"]+got["e2"], 8)
	assert.Equal(t, got["e2"], 1)
	assert.Check(t, got["e0"] >= 3 && got["e1"] >= 3, "%v", got)
	now = now.Add(8 * time.Second)
	got = simulateHeartbeats(&a, now, 5*time.Second, map[string]int{"e1": 8})
	assert.Equal(t, got["e1"], 8, "the granted slots of a crashed holder are free after the TTL")
}

// The base share of a crashed holder must not be redistributed while the holder may still use it.
func TestBaseShareOfGoneHolderIsReleasedAfterTenSeconds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var a route.SlotAllocator
	r := &route.Router{Now: func() time.Time { return now }}
	list := []route.Backend{{Name: "b", Slots: 8}}
	a.SetBackends(now, list)
	r.UpdateBackends(list)
	a.SetMembers(now, []string{"e1", "e2"})
	r.SetPeerCount(2)
	for s := range 12 {
		want, free := 2, 4
		if s >= 10 {
			want, free = 1, 8
		}
		a.SetMembers(now, []string{"e1"})
		r.SetPeerCount(1)
		assert.Equal(t, a.PeerCount(now), want, "after %d s", s)
		assert.Equal(t, r.FreeSlots(), free, "after %d s", s)
		now = now.Add(time.Second)
	}
}

// An instance without a base share must ask for slots, and must not use a grant beyond its TTL.
func TestGrantsExpireAfterTTL(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := &route.Router{Now: func() time.Time { return now }}
	r.UpdateBackends([]route.Backend{{Name: "b", Slots: 8}})
	r.SetPeerCount(9)
	assert.DeepEqual(t, r.CollectDemands(), []route.Demand{{Backend: "b", Wanted: 1}})
	assert.Equal(t, r.FreeSlots(), 0)
	r.ApplyGrants(now, []route.Grant{{Backend: "b", Slots: 2, TTL: route.GrantTTL}})
	r.ApplyGrants(now.Add(-time.Second), nil) // an older response that arrives later
	assert.Equal(t, r.FreeSlots(), 2)
	for range 2 {
		_, ok := r.Acquire("r")
		assert.Check(t, ok)
	}
	_, ok := r.Acquire("r")
	assert.Check(t, !ok)
	assert.DeepEqual(t, r.CollectDemands(), []route.Demand{{Backend: "b", Wanted: 3}})
	now = now.Add(route.GrantTTL)
	assert.Equal(t, r.Snapshot()[0].Granted, 0)
}

// A new entry instance must get its base share even if the others keep renewing their grants.
func TestNewHolderIsAdmittedUnderFullDemand(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var a route.SlotAllocator
	a.SetBackends(now, []route.Backend{{Name: "b", Slots: 8}})
	a.SetMembers(now, []string{"e1", "e2", "e3"})
	wants := map[string]int{"e1": 6, "e2": 6, "e3": 6}
	got := simulateHeartbeats(&a, now, 8*time.Second, wants)
	assert.Equal(t, got["e1"]+got["e2"]+got["e3"], 2)
	now = now.Add(8 * time.Second)
	a.SetMembers(now, []string{"e1", "e2", "e3", "e4"})
	assert.Equal(t, a.PeerCount(now), 3, "grants of the present members have not expired")
	simulateHeartbeats(&a, now, 4*time.Second, wants)
	assert.Equal(t, a.PeerCount(now.Add(4*time.Second)), 4)
}
