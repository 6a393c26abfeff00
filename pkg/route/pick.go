package route

import "time"

// Slot is one taken slot of a backend server. Do or Release frees it.
type Slot struct {
	// Backend is the name of the backend server.
	Backend string

	state *slotState
}

type slotState struct {
	server   *server
	released bool
}

// Acquire takes a slot of the best backend server and reports whether one was free. It never blocks.
// The name of the route is not used.
func (r *Router) Acquire(_ string) (Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot, ok := r.acquireLocked(nil)
	if !ok {
		r.failedAcquires++
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
	s.peakUsed = max(s.peakUsed, s.used)
	r.inProgress++
	return Slot{Backend: s.Name, state: &slotState{server: s}}, true
}

// pickLocked returns the better of two random servers that accept new work ("power of two
// choices"). It searches all servers for candidates only if one of the first two does not accept
// work.
func (r *Router) pickLocked(now time.Time, avoid map[*server]bool) *server {
	a, b := r.twoRandomLocked(r.servers)
	n := r.peerCountLocked(now)
	if b == nil || !r.acceptsWorkLocked(a, now, n, avoid) || !r.acceptsWorkLocked(b, now, n, avoid) {
		free := r.candidatesLocked(now, avoid)
		if len(free) == 0 && len(avoid) > 0 {
			free = r.candidatesLocked(now, nil)
		}
		a, b = r.twoRandomLocked(free)
	}
	if b != nil && b.cost(now) < a.cost(now) {
		return b
	}
	return a
}

// twoRandomLocked returns two different random servers of a list, or nil where it has too few.
func (r *Router) twoRandomLocked(list []*server) (a, b *server) {
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

// acceptsWorkLocked reports whether a server accepts new work from this instance.
func (r *Router) acceptsWorkLocked(s *server, now time.Time, peers int, avoid map[*server]bool) bool {
	return !s.leaving() && !avoid[s] && s.used < s.slotLimit(now, peers) && !r.ejectedLocked(s, now)
}

// candidatesLocked returns the servers that accept new work. The next call reuses the slice.
func (r *Router) candidatesLocked(now time.Time, avoid map[*server]bool) []*server {
	n := r.peerCountLocked(now)
	r.candidateBuf = r.candidateBuf[:0]
	for _, s := range r.servers {
		if r.acceptsWorkLocked(s, now, n, avoid) {
			r.candidateBuf = append(r.candidateBuf, s)
		}
	}
	return r.candidateBuf
}

// ejectedLocked reports whether a server is ejected. If the pool has shrunk so far that more than
// half of it would be ejected, the servers whose ejection ends first are used again.
func (r *Router) ejectedLocked(s *server, now time.Time) bool {
	if !now.Before(s.ejectedUntil) {
		return false
	}
	live, ejectedLonger, seen := 0, 0, false
	for _, o := range r.servers {
		seen = seen || o == s
		if o.leaving() {
			continue
		}
		live++
		// Among servers with the same time, those earlier in the list count as ejected longer.
		if o.ejectedUntil.After(s.ejectedUntil) || (!seen && o.ejectedUntil.Equal(s.ejectedUntil)) {
			ejectedLonger++
		}
	}
	return ejectedLonger < live/2
}

// mayEjectLocked reports whether one more server may be ejected.
func (r *Router) mayEjectLocked(now time.Time) bool {
	live, ejected := 0, 0
	for _, s := range r.servers {
		if s.leaving() {
			continue
		}
		live++
		if now.Before(s.ejectedUntil) {
			ejected++
		}
	}
	return ejected+1 <= live/2
}

// Release frees a slot that was not used.
func (r *Router) Release(slot Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseLocked(slot)
}

func (r *Router) releaseLocked(slot Slot) {
	st := slot.state
	if st == nil || st.released {
		panic("route: slot released twice")
	}
	st.released = true
	st.server.used--
	r.workDoneLocked()
	r.signalSlotLocked()
}

// workDoneLocked ends one slot or request that Drain waits for.
func (r *Router) workDoneLocked() {
	r.inProgress--
	if r.inProgress == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// FreeSlots returns the number of slots that this instance can take now.
func (r *Router) FreeSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	n := 0
	for _, s := range r.candidatesLocked(now, nil) {
		n += s.slotLimit(now, r.peerCountLocked(now)) - s.used
	}
	return n
}
