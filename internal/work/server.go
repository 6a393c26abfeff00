package work

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/pkg/lease"
)

const (
	// advanceInterval limits how late Run notices that a task has ended. The recorded times are exact
	// nevertheless.
	advanceInterval = 100 * time.Millisecond

	defaultUsageDelay = 2 * time.Second
	deregisterTimeout = 2 * time.Second

	// maxDelayedCalls limits the calls that are blocked by a fault. The connections of further calls are
	// closed without a response.
	maxDelayedCalls = 64

	// maxAcked limits the number of acknowledged tasks whose attempt numbers are kept.
	maxAcked = 65536
)

// Server is a worker that simulates its tasks. Its fields must be set before the first call.
type Server struct {
	Name          string
	Address       string
	Rack          string
	FailureDomain string
	Capacity      Resources

	// Seed seeds the random noise of the reported usage.
	Seed uint64

	// Clock is the worker's monotonic clock. It must not go backwards, not even when the worker
	// restarts. If it is nil, the clock starts at the current Unix time and advances monotonically.
	Clock func() time.Duration

	// PlatformURL is the base URL of the platform with which the worker registers. If it is empty, the
	// worker does not register.
	PlatformURL string
	// Client sends the registrations; nil means http.DefaultClient.
	Client *http.Client

	once          sync.Once
	mu            sync.Mutex
	random        *rand.Rand
	incarnation   int64
	fence         lease.Fence
	sequence      int64 // highest sequence number of the epoch
	tasks         map[string]*task
	ackedAttempts map[string]int64 // last attempt of each acknowledged task
	ackedOrder    []string         // keys of ackedAttempts from oldest to newest
	faults        Faults
	leaving       bool
	delayedCalls  int           // calls that are blocked by a fault
	unfrozen      chan struct{} // closed while Faults.Frozen is not set
	history       RunHistory
}

func (s *Server) initialize() {
	if s.Clock == nil {
		began := time.Now()
		offset := time.Duration(began.UnixNano())
		s.Clock = func() time.Duration { return offset + time.Since(began) }
	}
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.history = RunHistory{Name: s.Name, Capacity: s.Capacity}
	s.ackedAttempts = make(map[string]int64)
	s.unfrozen = make(chan struct{})
	close(s.unfrozen)
	s.startIncarnation(s.Clock())
}

// startIncarnation starts a new incarnation without any state of the previous one.
func (s *Server) startIncarnation(now time.Duration) {
	s.incarnation = max(s.incarnation+1, now.Milliseconds())
	s.fence = lease.Fence{}
	s.sequence = 0
	s.tasks = make(map[string]*task)
	clear(s.ackedAttempts)
	s.ackedOrder = nil
}

// Run registers the worker and ends tasks when they are due until ctx ends. It then stops all tasks
// and deregisters the worker.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.initialize)
	var wg sync.WaitGroup
	var registered int64
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if incarnation := s.currentIncarnation(); incarnation != registered {
			registered = incarnation
			wg.Go(func() { _ = s.register(ctx, plat.StateLive) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	wg.Wait()
	s.shutDown()

	deregisterCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	return s.register(deregisterCtx, plat.StateGone)
}

// currentIncarnation ends the tasks that are due and returns the incarnation.
func (s *Server) currentIncarnation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	return s.incarnation
}

func (s *Server) register(ctx context.Context, state string) error {
	s.mu.Lock()
	in := plat.Instance{
		Name: s.Name, Role: plat.RoleWorker, Address: s.Address, FailureDomain: s.FailureDomain,
		Rack: s.Rack, State: state, Incarnation: s.incarnation,
	}
	s.mu.Unlock()
	return plat.Registrar{URL: s.PlatformURL, Client: s.Client}.Register(ctx, in)
}

// advance ends the tasks that are due and returns the current reading of the clock. The caller must hold
// s.mu. Since tasks are only simulated, a task is recorded as ended at its due time even if advance is
// called later.
func (s *Server) advance() time.Duration {
	now := s.Clock()
	for _, t := range s.tasks {
		if t.State != Running {
			continue
		}
		if end, state := t.nextEnd(&s.fence); end <= now {
			s.endTask(t, end, state)
		}
	}
	return now
}

// endTask ends a task at a time that is not in the future. If the task is stopped, it is checkpointed.
func (s *Server) endTask(t *task, at time.Duration, state State) {
	if state == Stopped {
		t.CheckpointMs = at.Milliseconds()
	}
	t.State = state
	t.EndedMs = at.Milliseconds()
	s.history.Runs[t.historyIndex].EndMs = t.EndedMs
	s.history.Runs[t.historyIndex].EndState = string(state)
}

// shutDown stops all tasks, releases the calls that are blocked by faults and rejects further starts.
func (s *Server) shutDown() {
	s.SetFaults(Faults{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	now := s.advance()
	for _, t := range s.tasks {
		if t.State == Running {
			s.endTask(t, now, Stopped)
		}
	}
}

func (s *Server) granted() Resources {
	var total Resources
	for _, t := range s.tasks {
		if t.State == Running {
			total = total.add(t.Resources)
		}
	}
	return total
}

// History returns a copy of the history.
func (s *Server) History() RunHistory {
	s.once.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	out := s.history
	out.Runs = append([]Run{}, out.Runs...)
	return out
}

// reportTasks returns all tasks that are not acknowledged. It includes the usage of those that started
// at least the usage delay ago.
func (s *Server) reportTasks(now time.Duration) []Task {
	out := make([]Task, 0, len(s.tasks))
	for _, t := range s.tasks {
		if now-t.started >= s.faults.usageDelay() {
			t.Usage = s.usage(t)
		}
		out = append(out, t.Task)
	}
	slices.SortFunc(out, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// usage returns the actual usage of a task with random noise of at most 5 percent. The usage of an ended
// task does not change any more.
func (s *Server) usage(t *task) Usage {
	if t.State != Running && t.Usage != (Usage{}) {
		return t.Usage
	}
	scale := s.faults.usageFactor() * (0.95 + 0.1*s.random.Float64())
	cpu := int64(float64(t.actual.TrueCPUMillis) * scale)
	if t.cpuLimit > 0 {
		cpu = min(cpu, t.cpuLimit)
	}
	return Usage{CPUMillis: cpu, MemoryMB: int64(float64(t.actual.TrueMemoryMB) * scale)}
}
