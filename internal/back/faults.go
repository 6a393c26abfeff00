package back

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/plat"
)

const (
	// maxFaultMs is one day.
	maxFaultMs = 24 * 3600 * 1000

	// lateBy is how long after the caller's deadline a late answer comes.
	lateBy = 50 * time.Millisecond
)

// Faults are the faults in force; the zero value means none.
type Faults struct {
	// FreezeConnections freezes, once, the connections that are open at that moment; new ones work.
	FreezeConnections bool `json:"silent"`
	// DelayMs is added to every service time.
	DelayMs int64 `json:"slow_ms"`
	// ErrorRate is the probability that a request runs and is answered with 500.
	ErrorRate float64 `json:"fail"`
	// TruncationRate is the probability that the connection or stream is cut in the middle of the answer.
	TruncationRate float64 `json:"half_answers"`
	// RespondLate lets every answer come after the caller's deadline.
	RespondLate bool `json:"late"`
	// Leaving makes the server refuse new work and say so in every answer.
	Leaving bool `json:"leaving"`
}

func (f Faults) validate() error {
	if f.DelayMs < 0 || f.DelayMs > maxFaultMs {
		return errors.Newf("slow_ms must be 0 to %d", maxFaultMs)
	}
	if min(f.ErrorRate, f.TruncationRate) < 0 || max(f.ErrorRate, f.TruncationRate) > 1 {
		return errors.New("fail and half_answers must be 0 to 1")
	}
	return nil
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.setFaults(f, nil)
}

// setFaults leaves the connection of the caller out of the silence, so that it gets its answer.
func (s *Server) setFaults(f Faults, caller *conn) {
	s.once.Do(s.start)
	if f.FreezeConnections {
		s.conns.freeze(caller)
	}
	f.FreezeConnections = false
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// fate is what happens to one request that runs.
type fate struct {
	service time.Duration
	fail    bool
	half    bool
}

func (s *Server) draw(d ServiceTime, deadline time.Duration) fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := fate{
		service: d.draw(s.random) + time.Duration(s.faults.DelayMs)*time.Millisecond,
		fail:    s.random.Float64() < s.faults.ErrorRate,
		half:    s.random.Float64() < s.faults.TruncationRate,
	}
	if s.faults.RespondLate {
		f.service = max(f.service, deadline+lateBy)
	}
	return f
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := plat.ReadJSON(w, r, &f); err != nil {
		plat.WriteJSON(w, http.StatusBadRequest, plat.ErrorReply{Error: "faults: " + err.Error()})
		return
	}
	if err := f.validate(); err != nil {
		plat.WriteJSON(w, http.StatusBadRequest, plat.ErrorReply{Error: "faults: " + err.Error()})
		return
	}
	caller, _ := r.Context().Value(connKey{}).(*conn)
	s.setFaults(f, caller)
	plat.WriteJSON(w, http.StatusOK, f)
}
