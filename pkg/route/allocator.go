package route

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

const (
	// GrantTTL is how long a grant is valid unless it is renewed.
	GrantTTL = 3 * time.Second

	// baseShareHold is how long the base share of a holder that is gone stays reserved.
	baseShareHold = 10 * time.Second

	// grantMargin is how long a grant stays reserved beyond its TTL, to allow for clocks that run
	// at different rates.
	grantMargin = 500 * time.Millisecond

	// rotationPeriod is the period after which an indivisible remainder moves to the next holder.
	// It is ten TTLs long, because a slot that moves stays unused for one TTL.
	rotationPeriod = 10 * GrantTTL
)

// Demand is a request for slots of one backend server beyond the base share.
type Demand struct {
	Backend string
	Wanted  int
}

// Grant allows its holder to use slots of one backend server until the TTL expires.
type Grant struct {
	Backend string
	Slots   int
	TTL     time.Duration
}

// SlotAllocator grants the slots of one failure domain that are outside the base shares to the
// entry instances, which it calls members or, for a grant, holders. It does no I/O, reads no clock
// and is not safe for concurrent use.
type SlotAllocator struct {
	startedAt      time.Time
	backends       map[string]int
	members        map[string]time.Time // zero while present, else when it was last present
	pendingMembers map[string]bool      // members whose base share does not fit yet
	demands        map[string]demand
	reservations   map[string]map[string][]reservation // by backend and holder
}

type demand struct {
	receivedAt time.Time
	wanted     map[string]int
}

type reservation struct {
	slots  int
	expiry time.Time
}

func (a *SlotAllocator) init(now time.Time) {
	if a.members != nil {
		return
	}
	a.startedAt = now
	a.backends = make(map[string]int)
	a.members = make(map[string]time.Time)
	a.pendingMembers = make(map[string]bool)
	a.demands = make(map[string]demand)
	a.reservations = make(map[string]map[string][]reservation)
}

// SetBackends sets the backend servers whose slots are granted.
func (a *SlotAllocator) SetBackends(now time.Time, list []Backend) {
	a.init(now)
	clear(a.backends)
	for _, b := range list {
		if b.State == Live || b.State == "" {
			a.backends[b.Name] = b.Slots
		}
	}
}

// SetMembers sets the names of the entry instances that are present.
func (a *SlotAllocator) SetMembers(now time.Time, names []string) {
	a.init(now)
	for name, leftAt := range a.members {
		if leftAt.IsZero() && !slices.Contains(names, name) {
			a.members[name] = now
		}
	}
	for _, name := range names {
		if _, ok := a.members[name]; !ok {
			a.pendingMembers[name] = true
			continue
		}
		a.members[name] = time.Time{}
	}
	for name := range a.pendingMembers {
		if !slices.Contains(names, name) {
			delete(a.pendingMembers, name)
		}
	}
	a.applyMembership(now)
	a.prune(now)
}

// prune removes expired reservations and demands that are too old to be granted.
func (a *SlotAllocator) prune(now time.Time) {
	for _, holders := range a.reservations {
		for holder := range holders {
			if reservedSlots(holders[holder], now) == 0 {
				delete(holders, holder)
			}
		}
	}
	for holder, d := range a.demands {
		if now.Sub(d.receivedAt) >= GrantTTL {
			delete(a.demands, holder)
		}
	}
}

// SetDemand sets the slots that a holder wants beyond its base shares.
func (a *SlotAllocator) SetDemand(now time.Time, holder string, wanted []Demand) {
	a.init(now)
	d := demand{receivedAt: now, wanted: make(map[string]int, len(wanted))}
	for _, w := range wanted {
		d.wanted[w.Backend] = max(w.Wanted, 0)
	}
	a.demands[holder] = d
}

// PeerCount returns the number of entry instances among which the base shares are divided.
func (a *SlotAllocator) PeerCount(now time.Time) int {
	a.init(now)
	a.applyMembership(now)
	return len(a.members)
}

// Allocate returns the grants of a holder and reserves their slots for one TTL.
func (a *SlotAllocator) Allocate(now time.Time, holder string) []Grant {
	a.init(now)
	a.applyMembership(now)
	// Grants by the previous owner of this domain may still be in use.
	if now.Sub(a.startedAt) < GrantTTL+grantMargin {
		return nil
	}
	if leftAt, ok := a.members[holder]; !ok || !leftAt.IsZero() {
		return nil
	}
	var grants []Grant
	for backend := range a.backends {
		if n := a.grant(now, backend, holder); n > 0 {
			grants = append(grants, Grant{Backend: backend, Slots: n, TTL: GrantTTL})
		}
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Backend < grants[j].Backend })
	return grants
}

func (a *SlotAllocator) grant(now time.Time, backend, holder string) int {
	grantable := a.grantable(backend, len(a.members))
	// The base shares of the next set of members must fit once the present grants have expired.
	futureCount := a.memberCount(now.Add(GrantTTL + grantMargin))
	grantable = min(grantable, a.grantable(backend, futureCount))
	others := a.totalReserved(now, backend) - a.reservedFor(now, backend, holder)
	n := min(a.fairShare(now, backend, holder, grantable), grantable-others)
	if n <= 0 {
		return 0
	}
	a.reserve(now, backend, holder, n)
	return n
}

// grantable returns the slots of a backend server that are outside the base shares of n members.
func (a *SlotAllocator) grantable(backend string, n int) int {
	slots := a.backends[backend]
	if n == 0 {
		return slots
	}
	return slots - baseShare(slots, n)*n
}

func baseShare(slots, peers int) int {
	if peers <= 0 {
		return 0
	}
	return slots / peers
}

// fairShare returns the holder's max-min fair share of the grantable slots.
func (a *SlotAllocator) fairShare(now time.Time, backend, holder string, grantable int) int {
	wants := make(map[string]int)
	for name, leftAt := range a.members {
		d := a.demands[name]
		if leftAt.IsZero() && now.Sub(d.receivedAt) < GrantTTL && d.wanted[backend] > 0 {
			wants[name] = d.wanted[backend]
		}
	}
	names := make([]string, 0, len(wants))
	for name := range wants {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return 0
	}
	// Rotate the order in each period, so that the remainder goes to a different holder.
	first := (int(now.Unix()/int64(rotationPeriod/time.Second)) + nameHash(backend)) % len(names)
	names = append(names[first:], names[:first]...)
	shares := make(map[string]int, len(names))
	for grantable > 0 {
		assigned := false
		for _, name := range names {
			if grantable > 0 && shares[name] < wants[name] {
				shares[name]++
				grantable--
				assigned = true
			}
		}
		if !assigned {
			break
		}
	}
	return shares[holder]
}

// nameHash varies the order of holders by backend server, so that the remainders of different
// servers go to different holders.
func nameHash(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() >> 1)
}

func (a *SlotAllocator) reserve(now time.Time, backend, holder string, n int) {
	if a.reservations[backend] == nil {
		a.reservations[backend] = make(map[string][]reservation)
	}
	// The message with the new grant may be lost, so an older and larger one counts until it expires.
	kept := a.reservations[backend][holder][:0]
	for _, r := range a.reservations[backend][holder] {
		if r.slots > n && r.expiry.After(now) {
			kept = append(kept, r)
		}
	}
	expiry := now.Add(GrantTTL + grantMargin)
	a.reservations[backend][holder] = append(kept, reservation{slots: n, expiry: expiry})
}

func (a *SlotAllocator) reservedFor(now time.Time, backend, holder string) int {
	return reservedSlots(a.reservations[backend][holder], now)
}

func reservedSlots(list []reservation, now time.Time) int {
	n := 0
	for _, r := range list {
		if r.expiry.After(now) {
			n = max(n, r.slots)
		}
	}
	return n
}

func (a *SlotAllocator) totalReserved(now time.Time, backend string) int {
	n := 0
	for holder := range a.reservations[backend] {
		n += a.reservedFor(now, backend, holder)
	}
	return n
}

// memberCount returns the number of members after all membership changes that are due at a time.
func (a *SlotAllocator) memberCount(at time.Time) int {
	n := len(a.pendingMembers)
	for _, leftAt := range a.members {
		if leftAt.IsZero() || at.Sub(leftAt) < baseShareHold {
			n++
		}
	}
	return n
}

// applyMembership admits pending members and removes those gone for baseShareHold, provided that
// the resulting base shares fit beside the grants that have not expired.
func (a *SlotAllocator) applyMembership(now time.Time) {
	if !a.baseSharesFit(now, a.memberCount(now)) {
		return
	}
	for name, leftAt := range a.members {
		if !leftAt.IsZero() && now.Sub(leftAt) >= baseShareHold {
			delete(a.members, name)
		}
	}
	for name := range a.pendingMembers {
		a.members[name] = time.Time{}
	}
	clear(a.pendingMembers)
}

func (a *SlotAllocator) baseSharesFit(now time.Time, n int) bool {
	for backend := range a.backends {
		if a.totalReserved(now, backend) > a.grantable(backend, n) {
			return false
		}
	}
	return true
}
