package route

import "time"

// maxChanges bounds the changes that wait to be reported; more are dropped and counted.
const maxChanges = 256

// Change is a change of state of a backend server, for log lines and the time line.
type StateChange struct {
	At      time.Time
	Backend string
	State   string // live, leaving, gone or ejected
}

// noteState reports the server's state if it has changed.
func (s *server) noteState(now time.Time) {
	r := s.router
	state := string(Live)
	switch {
	case s.gone():
		state = string(Gone)
	case s.leaving():
		state = string(Leaving)
	case now.Before(s.ejectUntil):
		state = "ejected"
	}
	if state == s.noted || r.OnStateChange == nil {
		return
	}
	s.noted = state
	select {
	case r.changesLocked() <- StateChange{At: now, Backend: s.Name, State: state}:
	default:
		r.stats.ChangesDropped++
	}
}

func (r *Router) changesLocked() chan StateChange {
	if r.changes == nil {
		r.changes = make(chan StateChange, maxChanges)
	}
	return r.changes
}
