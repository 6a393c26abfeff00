package route

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = time.Second
	// DefaultPollInterval is the time between two health polls of a backend server.
	DefaultPollInterval = time.Second
	// DefaultAttemptLimit bounds one attempt of a request that has a later deadline or none.
	DefaultAttemptLimit = 30 * time.Second
	// DefaultLinger is how long after the end of its time a request is left to finish at the
	// backend server, with its slot taken, before it is cancelled.
	DefaultLinger = 10 * time.Second
	// DefaultConnections bounds the connections to one backend server.
	DefaultConnections = 2
	// DefaultMaxRetries bounds the retries of one request.
	DefaultMaxRetries = 2
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 4 << 20

	pingInterval = time.Second
	pingTimeout  = time.Second
)

// Router forwards requests to backend servers; set the fields before the first call.
type Router struct {
	// Instance is the name of this entry instance.
	Instance string

	// Times and limits; 0 means the default.
	DialTimeout, PollInterval, AttemptLimit, Linger time.Duration
	Connections                                     int

	// MaxRetries bounds the retries of one request; 0 means the default, negative none.
	MaxRetries int

	// Observe is called after each attempt, possibly from several goroutines at once.
	Observe func(Attempt)

	// Now tells the time; nil means time.Now.
	Now func() time.Time

	// Random returns a number from 0 to n-1; nil means math/rand/v2.
	Random func(n int) int

	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	servers  []*server // live and leaving ones, in the order of the list
	byName   map[string]*server
	peers    peers
	budget   budget
	stats    Stats
	misses   int
	scratch  []*server
	grantsAt time.Time
	freed    chan struct{}
	working  int // slots taken
	idle     chan struct{}
	closed   bool
}

// Freed is signalled when a slot may be free; one signal can stand for several slots.
func (r *Router) Freed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freedLocked()
}

func (r *Router) freedLocked() chan struct{} {
	if r.freed == nil {
		r.freed = make(chan struct{}, 1)
	}
	return r.freed
}

func (r *Router) signalLocked() {
	select {
	case r.freedLocked() <- struct{}{}:
	default:
	}
}

func (r *Router) signal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signalLocked()
}

// Set takes over the instance list. A backend server that is not listed is gone.
func (r *Router) Set(list []Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName == nil {
		r.byName = make(map[string]*server)
	}
	listed := make(map[string]bool, len(list))
	for _, b := range list {
		listed[b.Name] = true
		if s := r.byName[b.Name]; s != nil {
			s.list(b)
			continue
		}
		if b.State == Gone {
			continue
		}
		s := &server{router: r, Backend: b, listedState: b.State}
		r.byName[b.Name] = s
	}
	for name, s := range r.byName {
		if !listed[name] {
			s.listedState = Gone
		}
	}
	r.sweepLocked(list)
	r.signalLocked()
}

// sweepLocked rebuilds the order of the servers and forgets those that are gone and idle.
func (r *Router) sweepLocked(list []Backend) {
	for name, s := range r.byName {
		if s.gone() && s.used == 0 {
			delete(r.byName, name)
			go s.links.close()
		}
	}
	kept := r.servers[:0:0]
	for _, s := range r.servers {
		if r.byName[s.Name] == s {
			kept = append(kept, s)
		}
	}
	known := make(map[string]bool, len(kept))
	for _, s := range kept {
		known[s.Name] = true
	}
	for _, b := range list {
		if s := r.byName[b.Name]; s != nil && !known[b.Name] {
			kept = append(kept, s)
			known[b.Name] = true
		}
	}
	r.servers = kept
}

// Run polls the health of the backend servers until ctx ends.
// Connections stay open for requests in progress; Drain closes them.
func (r *Router) Run(ctx context.Context) error {
	ticker := time.NewTicker(orDefault(r.PollInterval, DefaultPollInterval))
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		r.pollAll(ctx, &polls)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Drain waits until no slot is taken or ctx ends, then closes all connections.
// It interrupts no request in progress unless ctx ends first.
func (r *Router) Drain(ctx context.Context) error {
	var err error
	select {
	case <-r.idleSignal():
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "route: unable to finish requests in progress")
	}
	r.mu.Lock()
	r.closed = true
	servers := r.servers
	r.mu.Unlock()
	for _, s := range servers {
		s.links.close()
	}
	return err
}

func (r *Router) idleSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := make(chan struct{})
	if r.working == 0 {
		close(idle)
		return idle
	}
	if r.idle == nil {
		r.idle = idle
	}
	return r.idle
}

func (r *Router) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

func (r *Router) random(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

func orDefault(d, value time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return value
}
