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
	s := r.pickLocked(r.now(), avoid)
	if s == nil {
		return Slot{}, false
	}
	s.used++
	s.peak = max(s.peak, s.used)
	r.working++
	return Slot{Backend: s.Name, ticket: &ticket{server: s}}, true
}

// pickLocked returns the better of two random servers that may take new work. It looks
// for those that may among all servers only if one of the two may not.
func (r *Router) pickLocked(now time.Time, avoid map[*server]bool) *server {
	a, b := r.twoLocked(r.servers)
	n := r.peersLocked(now)
	if b == nil || !r.takesLocked(a, now, n, avoid) || !r.takesLocked(b, now, n, avoid) {
		free := r.candidatesLocked(now, avoid)
		if len(free) == 0 && len(avoid) > 0 {
			free = r.candidatesLocked(now, nil)
		}
		a, b = r.twoLocked(free)
	}
	if b != nil && b.cost(now) < a.cost(now) {
		return b
	}
	return a
}

// twoLocked returns two different random servers of a list, as far as it has them.
func (r *Router) twoLocked(list []*server) (a, b *server) {
	switch len(list) {
	case 0:
		return nil, nil
	case 1:
		return list[0], nil
	}
	i := r.random(len(list))
	j := r.random(len(list) - 1)
	if j >= i {
		j++
	}
	return list[i], list[j]
}

// takesLocked reports whether a server may take new work from this instance.
func (r *Router) takesLocked(s *server, now time.Time, peers int, avoid map[*server]bool) bool {
	return !s.leaving() && !avoid[s] && s.used < s.limit(now, peers) && !r.ejectedLocked(s, now)
}

// candidatesLocked returns the servers that may take new work.
func (r *Router) candidatesLocked(now time.Time, avoid map[*server]bool) []*server {
	n := r.peersLocked(now)
	r.scratch = r.scratch[:0]
	for _, s := range r.servers {
		if r.takesLocked(s, now, n, avoid) {
			r.scratch = append(r.scratch, s)
		}
	}
	return r.scratch
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
func (r *Router) Release(slot Slot) {
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
	r.workedLocked()
	r.signalLocked()
}

// workedLocked ends a piece of work that Drain waits for.
func (r *Router) workedLocked() {
	r.working--
	if r.working == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// Free returns the number of slots that are free now.
func (r *Router) FreeSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	n := 0
	for _, s := range r.candidatesLocked(now, nil) {
		n += s.limit(now, r.peersLocked(now)) - s.used
	}
	return n
}
