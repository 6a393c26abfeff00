package route

import "time"

// Slot is one taken slot of a backend server. Do or GiveBack ends it.
type Slot struct {
	// Backend is the name of the backend server.
	Backend string

	ticket *ticket
}

type ticket struct {
	server *server
	spent  bool
}

// Acquire takes a slot of the best backend server or says that none is free; it never waits.
func (r *Router) Acquire(_ string) (Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot, ok := r.acquireLocked(nil)
	if !ok {
		r.misses++
	}
	return slot, ok
}

func (r *Router) acquireLocked(avoid map[*server]bool) (Slot, bool) {
	if r.closed {
		return Slot{}, false
	}
	now := r.now()
	free := r.candidatesLocked(now, avoid)
	if len(free) == 0 && len(avoid) > 0 {
		free = r.candidatesLocked(now, nil)
	}
	s := r.bestLocked(now, free)
	if s == nil {
		return Slot{}, false
	}
	s.used++
	s.peak = max(s.peak, s.used)
	r.working++
	return Slot{Backend: s.Name, ticket: &ticket{server: s}}, true
}

// candidatesLocked returns the servers with a free share that may take new work.
func (r *Router) candidatesLocked(now time.Time, avoid map[*server]bool) []*server {
	n := r.peersLocked(now)
	r.scratch = r.scratch[:0]
	for _, s := range r.servers {
		if s.leaving() || avoid[s] || s.used >= s.limit(now, n) || r.ejectedLocked(s, now) {
			continue
		}
		r.scratch = append(r.scratch, s)
	}
	return r.scratch
}

// bestLocked returns the better of two random choices.
func (r *Router) bestLocked(now time.Time, free []*server) *server {
	switch len(free) {
	case 0:
		return nil
	case 1:
		return free[0]
	}
	i := r.random(len(free))
	j := r.random(len(free) - 1)
	if j >= i {
		j++
	}
	if free[j].cost(now) < free[i].cost(now) {
		return free[j]
	}
	return free[i]
}

// ejectedLocked reports whether a server is ejected. When the pool has shrunk so far that
// more than half of it would be ejected, those whose time ends first are used again.
func (r *Router) ejectedLocked(s *server, now time.Time) bool {
	if !now.Before(s.ejectUntil) {
		return false
	}
	live, longer, passed := 0, 0, false
	for _, o := range r.servers {
		passed = passed || o == s
		if o.leaving() {
			continue
		}
		live++
		// Of servers with the same time, those first in the list count as longer.
		if o.ejectUntil.After(s.ejectUntil) || (!passed && o.ejectUntil.Equal(s.ejectUntil)) {
			longer++
		}
	}
	return longer < live/2
}

// mayEjectLocked reports whether one more server may be ejected.
func (r *Router) mayEjectLocked(now time.Time) bool {
	live, ejected := 0, 0
	for _, s := range r.servers {
		if s.leaving() {
			continue
		}
		live++
		if now.Before(s.ejectUntil) {
			ejected++
		}
	}
	return ejected+1 <= live/2
}

// GiveBack returns a slot that was not used.
func (r *Router) GiveBack(slot Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.giveBackLocked(slot)
}

func (r *Router) giveBackLocked(slot Slot) {
	t := slot.ticket
	if t == nil || t.spent {
		panic("route: slot given back twice")
	}
	t.spent = true
	t.server.used--
	r.working--
	if r.working == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
	r.signalLocked()
}

// Free returns the number of slots that are free now.
func (r *Router) Free() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	n := 0
	for _, s := range r.candidatesLocked(now, nil) {
		n += s.limit(now, r.peersLocked(now)) - s.used
	}
	return n
}
