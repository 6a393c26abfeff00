package back

import (
	"net/http"
	"time"

	"github.com/daisyrack/daisyrack/internal/plat"
)

// Faults are the faults in force; the zero value means none.
type Faults struct {
	// Silent freezes, once, the connections that are open at that moment; new ones work.
	Silent bool `json:"silent"`
	// SlowMs is added to every service time.
	SlowMs int64 `json:"slow_ms"`
	// Fail is the probability that a request runs and is answered with 500.
	Fail float64 `json:"fail"`
	// HalfAnswers is the probability that the connection or stream is cut in the middle of the answer.
	HalfAnswers float64 `json:"half_answers"`
	// Late lets every answer come after the caller's deadline.
	Late bool `json:"late"`
	// Leaving makes the server refuse new work and say so in every answer.
	Leaving bool `json:"leaving"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.once.Do(s.start)
	if f.Silent {
		s.conns.freeze()
	}
	f.Silent = false
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

const lateBy = 50 * time.Millisecond

func (s *Server) draw(d ServiceTime, deadline time.Duration) fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := fate{
		service: d.draw(s.random) + time.Duration(s.faults.SlowMs)*time.Millisecond,
		fail:    s.random.Float64() < s.faults.Fail,
		half:    s.random.Float64() < s.faults.HalfAnswers,
	}
	if s.faults.Late {
		f.service = max(f.service, deadline+lateBy)
	}
	return f
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := plat.ReadJSON(w, r, &f); err != nil {
		plat.WriteJSON(w, http.StatusBadRequest, plat.Problem{Error: "faults: " + err.Error()})
		return
	}
	s.SetFaults(f)
	plat.WriteJSON(w, http.StatusOK, f)
}
