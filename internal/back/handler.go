package back

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/daisyrack/daisyrack/internal/plat"
)

const (
	maxBodyBytes = 1 << 20
	maxIDBytes   = 256

	// maxDeadlineMs limits the deadline of a request to one day.
	maxDeadlineMs = 24 * 3600 * 1000
)

// Handler returns the HTTP handler for the backend server's protocol.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.initialize)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run/{route}", s.run)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		plat.WriteJSON(w, http.StatusOK, s.RunCounts())
	})
	mux.HandleFunc("POST /v1/faults", s.postFaults)
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	h := Health{State: s.state(), Slots: s.Slots, Busy: s.busy, Incarnation: s.incarnation}
	s.mu.Unlock()
	s.setStateHeader(w)
	plat.WriteJSON(w, http.StatusOK, h)
}

// setStateHeader adds the server's state to a response, unless it is live.
func (s *Server) setStateHeader(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.state(); state != plat.StateLive {
		w.Header().Set(ServerStateHeader, state)
	}
}

func (s *Server) refuse(w http.ResponseWriter, status int, reason string) {
	s.setStateHeader(w)
	w.Header().Set(RunStateHeader, NotRun)
	plat.WriteJSON(w, status, plat.ErrorReply{Error: reason})
}

// ResponseBody returns the body of a complete response: the request id, a line feed and the request's
// body.
func ResponseBody(id string, request []byte) []byte {
	return append([]byte(id+"\n"), request...)
}

// ParseDeadline parses the time until the deadline of a request, given in milliseconds.
func ParseDeadline(text string) (time.Duration, error) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadlineMs {
		return 0, fmt.Errorf("back: %s %q must be 1 to %d", DeadlineHeader, text, maxDeadlineMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(RequestIDHeader)
	if id == "" || len(id) > maxIDBytes {
		s.refuse(w, http.StatusBadRequest, fmt.Sprintf("%s must have 1 to %d bytes", RequestIDHeader, maxIDBytes))
		return
	}
	w.Header().Set(RequestIDHeader, id)
	deadline, err := ParseDeadline(r.Header.Get(DeadlineHeader))
	if err != nil {
		s.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	serviceTime, ok := s.Routes[r.PathValue("route")]
	if !ok {
		s.refuse(w, http.StatusNotFound, fmt.Sprintf("route %q does not exist", r.PathValue("route")))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body is unreadable or above %d bytes", maxBodyBytes))
		return
	}
	if !s.admit(id, r.Header.Get(IdempotencyKeyHeader)) {
		s.refuse(w, http.StatusServiceUnavailable, "all slots are busy or the server is leaving")
		return
	}
	o := s.drawOutcome(serviceTime, deadline)
	time.Sleep(o.duration)
	s.release()
	s.respond(w, o, ResponseBody(id, body))
}

// respond sends the response to a request that ran.
func (s *Server) respond(w http.ResponseWriter, o outcome, body []byte) {
	s.setStateHeader(w)
	if o.fail {
		plat.WriteJSON(w, http.StatusInternalServerError, plat.ErrorReply{Error: "request failed"})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	if !o.truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
