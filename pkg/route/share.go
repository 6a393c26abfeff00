package route

import "time"

// peerCount is the number of entry instances in the failure domain that the base shares are divided
// among.
type peerCount struct {
	current      int
	pending      int
	pendingSince time.Time // when pending was set to a number lower than current
}

// SetPeerCount sets the number of entry instances in the failure domain. A lower number, which
// raises the base share, takes effect 10 s later, because the base share of an instance that is
// gone stays reserved for that time.
func (r *Router) SetPeerCount(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = max(n, 1)
	p := &r.peerCount
	if p.current == 0 || n >= p.current {
		*p = peerCount{current: n, pending: n}
		r.signalSlotLocked()
		return
	}
	if n == p.pending {
		return
	}
	p.pendingSince, p.pending = r.now(), n
	time.AfterFunc(baseShareHold, r.signalSlot)
}

func (r *Router) peerCountLocked(now time.Time) int {
	p := &r.peerCount
	if p.pending < p.current && now.Sub(p.pendingSince) >= baseShareHold {
		p.current = p.pending
	}
	return p.current
}

// ApplyGrants applies the grants of the domain owner. sentAt is the time when the message to which
// they respond was sent: a TTL counted from the arrival would outlive the owner's reservation.
// Grants older than those in force are ignored.
func (r *Router) ApplyGrants(sentAt time.Time, grants []Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sentAt.Before(r.grantsSentAt) {
		return
	}
	r.grantsSentAt = sentAt
	for _, s := range r.byName {
		s.granted = 0
	}
	for _, g := range grants {
		if s := r.byName[g.Backend]; s != nil {
			s.granted = max(g.Slots, 0)
			s.grantExpiry = sentAt.Add(g.TTL)
		}
	}
	r.signalSlotLocked()
}

// CollectDemands returns the slots that this instance wants beyond its base shares, according to the
// use and the failed Acquire calls since the last call.
func (r *Router) CollectDemands() []Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	n := r.peerCountLocked(now)
	live := 0
	for _, s := range r.servers {
		if !s.leaving() {
			live++
		}
	}
	if live == 0 {
		return nil
	}
	unmetPerServer := (r.failedAcquires + live - 1) / live
	r.failedAcquires = 0
	var demands []Demand
	for _, s := range r.servers {
		if s.leaving() {
			continue
		}
		base := baseShare(s.Slots, n)
		wanted := max(s.peakUsed-base, 0) + unmetPerServer
		if base == 0 {
			// Without a base share, the first request would otherwise have to wait for the next
			// heartbeat.
			wanted = max(wanted, 1)
		}
		s.peakUsed = s.used
		if wanted = min(wanted, s.Slots-base); wanted > 0 {
			demands = append(demands, Demand{Backend: s.Name, Wanted: wanted})
		}
	}
	return demands
}
