package back

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/internal/plat"
)

// The headers of the protocol.
const (
	RequestIDHeader      = "Request-Id"
	DeadlineHeader       = "Request-Deadline-Ms"
	ClassHeader          = "Request-Class"
	IdempotencyKeyHeader = "Request-Key"
	RunStateHeader       = "Run-State"
	ServerStateHeader    = "Server-State"

	// NotRun is the Run-State of an answer to a request that did not run.
	NotRun = "not-run"
)

const (
	defaultSlots       = 8
	defaultConnections = 60
)

// ServiceTime is Min plus an exponentially distributed part; its mean is Mean.
type ServiceTime struct {
	Min  time.Duration
	Mean time.Duration
}

func (d ServiceTime) draw(r *rand.Rand) time.Duration {
	return d.Min + time.Duration(float64(max(0, d.Mean-d.Min))*r.ExpFloat64())
}

// Server is a backend server; set the fields before the first call.
type Server struct {
	Name          string
	Address       string
	FailureDomain string

	// Slots bounds the requests that run at a time; 0 means 8.
	Slots int
	// MaxConnections bounds the open connections of Serve; 0 means 60.
	MaxConnections int

	// Routes are the routes served, with the distribution of their service times.
	Routes map[string]ServiceTime
	// Seed drives service times and faults.
	Seed uint64

	// PlatformURL is the base URL of the platform that Serve registers with; empty means none.
	PlatformURL string
	// Client sends the registration; nil means http.DefaultClient.
	Client *http.Client

	once        sync.Once
	mu          sync.Mutex
	idle        *sync.Cond
	random      *rand.Rand
	incarnation int64
	busy        int
	leaving     bool
	faults      Faults
	runs        RunCounts
	conns       connSet
}

// RunCounts says how often each request and each idempotency key ran.
type RunCounts struct {
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
	// PeakBusy is the highest number of requests that ran at the same time.
	PeakBusy int `json:"peak_busy"`
}

// Health is the answer to the health call.
type Health struct {
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	Busy        int    `json:"busy"`
	Incarnation int64  `json:"incarnation"`
}

func (s *Server) start() {
	s.Slots = cmp.Or(s.Slots, defaultSlots)
	s.MaxConnections = cmp.Or(s.MaxConnections, defaultConnections)
	s.idle = sync.NewCond(&s.mu)
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.incarnation = time.Now().UnixMilli()
	s.runs = RunCounts{Requests: make(map[string]int), Keys: make(map[string]int)}
}

// RunCounts returns a copy of the record.
func (s *Server) RunCounts() RunCounts {
	s.once.Do(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	return RunCounts{Requests: maps.Clone(s.runs.Requests), Keys: maps.Clone(s.runs.Keys), PeakBusy: s.runs.PeakBusy}
}

func (s *Server) state() string {
	if s.leaving || s.faults.Leaving {
		return plat.StateLeaving
	}
	return plat.StateLive
}

// admit takes a slot and records the run; it is false when all slots are busy or the server is leaving.
func (s *Server) admit(id, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state() == plat.StateLeaving || s.busy >= s.Slots {
		return false
	}
	s.busy++
	s.runs.PeakBusy = max(s.runs.PeakBusy, s.busy)
	s.runs.Requests[id]++
	if key != "" {
		s.runs.Keys[key]++
	}
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.idle.Broadcast()
}

// drain refuses new work and waits for the end of the work in progress.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for s.busy > 0 {
		s.idle.Wait()
	}
}

func (s *Server) announce(ctx context.Context, state string) error {
	in := plat.Instance{
		Name: s.Name, Role: plat.RoleBackend, Address: s.Address, FailureDomain: s.FailureDomain,
		State: state, Incarnation: s.incarnation,
	}
	return plat.Registrar{URL: s.PlatformURL, Client: s.Client}.Register(ctx, in)
}
