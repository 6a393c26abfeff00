package route

import "time"

// peers is the number of entry instances in the domain, as far as base shares depend on it.
type peers struct {
	n       int
	pending int
	since   time.Time // when pending was first lower than n
}

// SetPeers sets the number of entry instances in the domain. A lower number, which
// raises the base share, takes effect 10 s later: the base share of an instance that
// is gone stays reserved for that time.
func (r *Router) SetPeerCount(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = max(n, 1)
	p := &r.peers
	if p.n == 0 || n >= p.n {
		*p = peers{n: n, pending: n}
		r.signalLocked()
		return
	}
	if n == p.pending {
		return
	}
	p.since, p.pending = r.now(), n
	time.AfterFunc(baseHold, r.signal)
}

func (r *Router) peersLocked(now time.Time) int {
	p := &r.peers
	if p.pending < p.n && now.Sub(p.since) >= baseHold {
		p.n = p.pending
	}
	return p.n
}

// Grants takes over the grants of the domain owner. now is the time when the message
// that they answer was sent: a lease counted from the arrival would outlive the
// owner's record of it. Grants older than those in force are dropped.
func (r *Router) ApplyGrants(now time.Time, grants []Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.grantsAt) {
		return
	}
	r.grantsAt = now
	for _, s := range r.byName {
		s.granted = 0
	}
	for _, g := range grants {
		if s := r.byName[g.Backend]; s != nil {
			s.granted = max(g.Slots, 0)
			s.grantEnd = now.Add(g.TTL)
		}
	}
	r.signalLocked()
}

// Demands returns what this instance wants beyond its base shares since the last call.
func (r *Router) CollectDemands() []Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	n := r.peersLocked(now)
	live := 0
	for _, s := range r.servers {
		if !s.leaving() {
			live++
		}
	}
	if live == 0 {
		return nil
	}
	unmet := (r.misses + live - 1) / live
	r.misses = 0
	var demands []Demand
	for _, s := range r.servers {
		if s.leaving() {
			continue
		}
		base := baseShare(s.Slots, n)
		wanted := max(s.peak-base, 0) + unmet
		if base == 0 {
			// Without a base share the first request would have to wait for a heartbeat.
			wanted = max(wanted, 1)
		}
		s.peak = s.used
		if wanted = min(wanted, s.Slots-base); wanted > 0 {
			demands = append(demands, Demand{Backend: s.Name, Wanted: wanted})
		}
	}
	return demands
}
