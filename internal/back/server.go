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

// HTTP headers of the protocol.
const (
	RequestIDHeader      = "Request-Id"
	DeadlineHeader       = "Request-Deadline-Ms"
	ClassHeader          = "Request-Class"
	IdempotencyKeyHeader = "Request-Key"
	RunStateHeader       = "Run-State"
	ServerStateHeader    = "Server-State"

	// NotRun is the value of RunStateHeader in the response to a request that did not run.
	NotRun = "not-run"
)

const (
	defaultSlots       = 8
	defaultConnections = 60
)

// ServiceTime is a shifted exponential distribution of service times with the given minimum and mean.
type ServiceTime struct {
	Min  time.Duration
	Mean time.Duration
}

func (d ServiceTime) sample(r *rand.Rand) time.Duration {
	return d.Min + time.Duration(float64(max(0, d.Mean-d.Min))*r.ExpFloat64())
}

// Server is a fake backend server. Its fields must be set before the first call.
type Server struct {
	Name          string
	Address       string
	FailureDomain string

	// Slots limits the requests that run concurrently; 0 means 8.
	Slots int
	// MaxConnections limits the open connections of Serve; 0 means 60.
	MaxConnections int

	// Routes maps the name of each route to the distribution of its service times.
	Routes map[string]ServiceTime
	// Seed seeds the random service times and faults.
	Seed uint64

	// PlatformURL is the base URL of the platform with which Serve registers the server. If it is empty,
	// the server is not registered.
	PlatformURL string
	// Client sends the registrations; nil means http.DefaultClient.
	Client *http.Client

	once         sync.Once
	mu           sync.Mutex
	slotReleased *sync.Cond
	random       *rand.Rand
	incarnation  int64
	busy         int
	leaving      bool
	faults       Faults
	counts       RunCounts
	conns        connSet
}

// RunCounts contains the number of runs of each request and each idempotency key.
type RunCounts struct {
	Requests map[string]int `json:"requests"`
	Keys     map[string]int `json:"keys"`
	// PeakBusy is the highest number of requests that ran concurrently.
	PeakBusy int `json:"peak_busy"`
}

// Health is the response to a health check.
type Health struct {
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	Busy        int    `json:"busy"`
	Incarnation int64  `json:"incarnation"`
}

func (s *Server) initialize() {
	s.Slots = cmp.Or(s.Slots, defaultSlots)
	s.MaxConnections = cmp.Or(s.MaxConnections, defaultConnections)
	s.slotReleased = sync.NewCond(&s.mu)
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.incarnation = time.Now().UnixMilli()
	s.counts = RunCounts{Requests: make(map[string]int), Keys: make(map[string]int)}
}

// RunCounts returns a copy of the run counts.
func (s *Server) RunCounts() RunCounts {
	s.once.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	return RunCounts{Requests: maps.Clone(s.counts.Requests), Keys: maps.Clone(s.counts.Keys), PeakBusy: s.counts.PeakBusy}
}

func (s *Server) state() string {
	if s.leaving || s.faults.Leaving {
		return plat.StateLeaving
	}
	return plat.StateLive
}

// admit occupies a slot and counts the run. It returns false if all slots are busy or the server is
// leaving.
func (s *Server) admit(id, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state() == plat.StateLeaving || s.busy >= s.Slots {
		return false
	}
	s.busy++
	s.counts.PeakBusy = max(s.counts.PeakBusy, s.busy)
	s.counts.Requests[id]++
	if key != "" {
		s.counts.Keys[key]++
	}
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.slotReleased.Broadcast()
}

// drain rejects new requests and waits for the requests in progress.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for s.busy > 0 {
		s.slotReleased.Wait()
	}
}

func (s *Server) register(ctx context.Context, state string) error {
	in := plat.Instance{
		Name: s.Name, Role: plat.RoleBackend, Address: s.Address, FailureDomain: s.FailureDomain,
		State: state, Incarnation: s.incarnation,
	}
	return plat.Registrar{URL: s.PlatformURL, Client: s.Client}.Register(ctx, in)
}
