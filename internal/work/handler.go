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

	// maxRunMs limits the run time of a task to ten years.
	maxRunMs = 10 * 365 * 24 * 3600 * 1000
)

// Reasons for rejecting a start.
const (
	reasonMalformed    = "malformed: id, attempt from 1, on_cut_off stay or move, resources and run_ms from 0 and below ten years"
	reasonLeaseExpired = "lapsed: the owner's claim is not proven recently enough"
	reasonOtherAttempt = "held: another attempt of the task is held"
	reasonStaleAttempt = "old attempt: this attempt or a later one has ended and was forgotten"
	reasonLeaving      = "leaving: the worker is being stopped"
	reasonCapacity     = "capacity: the sum of grants would exceed the capacity"
)

// Handler returns the HTTP handler for the worker's protocol.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.initialize)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/claim", s.callHandler(s.claim))
	mux.HandleFunc("POST /v1/sync", s.callHandler(s.sync))
	mux.HandleFunc("GET /v1/history", func(w http.ResponseWriter, _ *http.Request) {
		plat.WriteJSON(w, http.StatusOK, s.History())
	})
	mux.HandleFunc("POST /v1/faults", s.postFaults)
	return mux
}

// callHandler returns the HTTP handler of a call. It reads the request, delays it according to the
// injected faults and then calls handle with s.mu held.
func (s *Server) callHandler(handle func(body []byte, now time.Duration) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			plat.WriteJSON(w, http.StatusRequestEntityTooLarge, plat.ErrorReply{Error: err.Error()})
			return
		}
		if !s.delayCall() {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		status, value := handle(body, s.advance())
		s.mu.Unlock()
		plat.WriteJSON(w, status, value)
	}
}

// delayCall blocks for as long as the injected faults demand. It returns false without blocking if
// maxDelayedCalls calls are already blocked.
func (s *Server) delayCall() (ok bool) {
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMs) * time.Millisecond
	unfrozen := s.unfrozen
	if s.delayedCalls >= maxDelayedCalls {
		s.mu.Unlock()
		return false
	}
	s.delayedCalls++
	s.mu.Unlock()

	time.Sleep(delay)
	<-unfrozen

	s.mu.Lock()
	s.delayedCalls--
	s.mu.Unlock()
	return true
}

func malformed(err error) (int, any) {
	return http.StatusBadRequest, plat.ErrorReply{Error: err.Error()}
}

func (s *Server) claim(body []byte, now time.Duration) (int, any) {
	var req Claim
	if err := json.Unmarshal(body, &req); err != nil {
		return malformed(err)
	}
	before := s.fence.Epoch()
	ok, current := s.fence.Claim(req.Owner, req.Epoch)
	if !ok {
		return http.StatusConflict, ConflictReply{Epoch: current}
	}
	if current > before {
		s.sequence = 0
	}
	if !s.inOrder(req.Sequence) {
		return http.StatusConflict, ConflictReply{Epoch: current, Sequence: s.sequence}
	}
	return http.StatusOK, ClaimReply{
		Incarnation: s.incarnation,
		ClockMs:     now.Milliseconds(),
		Capacity:    s.Capacity,
		Tasks:       s.reportTasks(now),
	}
}

func (s *Server) sync(body []byte, now time.Duration) (int, any) {
	var req Sync
	if err := json.Unmarshal(body, &req); err != nil {
		return malformed(err)
	}
	if !s.fence.Admit(req.Owner, req.Epoch) || !s.inOrder(req.Sequence) {
		return http.StatusConflict, ConflictReply{Epoch: s.fence.Epoch(), Sequence: s.sequence}
	}
	if req.RenewFromMs > 0 && req.RenewFromMs <= now.Milliseconds() {
		s.fence.Renew(time.Duration(req.RenewFromMs)*time.Millisecond, now)
	}
	s.applyCommands(req, now)
	started := make([]StartResult, 0, len(req.Starts))
	for _, st := range req.Starts {
		reason := s.startTask(st, now)
		started = append(started, StartResult{ID: st.ID, Accepted: reason == "", Reason: reason})
	}
	return http.StatusOK, SyncReply{ClockMs: now.Milliseconds(), Starts: started, Tasks: s.reportTasks(now)}
}

// inOrder returns false for a call that arrives after a later call of the same epoch. Its stops and
// acknowledgements could apply to a later attempt of a task, and its starts would run tasks that the
// reply to the later call did not list. A call with sequence 0 is always accepted.
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

// applyCommands executes all commands of a sync except the starts.
func (s *Server) applyCommands(req Sync, now time.Duration) {
	for _, id := range req.Acks {
		s.acknowledge(id)
	}
	for _, id := range req.Stops {
		if t, ok := s.runningTask(id); ok {
			s.endTask(t, now, Stopped)
		}
	}
	for _, id := range req.Checkpoints {
		if t, ok := s.runningTask(id); ok {
			t.CheckpointMs = now.Milliseconds()
		}
	}
	for _, th := range req.Throttles {
		if t, ok := s.runningTask(th.ID); ok {
			t.throttle(th.CPUMillis, now)
		}
	}
}

func (s *Server) runningTask(id string) (*task, bool) {
	t, ok := s.tasks[id]
	return t, ok && t.State == Running
}

// acknowledge removes an ended task whose result the owner has stored. It keeps the attempt number, so
// that a delayed start of this or an earlier attempt is rejected.
func (s *Server) acknowledge(id string) {
	t, ok := s.tasks[id]
	if !ok || t.State == Running {
		return
	}
	delete(s.tasks, id)
	if _, known := s.ackedAttempts[id]; !known {
		s.ackedOrder = append(s.ackedOrder, id)
	}
	s.ackedAttempts[id] = t.Attempt
	if len(s.ackedOrder) > maxAcked {
		delete(s.ackedAttempts, s.ackedOrder[0])
		s.ackedOrder = s.ackedOrder[1:]
	}
}

// startTask starts a task. If it rejects the start, it returns the reason.
func (s *Server) startTask(st Start, now time.Duration) (reason string) {
	cutOff := st.OnCutOff == lease.StayOnCutOff || st.OnCutOff == lease.MoveOnCutOff
	if st.ID == "" || st.Attempt < 1 || !cutOff || !st.Resources.valid() || st.RunMs < 0 || st.RunMs > maxRunMs {
		return reasonMalformed
	}
	if t, ok := s.tasks[st.ID]; ok {
		if t.Attempt == st.Attempt {
			return ""
		}
		return reasonOtherAttempt
	}
	if st.Attempt <= s.ackedAttempts[st.ID] {
		return reasonStaleAttempt
	}
	if s.leaving {
		return reasonLeaving
	}
	if s.fence.Expired(st.OnCutOff, now) {
		return reasonLeaseExpired
	}
	total := s.granted().add(st.Resources)
	if !total.fits(s.Capacity) {
		return reasonCapacity
	}
	t := newTask(st, now, s.faults.FailStarts)
	t.historyIndex = len(s.history.Runs)
	s.tasks[st.ID] = t
	s.history.PeakGranted = s.history.PeakGranted.componentMax(total)
	s.history.Runs = append(s.history.Runs, Run{ID: t.ID, Attempt: t.Attempt, Job: t.Job, StartMs: t.StartedMs})
	return ""
}
