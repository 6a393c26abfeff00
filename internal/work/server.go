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
	// tick bounds how late Run notices an end; recorded times are exact all the same.
	tick = 100 * time.Millisecond

	defaultUsageDelay = 2 * time.Second
	leaveTimeout      = 2 * time.Second

	// maxHeld bounds the calls that wait because of a fault; further ones are cut off unheard.
	maxHeld = 64

	// maxForgotten bounds the attempts remembered after their tasks were forgotten.
	maxForgotten = 65536
)

// Server is a worker that simulates its tasks; set the fields before the first call.
type Server struct {
	Name          string
	Address       string
	Rack          string
	FailureDomain string
	Capacity      Resources

	// Seed drives the noise of usage reports.
	Seed uint64

	// Clock is the worker's monotonic clock, which must not go back, not even when the
	// worker restarts; nil means the time since 1970 at the start, counted on from there.
	Clock func() time.Duration

	// PlatformURL is the base URL of the platform that the worker registers with; empty means none.
	PlatformURL string
	// Client sends the registration; nil means http.DefaultClient.
	Client *http.Client

	once        sync.Once
	mu          sync.Mutex
	random      *rand.Rand
	incarnation int64
	fence       lease.Fence
	sequence    int64 // highest of the epoch
	tasks       map[string]*task
	forgotten   map[string]int64 // highest attempt of a forgotten task
	order       []string         // forgotten ids from oldest to newest
	faults      Faults
	leaving     bool
	held        int           // calls waiting because of a fault
	thawed      chan struct{} // closed when not frozen
	record      History
}

func (s *Server) start() {
	if s.Clock == nil {
		began := time.Now()
		offset := time.Duration(began.UnixNano())
		s.Clock = func() time.Duration { return offset + time.Since(began) }
	}
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.record = History{Name: s.Name, Capacity: s.Capacity}
	s.forgotten = make(map[string]int64)
	s.thawed = make(chan struct{})
	close(s.thawed)
	s.restart(s.Clock())
}

// restart begins an incarnation that knows nothing of the earlier ones.
func (s *Server) restart(now time.Duration) {
	s.incarnation = max(s.incarnation+1, now.Milliseconds())
	s.fence = lease.Fence{}
	s.sequence = 0
	s.tasks = make(map[string]*task)
	clear(s.forgotten)
	s.order = nil
}

// Run registers the worker and ends tasks when they are due, until ctx ends; then it stops them and deregisters.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.start)
	var wg sync.WaitGroup
	var announced int64
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if incarnation := s.current(); incarnation != announced {
			announced = incarnation
			wg.Go(func() { _ = s.announce(ctx, plat.StateLive) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	wg.Wait()
	s.leave()

	goodbye, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	return s.announce(goodbye, plat.StateGone)
}

// current ends the tasks that are due and returns the incarnation.
func (s *Server) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	return s.incarnation
}

func (s *Server) announce(ctx context.Context, state string) error {
	s.mu.Lock()
	in := plat.Instance{
		Name: s.Name, Role: plat.RoleWorker, Address: s.Address, FailureDomain: s.FailureDomain,
		Rack: s.Rack, State: state, Incarnation: s.incarnation,
	}
	s.mu.Unlock()
	return plat.Registrar{URL: s.PlatformURL, Client: s.Client}.Register(ctx, in)
}

// advance ends the tasks that are due and returns the clock; the caller holds the lock.
// A task ends at its due time however late that is noticed, since it exists only in the record.
func (s *Server) advance() time.Duration {
	now := s.Clock()
	for _, t := range s.tasks {
		if t.State != Running {
			continue
		}
		if end, state := t.due(&s.fence); end <= now {
			s.end(t, end, state)
		}
	}
	return now
}

// end finishes a task at a moment that is not in the future; a stopped task is checkpointed first.
func (s *Server) end(t *task, at time.Duration, state State) {
	if state == Stopped {
		t.CheckpointMs = at.Milliseconds()
	}
	t.State = state
	t.EndedMs = at.Milliseconds()
	s.record.Runs[t.run].EndMs = t.EndedMs
	s.record.Runs[t.run].EndState = string(state)
}

// leave stops all tasks, releases the calls that are held and refuses further starts.
func (s *Server) leave() {
	s.SetFaults(Faults{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	now := s.advance()
	for _, t := range s.tasks {
		if t.State == Running {
			s.end(t, now, Stopped)
		}
	}
}

func (s *Server) granted() Resources {
	var sum Resources
	for _, t := range s.tasks {
		if t.State == Running {
			sum = sum.plus(t.Resources)
		}
	}
	return sum
}

// History returns what the worker did since its start.
func (s *Server) History() History {
	s.once.Do(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	out := s.record
	out.Runs = append([]Run{}, out.Runs...)
	return out
}

// report returns the tasks held, with their usage as of the report delay.
func (s *Server) report(now time.Duration) []Task {
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

// usage returns the true usage within 5 percent.
func (s *Server) usage(t *task) Usage {
	if t.State != Running && t.Usage != (Usage{}) {
		return t.Usage
	}
	scale := s.faults.usageFactor() * (0.95 + 0.1*s.random.Float64())
	cpu := int64(float64(t.truth.TrueCPUMillis) * scale)
	if t.limit > 0 {
		cpu = min(cpu, t.limit)
	}
	return Usage{CPUMillis: cpu, MemoryMB: int64(float64(t.truth.TrueMemoryMB) * scale)}
}
