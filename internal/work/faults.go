package work

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/plat"
)

const (
	// maxFaultMs limits the delays in Faults to one day.
	maxFaultMs = 24 * 3600 * 1000

	maxUsageFactor = 1000
)

// Faults configures the injected faults; the zero value means none.
type Faults struct {
	// FailStarts makes every task fail immediately after its start.
	FailStarts bool `json:"fail_starts"`
	// Frozen holds every call until the fault is cleared and then executes it, even if the client
	// has given up. Meanwhile tasks keep running and the owner's lease can expire.
	Frozen bool `json:"frozen"`
	// DelayMs delays every call. It is executed after the delay even if the client has given up.
	DelayMs int64 `json:"slow_ms"`
	// UsageDelayMs is the time from the start of a task until its usage is reported; 0 means 2,000.
	UsageDelayMs int64 `json:"usage_delay_ms"`
	// UsageFactor is a factor applied to the actual usage; 0 means 1.
	UsageFactor float64 `json:"usage_factor"`
	// Crash ends all tasks and starts a new incarnation, once.
	Crash bool `json:"crash"`
}

func (f Faults) validate() error {
	if f.DelayMs < 0 || f.DelayMs > maxFaultMs || f.UsageDelayMs < 0 || f.UsageDelayMs > maxFaultMs {
		return errors.Newf("slow_ms and usage_delay_ms must be 0 to %d", maxFaultMs)
	}
	if f.UsageFactor < 0 || f.UsageFactor > maxUsageFactor {
		return errors.Newf("usage_factor must be 0 to %d", maxUsageFactor)
	}
	return nil
}

func (f Faults) usageDelay() time.Duration {
	if f.UsageDelayMs > 0 {
		return time.Duration(f.UsageDelayMs) * time.Millisecond
	}
	return defaultUsageDelay
}

func (f Faults) usageFactor() float64 {
	if f.UsageFactor > 0 {
		return f.UsageFactor
	}
	return 1
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.once.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen && !f.Frozen {
		close(s.unfrozen)
	}
	if !s.faults.Frozen && f.Frozen {
		s.unfrozen = make(chan struct{})
	}
	if f.Crash {
		s.crash()
	}
	f.Crash = false
	s.faults = f
}

func (s *Server) crash() {
	now := s.advance()
	for _, t := range s.tasks {
		if t.State == Running {
			s.endTask(t, now, endStateCrashed)
		}
	}
	s.startIncarnation(now)
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
	s.SetFaults(f)
	plat.WriteJSON(w, http.StatusOK, f)
}
