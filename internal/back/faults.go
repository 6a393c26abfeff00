package back

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/plat"
)

const (
	// maxFaultMs limits the delay in Faults to one day.
	maxFaultMs = 24 * 3600 * 1000

	// lateDelay is the time between the deadline of a request and a late response.
	lateDelay = 50 * time.Millisecond
)

// Faults configures the injected faults; the zero value means none.
type Faults struct {
	// FreezeConnections freezes, once, all connections that are open when the fault is set. Connections
	// that are opened later work.
	FreezeConnections bool `json:"silent"`
	// DelayMs is a delay added to every service time.
	DelayMs int64 `json:"slow_ms"`
	// ErrorRate is the probability that a request runs and fails with status 500.
	ErrorRate float64 `json:"fail"`
	// TruncationRate is the probability that the connection or stream is closed in the middle of the
	// response.
	TruncationRate float64 `json:"half_answers"`
	// RespondLate sends every response after the deadline of its request.
	RespondLate bool `json:"late"`
	// Leaving makes the server reject new requests and report its state in every response.
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

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.setFaults(f, nil)
}

// setFaults replaces the injected faults. It does not freeze the connection admin, over which the call
// came, so that the response can be sent.
func (s *Server) setFaults(f Faults, admin *conn) {
	s.once.Do(s.initialize)
	if f.FreezeConnections {
		s.conns.freeze(admin)
	}
	f.FreezeConnections = false
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// outcome is the randomly chosen outcome of a request that runs.
type outcome struct {
	duration time.Duration
	fail     bool
	truncate bool
}

// drawOutcome chooses the outcome of a request at random, according to its service time distribution and
// the injected faults.
func (s *Server) drawOutcome(d ServiceTime, deadline time.Duration) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := outcome{
		duration: d.sample(s.random) + time.Duration(s.faults.DelayMs)*time.Millisecond,
		fail:     s.random.Float64() < s.faults.ErrorRate,
		truncate: s.random.Float64() < s.faults.TruncationRate,
	}
	if s.faults.RespondLate {
		o.duration = max(o.duration, deadline+lateDelay)
	}
	return o
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
	admin, _ := r.Context().Value(connKey{}).(*conn)
	s.setFaults(f, admin)
	plat.WriteJSON(w, http.StatusOK, f)
}
