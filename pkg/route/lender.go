package route

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

const (
	// LeaseTime is how long a grant lasts without renewal.
	GrantTTL = 3 * time.Second

	// baseHold is how long the base share of a holder that is gone stays reserved.
	baseHold = 10 * time.Second

	// leaseMargin keeps a grant reserved beyond its lease for clocks that run at different rates.
	leaseMargin = 500 * time.Millisecond

	// rotation is the period after which an indivisible remainder moves to the next holder.
	// It is ten leases long because a slot that moves stays unused for one lease.
	rotation = 10 * GrantTTL
)

// Demand asks for slots of one backend server beyond the base share.
type Demand struct {
	Backend string
	Wanted  int
}

// Grant lends slots of one backend server until the lease ends.
type Grant struct {
	Backend string
	Slots   int
	TTL     time.Duration
}

// Lender lends the slots outside the base shares of one failure domain.
// It is pure: one goroutine owns it, and time is passed in.
type SlotAllocator struct {
	start    time.Time
	backends map[string]int
	members  map[string]time.Time // zero while present, else when it was last present
	pending  map[string]bool      // members whose base share does not fit yet
	demands  map[string]demand
	granted  map[string]map[string][]reservation // backend, holder
}

type demand struct {
	at     time.Time
	wanted map[string]int
}

type reservation struct {
	slots int
	until time.Time
}

func (l *SlotAllocator) init(now time.Time) {
	if l.members != nil {
		return
	}
	l.start = now
	l.backends = make(map[string]int)
	l.members = make(map[string]time.Time)
	l.pending = make(map[string]bool)
	l.demands = make(map[string]demand)
	l.granted = make(map[string]map[string][]reservation)
}

// Backends sets the backend servers whose slots are lent.
func (l *SlotAllocator) SetBackends(now time.Time, list []Backend) {
	l.init(now)
	clear(l.backends)
	for _, b := range list {
		if b.State == Live || b.State == "" {
			l.backends[b.Name] = b.Slots
		}
	}
}

// Members sets the names of the entry instances that are present.
func (l *SlotAllocator) SetMembers(now time.Time, names []string) {
	l.init(now)
	for name, left := range l.members {
		if left.IsZero() && !slices.Contains(names, name) {
			l.members[name] = now
		}
	}
	for _, name := range names {
		if _, ok := l.members[name]; !ok {
			l.pending[name] = true
			continue
		}
		l.members[name] = time.Time{}
	}
	for name := range l.pending {
		if !slices.Contains(names, name) {
			delete(l.pending, name)
		}
	}
	l.settle(now)
	l.prune(now)
}

// prune forgets grants that have ended and demands that no grant can follow from.
func (l *SlotAllocator) prune(now time.Time) {
	for _, holders := range l.granted {
		for holder := range holders {
			if reservedSlots(holders[holder], now) == 0 {
				delete(holders, holder)
			}
		}
	}
	for holder, d := range l.demands {
		if now.Sub(d.at) >= GrantTTL {
			delete(l.demands, holder)
		}
	}
}

// Demand records what a holder wants beyond its base shares.
func (l *SlotAllocator) SetDemand(now time.Time, holder string, wanted []Demand) {
	l.init(now)
	d := demand{at: now, wanted: make(map[string]int, len(wanted))}
	for _, w := range wanted {
		d.wanted[w.Backend] = max(w.Wanted, 0)
	}
	l.demands[holder] = d
}

// Peers returns the number of entry instances whose base shares are in force.
func (l *SlotAllocator) PeerCount(now time.Time) int {
	l.init(now)
	l.settle(now)
	return len(l.members)
}

// Grants returns the grants of a holder and reserves them for one lease.
func (l *SlotAllocator) Allocate(now time.Time, holder string) []Grant {
	l.init(now)
	l.settle(now)
	// The grants of an earlier lender of this domain may still be in use.
	if now.Sub(l.start) < GrantTTL+leaseMargin {
		return nil
	}
	if left, ok := l.members[holder]; !ok || !left.IsZero() {
		return nil
	}
	var grants []Grant
	for backend := range l.backends {
		if n := l.grant(now, backend, holder); n > 0 {
			grants = append(grants, Grant{Backend: backend, Slots: n, TTL: GrantTTL})
		}
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Backend < grants[j].Backend })
	return grants
}

func (l *SlotAllocator) grant(now time.Time, backend, holder string) int {
	lendable := l.lendable(backend, len(l.members))
	// The base shares of the next set of members must fit once the present leases have ended.
	next := l.size(now.Add(GrantTTL + leaseMargin))
	lendable = min(lendable, l.lendable(backend, next))
	others := l.reserved(now, backend) - l.reservedBy(now, backend, holder)
	n := min(l.fair(now, backend, holder, lendable), lendable-others)
	if n <= 0 {
		return 0
	}
	l.reserve(now, backend, holder, n)
	return n
}

// lendable returns the slots of a backend server outside the base shares of n members.
func (l *SlotAllocator) lendable(backend string, n int) int {
	slots := l.backends[backend]
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

// fair returns the holder's max-min fair part of the lendable slots.
func (l *SlotAllocator) fair(now time.Time, backend, holder string, lendable int) int {
	wants := make(map[string]int)
	for name, left := range l.members {
		d := l.demands[name]
		if left.IsZero() && now.Sub(d.at) < GrantTTL && d.wanted[backend] > 0 {
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
	// The remainder goes round: another holder comes first in each period.
	first := (int(now.Unix()/int64(rotation/time.Second)) + nameHash(backend)) % len(names)
	names = append(names[first:], names[:first]...)
	parts := make(map[string]int, len(names))
	for lendable > 0 {
		given := false
		for _, name := range names {
			if lendable > 0 && parts[name] < wants[name] {
				parts[name]++
				lendable--
				given = true
			}
		}
		if !given {
			break
		}
	}
	return parts[holder]
}

// nameHash makes the remainders of different backend servers go to different holders.
func nameHash(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() >> 1)
}

func (l *SlotAllocator) reserve(now time.Time, backend, holder string, n int) {
	if l.granted[backend] == nil {
		l.granted[backend] = make(map[string][]reservation)
	}
	// The new grant may be lost, so an older and larger one counts until it ends.
	kept := l.granted[backend][holder][:0]
	for _, r := range l.granted[backend][holder] {
		if r.slots > n && r.until.After(now) {
			kept = append(kept, r)
		}
	}
	until := now.Add(GrantTTL + leaseMargin)
	l.granted[backend][holder] = append(kept, reservation{slots: n, until: until})
}

func (l *SlotAllocator) reservedBy(now time.Time, backend, holder string) int {
	return reservedSlots(l.granted[backend][holder], now)
}

func reservedSlots(list []reservation, now time.Time) int {
	n := 0
	for _, r := range list {
		if r.until.After(now) {
			n = max(n, r.slots)
		}
	}
	return n
}

func (l *SlotAllocator) reserved(now time.Time, backend string) int {
	n := 0
	for holder := range l.granted[backend] {
		n += l.reservedBy(now, backend, holder)
	}
	return n
}

// size returns the number of members once all changes due at a time are in force.
func (l *SlotAllocator) size(at time.Time) int {
	n := len(l.pending)
	for _, left := range l.members {
		if left.IsZero() || at.Sub(left) < baseHold {
			n++
		}
	}
	return n
}

// settle admits new members and drops those gone for long enough, once the
// base shares that follow fit beside the grants that have not ended.
func (l *SlotAllocator) settle(now time.Time) {
	if !l.fits(now, l.size(now)) {
		return
	}
	for name, left := range l.members {
		if !left.IsZero() && now.Sub(left) >= baseHold {
			delete(l.members, name)
		}
	}
	for name := range l.pending {
		l.members[name] = time.Time{}
	}
	clear(l.pending)
}

func (l *SlotAllocator) fits(now time.Time, n int) bool {
	for backend := range l.backends {
		if l.reserved(now, backend) > l.lendable(backend, n) {
			return false
		}
	}
	return true
}
