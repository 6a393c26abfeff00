package work

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/pkg/lease"
)

const (
	maxBodyBytes = 4 << 20

	// maxRunMs is ten years.
	maxRunMs = 10 * 365 * 24 * 3600 * 1000
)

// The reasons for a refused start.
const (
	reasonMalformed  = "malformed: id, attempt from 1, on_cut_off stay or move, resources and run_ms from 0 and below ten years"
	reasonLapsed     = "lapsed: the owner's claim is not proven recently enough"
	reasonHeld       = "held: another attempt of the task is held"
	reasonOldAttempt = "old attempt: this attempt or a later one has ended and was forgotten"
	reasonLeaving    = "leaving: the worker is being stopped"
	reasonCapacity   = "capacity: the sum of grants would exceed the capacity"
)

// Handler serves the worker's protocol.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.start)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/claim", s.call(s.claim))
	mux.HandleFunc("POST /v1/sync", s.call(s.sync))
	mux.HandleFunc("GET /v1/history", func(w http.ResponseWriter, _ *http.Request) {
		plat.WriteJSON(w, http.StatusOK, s.History())
	})
	mux.HandleFunc("POST /v1/faults", s.postFaults)
	return mux
}

// call decodes a request, waits as the faults say and carries it out under the lock.
func (s *Server) call(handle func(body []byte, now time.Duration) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			plat.WriteJSON(w, http.StatusRequestEntityTooLarge, plat.ErrorReply{Error: err.Error()})
			return
		}
		if !s.hold() {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		status, value := handle(body, s.advance())
		s.mu.Unlock()
		plat.WriteJSON(w, status, value)
	}
}

// hold delays a call by the faults in force; ok is false when too many calls wait.
func (s *Server) hold() (ok bool) {
	s.mu.Lock()
	slow := time.Duration(s.faults.DelayMs) * time.Millisecond
	thawed := s.thawed
	if s.held >= maxHeld {
		s.mu.Unlock()
		return false
	}
	s.held++
	s.mu.Unlock()

	time.Sleep(slow)
	<-thawed

	s.mu.Lock()
	s.held--
	s.mu.Unlock()
	return true
}

func malformed(err error) (int, any) {
	return http.StatusBadRequest, plat.ErrorReply{Error: err.Error()}
}

func (s *Server) claim(body []byte, now time.Duration) (int, any) {
	var c Claim
	if err := json.Unmarshal(body, &c); err != nil {
		return malformed(err)
	}
	before := s.fence.Epoch()
	ok, current := s.fence.Claim(c.Owner, c.Epoch)
	if !ok {
		return http.StatusConflict, ConflictReply{Epoch: current}
	}
	if current > before {
		s.sequence = 0
	}
	if !s.inOrder(c.Sequence) {
		return http.StatusConflict, ConflictReply{Epoch: current, Sequence: s.sequence}
	}
	return http.StatusOK, ClaimReply{
		Incarnation: s.incarnation,
		ClockMs:     now.Milliseconds(),
		Capacity:    s.Capacity,
		Tasks:       s.report(now),
	}
}

func (s *Server) sync(body []byte, now time.Duration) (int, any) {
	var c Sync
	if err := json.Unmarshal(body, &c); err != nil {
		return malformed(err)
	}
	if !s.fence.Admit(c.Owner, c.Epoch) || !s.inOrder(c.Sequence) {
		return http.StatusConflict, ConflictReply{Epoch: s.fence.Epoch(), Sequence: s.sequence}
	}
	if c.RenewFromMs > 0 && c.RenewFromMs <= now.Milliseconds() {
		s.fence.Renew(time.Duration(c.RenewFromMs)*time.Millisecond, now)
	}
	s.command(c, now)
	started := make([]StartResult, 0, len(c.Starts))
	for _, st := range c.Starts {
		reason := s.startTask(st, now)
		started = append(started, StartResult{ID: st.ID, Accepted: reason == "", Reason: reason})
	}
	return http.StatusOK, SyncReply{ClockMs: now.Milliseconds(), Starts: started, Tasks: s.report(now)}
}

// inOrder refuses a call that was overtaken by a later one of the same epoch: its stops and
// forgets could hit a later attempt of a task, and its starts would run what the answer to
// the later call said is not held. Sequence 0 is always accepted.
func (s *Server) inOrder(sequence int64) bool {
	if sequence == 0 {
		return true
	}
	if sequence <= s.sequence {
		return false
	}
	s.sequence = sequence
	return true
}

// command applies everything but the starts.
func (s *Server) command(c Sync, now time.Duration) {
	for _, id := range c.Acks {
		s.forget(id)
	}
	for _, id := range c.Stops {
		if t, ok := s.running(id); ok {
			s.end(t, now, Stopped)
		}
	}
	for _, id := range c.Checkpoints {
		if t, ok := s.running(id); ok {
			t.CheckpointMs = now.Milliseconds()
		}
	}
	for _, th := range c.Throttles {
		if t, ok := s.running(th.ID); ok {
			t.throttle(th.CPUMillis, now)
		}
	}
}

func (s *Server) running(id string) (*task, bool) {
	t, ok := s.tasks[id]
	return t, ok && t.State == Running
}

// forget drops a task that has ended and remembers its attempt, so that a late start of it is refused.
func (s *Server) forget(id string) {
	t, ok := s.tasks[id]
	if !ok || t.State == Running {
		return
	}
	delete(s.tasks, id)
	if _, known := s.forgotten[id]; !known {
		s.order = append(s.order, id)
	}
	s.forgotten[id] = t.Attempt
	if len(s.order) > maxForgotten {
		delete(s.forgotten, s.order[0])
		s.order = s.order[1:]
	}
}

// startTask starts one task, or returns the reason for a refusal.
func (s *Server) startTask(st Start, now time.Duration) (reason string) {
	cutOff := st.OnCutOff == lease.StayOnCutOff || st.OnCutOff == lease.MoveOnCutOff
	if st.ID == "" || st.Attempt < 1 || !cutOff || !st.Resources.valid() || st.RunMs < 0 || st.RunMs > maxRunMs {
		return reasonMalformed
	}
	if t, ok := s.tasks[st.ID]; ok {
		if t.Attempt == st.Attempt {
			return ""
		}
		return reasonHeld
	}
	if st.Attempt <= s.forgotten[st.ID] {
		return reasonOldAttempt
	}
	if s.leaving {
		return reasonLeaving
	}
	if s.fence.Expired(st.OnCutOff, now) {
		return reasonLapsed
	}
	sum := s.granted().plus(st.Resources)
	if !sum.fits(s.Capacity) {
		return reasonCapacity
	}
	t := newTask(st, now, s.faults.FailStarts)
	t.run = len(s.record.Runs)
	s.tasks[st.ID] = t
	s.record.PeakGranted = s.record.PeakGranted.peak(sum)
	s.record.Runs = append(s.record.Runs, Run{ID: t.ID, Attempt: t.Attempt, Job: t.Job, StartMs: t.StartedMs})
	return ""
}
