package route

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
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
	DefaultAttemptTimeout = 30 * time.Second
	// DefaultLinger is how long after the end of its time a request is left to finish at the
	// backend server, with its slot taken, before it is cancelled.
	DefaultCancelGracePeriod = 10 * time.Second
	// DefaultConnections bounds the connections to one backend server.
	DefaultMaxConnections = 2
	// DefaultMaxRetries bounds the retries of one request.
	DefaultMaxRetries = 2
	// MaxAnswerBytes bounds the body of an answer.
	MaxResponseBytes = 4 << 20

	// goneMemory is how long a backend server that is gone is remembered.
	goneMemory = 10 * time.Minute
	// maxPollsDue bounds the health polls asked for out of turn.
	maxPollsDue = 64

	pingInterval = time.Second
	pingTimeout  = time.Second
)

// Router forwards requests to backend servers; set the fields before the first call.
type Router struct {
	// Instance is the name of this entry instance.
	Instance string

	// Times and limits; 0 means the default.
	DialTimeout, PollInterval, AttemptTimeout, CancelGracePeriod time.Duration
	MaxConnections                                               int

	// MaxRetries bounds the retries of one request; 0 means the default, negative none.
	MaxRetries int

	// Observe is called after each attempt, possibly from several goroutines at once.
	OnAttempt func(Attempt)

	// Changed is called by Run for each change of state of a backend server.
	OnStateChange func(StateChange)

	// Now tells the time; nil means time.Now.
	Now func() time.Time

	// Random returns a number from 0 to n-1; nil means math/rand/v2.
	Random func(n int) int

	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	servers  []*server // those not gone or with slots taken, by name
	byName   map[string]*server
	peers    peers
	budget   budget
	stats    Stats
	misses   int
	scratch  []*server
	grantsAt time.Time
	freed    chan struct{}
	wake     chan *server
	changes  chan StateChange
	working  int // slots taken and requests in Do
	idle     chan struct{}
	closed   bool
}

// Freed is signalled when a slot may be free; one signal can stand for several slots.
func (r *Router) SlotAvailable() <-chan struct{} {
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
func (r *Router) UpdateBackends(list []Backend) {
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
		s := &server{router: r, Backend: b, listedState: b.State, noSlots: b.Slots == 0}
		r.byName[b.Name] = s
	}
	for name, s := range r.byName {
		if !listed[name] {
			s.listedState = Gone
		}
	}
	r.sweepLocked(r.now())
	r.signalLocked()
}

// sweepLocked rebuilds the list of servers in use. A server that is gone is remembered
// for a while: a list that lags could show it as live again.
func (r *Router) sweepLocked(now time.Time) {
	r.servers = r.servers[:0:0]
	for name, s := range r.byName {
		s.noteState(now)
		if !s.gone() || s.used > 0 {
			s.goneSince = now
			r.servers = append(r.servers, s)
			continue
		}
		if now.Sub(s.goneSince) >= goneMemory {
			delete(r.byName, name)
		}
		go s.links.retire()
	}
	slices.SortFunc(r.servers, func(a, b *server) int { return strings.Compare(a.Name, b.Name) })
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
		if !r.wait(ctx, ticker.C, &polls) {
			return nil
		}
	}
}

// wait starts the polls that are asked for until the next tick; false means that ctx ended.
func (r *Router) wait(ctx context.Context, tick <-chan time.Time, polls *sync.WaitGroup) bool {
	r.mu.Lock()
	wake, changes := r.wakeLocked(), r.changesLocked()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case s := <-wake:
			r.startPoll(ctx, s, polls)
		case c := <-changes:
			r.OnStateChange(c)
		}
	}
}

func (r *Router) wakeLocked() chan *server {
	if r.wake == nil {
		r.wake = make(chan *server, maxPollsDue)
	}
	return r.wake
}

// Drain waits until no slot is taken and no request is in Do, or ctx ends, then closes all connections.
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
	servers := slices.Collect(maps.Values(r.byName))
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
