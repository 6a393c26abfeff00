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

// holder is an entry instance as the lender's property test sees it.
type holder struct {
	router *route.Router
	inbox  []message
}

type message struct {
	sent, due time.Time
	grants    []route.Grant
}

// Guards against shares that exceed a backend server's slots, whatever messages are late,
// lost or out of order, and whichever holders come and go. Checked in the lender's books
// and in the routers themselves.
func TestSharesNeverExceedTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var lender route.SlotAllocator
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		list := []route.Backend{{Name: "b", Slots: slots, Address: "10.0.0.1:1"}}
		lender.SetBackends(now, list)
		holders := map[string]*holder{}
		granted := map[string][]message{}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4", "e5"}).Draw(t, "name")
			switch rapid.SampledFrom([]string{"heartbeat", "heartbeat", "heartbeat", "join", "leave"}).Draw(t, "step") {
			case "join":
				if holders[name] == nil {
					r := &route.Router{Now: func() time.Time { return now }}
					r.UpdateBackends(list)
					holders[name] = &holder{router: r}
				}
			case "leave":
				delete(holders, name) // its base share and grants may be in use for a while
			case "heartbeat":
				h := holders[name]
				if h == nil {
					continue
				}
				wanted := rapid.IntRange(0, slots).Draw(t, "wanted")
				lender.SetDemand(now, name, []route.Demand{{Backend: "b", Wanted: wanted}})
				grants := lender.Allocate(now, name)
				m := message{sent: now, due: now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "delay")) * time.Millisecond), grants: grants}
				h.inbox = append(h.inbox, m)
				granted[name] = append(granted[name], m)
			}
			lender.SetMembers(now, slices.Collect(maps.Keys(holders)))
			peers := lender.PeerCount(now)
			lent := 0
			for _, messages := range granted {
				most := 0
				for _, m := range messages {
					if now.Before(m.sent.Add(route.GrantTTL)) && len(m.grants) > 0 {
						most = max(most, m.grants[0].Slots)
					}
				}
				lent += most
			}
			if peers > 0 && slots/peers*peers+lent > slots {
				t.Fatalf("%d base shares of %d and %d lent of %d slots", peers, slots/peers, lent, slots)
			}
			inUse := 0
			for _, h := range holders {
				h.deliver(now)
				for _, s := range h.router.Snapshot() {
					inUse += s.Granted
				}
			}
			if inUse > lent {
				t.Fatalf("routers use %d lent slots of %d", inUse, lent)
			}
		}
	})
}

// deliver hands over the replies that are due, newest first.
func (h *holder) deliver(now time.Time) {
	for i := len(h.inbox) - 1; i >= 0; i-- {
		if m := h.inbox[i]; !now.Before(m.due) {
			h.router.ApplyGrants(m.sent, m.grants)
			h.inbox = slices.Delete(h.inbox, i, i+1)
		}
	}
}

// lend runs the lender for a time with a heartbeat of every holder each half second.
func lend(l *route.SlotAllocator, from time.Time, d time.Duration, wants map[string]int) map[string]int {
	got := make(map[string]int)
	for now := from; now.Before(from.Add(d)); now = now.Add(500 * time.Millisecond) {
		for name, wanted := range wants {
			l.SetDemand(now, name, []route.Demand{{Backend: "b", Wanted: wanted}})
			got[name] = 0
			for _, g := range l.Allocate(now, name) {
				got[name] = g.Slots
			}
		}
	}
	return got
}

// Guards against a holder that keeps everything, and slots that stay reserved for a dead one.
func TestLentSlotsAreSharedFairlyAndComeBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var l route.SlotAllocator
	l.SetBackends(now, []route.Backend{{Name: "b", Slots: 8}})
	members := make([]string, 9) // no base share: all 8 slots are lent
	for i := range members {
		members[i] = fmt.Sprintf("e%d", i)
	}
	l.SetMembers(now, members)
	assert.Equal(t, len(lend(&l, now, time.Second, map[string]int{"e0": 1})), 1)
	assert.Equal(t, lend(&l, now, 3*time.Second, map[string]int{"e0": 8})["e0"], 0, "grants of an earlier owner may be in use")
	now = now.Add(4 * time.Second)
	assert.DeepEqual(t, lend(&l, now, time.Second, map[string]int{"e0": 8}), map[string]int{"e0": 8})
	now = now.Add(time.Second)
	got := lend(&l, now, 8*time.Second, map[string]int{"e0": 8, "e1": 8, "e2": 1})
	assert.Equal(t, got["e0"]+got["e1"]+got["e2"], 8)
	assert.Equal(t, got["e2"], 1)
	assert.Check(t, got["e0"] >= 3 && got["e1"] >= 3, "%v", got)
	now = now.Add(8 * time.Second)
	got = lend(&l, now, 5*time.Second, map[string]int{"e1": 8})
	assert.Equal(t, got["e1"], 8, "the lent part of a dead holder is free after its lease")
}

// Guards against a base share that is redistributed while its dead holder may still use it.
func TestBaseShareOfADeadHolderIsFreeAfterTenSeconds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var l route.SlotAllocator
	r := &route.Router{Now: func() time.Time { return now }}
	list := []route.Backend{{Name: "b", Slots: 8}}
	l.SetBackends(now, list)
	r.UpdateBackends(list)
	l.SetMembers(now, []string{"e1", "e2"})
	r.SetPeerCount(2)
	for s := range 12 {
		want, free := 2, 4
		if s >= 10 {
			want, free = 1, 8
		}
		l.SetMembers(now, []string{"e1"})
		r.SetPeerCount(1)
		assert.Equal(t, l.PeerCount(now), want, "after %d s", s)
		assert.Equal(t, r.FreeSlots(), free, "after %d s", s)
		now = now.Add(time.Second)
	}
}

// Guards against an instance without a base share that never asks or uses a grant too long.
func TestGrantsLastForTheirLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := &route.Router{Now: func() time.Time { return now }}
	r.UpdateBackends([]route.Backend{{Name: "b", Slots: 8}})
	r.SetPeerCount(9)
	assert.DeepEqual(t, r.CollectDemands(), []route.Demand{{Backend: "b", Wanted: 1}})
	assert.Equal(t, r.FreeSlots(), 0)
	r.ApplyGrants(now, []route.Grant{{Backend: "b", Slots: 2, TTL: route.GrantTTL}})
	r.ApplyGrants(now.Add(-time.Second), nil) // an older answer that arrives later
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

// Guards against a new entry instance that waits for its base share for ever because the
// others renew their grants.
func TestNewHolderIsAdmittedUnderFullDemand(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var l route.SlotAllocator
	l.SetBackends(now, []route.Backend{{Name: "b", Slots: 8}})
	l.SetMembers(now, []string{"e1", "e2", "e3"})
	wants := map[string]int{"e1": 6, "e2": 6, "e3": 6}
	got := lend(&l, now, 8*time.Second, wants)
	assert.Equal(t, got["e1"]+got["e2"]+got["e3"], 2)
	now = now.Add(8 * time.Second)
	l.SetMembers(now, []string{"e1", "e2", "e3", "e4"})
	assert.Equal(t, l.PeerCount(now), 3, "grants of the old members still run")
	lend(&l, now, 4*time.Second, wants)
	assert.Equal(t, l.PeerCount(now.Add(4*time.Second)), 4)
}
