package route

import "time"

// maxPendingChanges bounds the changes that wait to be reported. Further ones are dropped and
// counted.
const maxPendingChanges = 256

// StateChange is a change of state of a backend server, for the log and the timeline.
type StateChange struct {
	At      time.Time
	Backend string
	State   string // live, leaving, gone or ejected
}

// notifyState queues the state of the server for OnStateChange if it has changed.
func (s *server) notifyState(now time.Time) {
	r := s.router
	state := string(Live)
	switch {
	case s.gone():
		state = string(Gone)
	case s.leaving():
		state = string(Leaving)
	case now.Before(s.ejectedUntil):
		state = "ejected"
	}
	if state == s.notifiedState || r.OnStateChange == nil {
		return
	}
	s.notifiedState = state
	select {
	case r.stateChangesLocked() <- StateChange{At: now, Backend: s.Name, State: state}:
	default:
		r.stats.ChangesDropped++
	}
}

func (r *Router) stateChangesLocked() chan StateChange {
	if r.stateChanges == nil {
		r.stateChanges = make(chan StateChange, maxPendingChanges)
	}
	return r.stateChanges
}
