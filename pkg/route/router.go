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
	// DefaultDialTimeout bounds the time to open a connection.
	DefaultDialTimeout = time.Second
	// DefaultPollInterval is the interval between health polls of a backend server.
	DefaultPollInterval = time.Second
	// DefaultAttemptTimeout bounds one attempt of a request that has a later deadline or none.
	DefaultAttemptTimeout = 30 * time.Second
	// DefaultCancelGracePeriod is how long after its deadline an attempt may still finish at the
	// backend server, with its slot taken, before it is cancelled.
	DefaultCancelGracePeriod = 10 * time.Second
	// DefaultMaxConnections bounds the connections to one backend server.
	DefaultMaxConnections = 2
	// DefaultMaxRetries bounds the retries of one request.
	DefaultMaxRetries = 2
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes = 4 << 20

	// goneRetention is how long a backend server that is gone is remembered.
	goneRetention = 10 * time.Minute
	// maxPollRequests bounds the queued requests for health polls before the next regular one.
	maxPollRequests = 64

	pingInterval = time.Second
	pingTimeout  = time.Second
)

// Router forwards requests to backend servers; set the fields before the first call.
type Router struct {
	// Instance is the name of this entry instance.
	Instance string

	// Timeouts and limits; 0 means the default.
	DialTimeout, PollInterval, AttemptTimeout, CancelGracePeriod time.Duration
	MaxConnections                                               int

	// MaxRetries bounds the retries of one request; 0 means the default, and a negative value
	// disables retries.
	MaxRetries int

	// OnAttempt is called after each attempt, possibly from several goroutines at once.
	OnAttempt func(Attempt)

	// OnStateChange is called by Run for each change of state of a backend server.
	OnStateChange func(StateChange)

	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	// Random returns a number from 0 to n-1; nil means math/rand/v2.
	Random func(n int) int

	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu             sync.Mutex
	servers        []*server // servers that are not gone or have slots taken, sorted by name
	byName         map[string]*server
	peerCount      peerCount
	retryBudget    retryBudget
	stats          Stats
	failedAcquires int       // since the last CollectDemands
	candidateBuf   []*server // reused by candidatesLocked
	grantsSentAt   time.Time // sentAt of the grants in force
	slotAvailable  chan struct{}
	pollRequests   chan *server
	stateChanges   chan StateChange
	inProgress     int           // slots taken and requests in Do
	idle           chan struct{} // closed when inProgress becomes 0; nil if nobody waits
	closed         bool
}

// SlotAvailable returns a channel that receives a value when a slot may have become free. One value
// can stand for several slots.
func (r *Router) SlotAvailable() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slotAvailableLocked()
}

func (r *Router) slotAvailableLocked() chan struct{} {
	if r.slotAvailable == nil {
		r.slotAvailable = make(chan struct{}, 1)
	}
	return r.slotAvailable
}

func (r *Router) signalSlotLocked() {
	select {
	case r.slotAvailableLocked() <- struct{}{}:
	default:
	}
}

func (r *Router) signalSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signalSlotLocked()
}

// UpdateBackends applies the instance list. A backend server that is not listed is gone.
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
			s.applyListEntry(b)
			continue
		}
		if b.State == Gone {
			continue
		}
		s := &server{router: r, Backend: b, listedState: b.State, slotsFromHealth: b.Slots == 0}
		r.byName[b.Name] = s
	}
	for name, s := range r.byName {
		if !listed[name] {
			s.listedState = Gone
		}
	}
	r.refreshServersLocked(r.now())
	r.signalSlotLocked()
}

// refreshServersLocked rebuilds the list of servers in use. A server that is gone is remembered
// for goneRetention, because a stale instance list could still show it as live.
func (r *Router) refreshServersLocked(now time.Time) {
	r.servers = r.servers[:0:0]
	for name, s := range r.byName {
		s.notifyState(now)
		if !s.gone() || s.used > 0 {
			s.goneSince = now
			r.servers = append(r.servers, s)
			continue
		}
		if now.Sub(s.goneSince) >= goneRetention {
			delete(r.byName, name)
		}
		go s.pool.retire()
	}
	slices.SortFunc(r.servers, func(a, b *server) int { return strings.Compare(a.Name, b.Name) })
}

// Run polls the health of the backend servers until ctx ends.
// Connections stay open after that for requests in progress; Drain closes them.
func (r *Router) Run(ctx context.Context) error {
	ticker := time.NewTicker(orDefault(r.PollInterval, DefaultPollInterval))
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		r.pollAll(ctx, &polls)
		if !r.waitForTick(ctx, ticker.C, &polls) {
			return nil
		}
	}
}

// waitForTick starts requested polls and reports state changes until the next tick. It returns
// false when ctx has ended.
func (r *Router) waitForTick(ctx context.Context, tick <-chan time.Time, polls *sync.WaitGroup) bool {
	r.mu.Lock()
	requests, changes := r.pollRequestsLocked(), r.stateChangesLocked()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case s := <-requests:
			r.startPoll(ctx, s, polls)
		case c := <-changes:
			r.OnStateChange(c)
		}
	}
}

func (r *Router) pollRequestsLocked() chan *server {
	if r.pollRequests == nil {
		r.pollRequests = make(chan *server, maxPollRequests)
	}
	return r.pollRequests
}

// Drain waits until no slot is taken and no request is in Do, or until ctx ends, and then closes all
// connections. It interrupts requests in progress only if ctx ends first.
func (r *Router) Drain(ctx context.Context) error {
	var err error
	select {
	case <-r.idleChannel():
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "route: unable to finish requests in progress")
	}
	r.mu.Lock()
	r.closed = true
	servers := slices.Collect(maps.Values(r.byName))
	r.mu.Unlock()
	for _, s := range servers {
		s.pool.close()
	}
	return err
}

// idleChannel returns a channel that is closed once no work is in progress.
func (r *Router) idleChannel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := make(chan struct{})
	if r.inProgress == 0 {
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

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
