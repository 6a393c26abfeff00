package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/daisyrack/daisyrack/pkg/queue"
	"github.com/daisyrack/daisyrack/pkg/route"
)

const (
	// maxArrivals is the capacity of the channel of new requests; when it is full, requests
	// are refused.
	maxArrivals = 4096

	// maxClaiming is the maximum number of requests that are claiming their key or hold a claim
	// without a slot, so that a burst of requests does not fill the table with claims.
	maxClaiming = 256

	// expireInterval is the time between checks for waiting requests past their deadline.
	expireInterval = 10 * time.Millisecond

	// refreshInterval is the time between updates of the queue's capacity and statistics.
	refreshInterval = 250 * time.Millisecond

	// minRetryAfter is the shortest Retry-After that a refused client gets.
	minRetryAfter = time.Second
)

// Limits are the limits of the queue, and the percentage of all slots that is kept free for urgent
// requests.
type Limits struct {
	Queue           queue.Limits
	HeadroomPercent int
}

// Dispatcher decides which waiting request runs next. Set the exported fields before Init.
type Dispatcher struct {
	Router *route.Router
	Limits Limits
	Now    func() time.Time

	queue queue.Queue
	// Requests reach the dispatcher goroutine through these channels: arrivals has the new ones,
	// claimed those that obtained the claim of their key, cancelled those whose client
	// disconnected, and finished those that have ended.
	arrivals      chan *pendingRequest
	claimed       chan *pendingRequest
	cancelled     chan *pendingRequest
	finished      chan *pendingRequest
	newLimits     chan Limits
	currentLimits Limits
	lastRefresh   time.Time
	// limitsApplied is set while the queue uses currentLimits with a headroom of headroomSlots
	// slots.
	limitsApplied bool
	headroomSlots int64
	// awaitingSlot lists the requests that hold a claim and wait for a slot, oldest first.
	awaitingSlot []*pendingRequest
	// claiming is the number of requests that are claiming their key.
	claiming int

	stats atomic.Pointer[queue.Stats]
}

// Init prepares the dispatcher for requests that arrive before Run.
func (d *Dispatcher) Init() {
	d.queue.Limits = d.Limits.Queue
	d.currentLimits = d.Limits
	d.arrivals = make(chan *pendingRequest, maxArrivals)
	d.claimed = make(chan *pendingRequest, maxClaiming)
	d.cancelled = make(chan *pendingRequest, maxArrivals)
	d.finished = make(chan *pendingRequest, maxArrivals)
	d.newLimits = make(chan Limits, 1)
}

// Stats returns the statistics of the queue as of the last refresh.
func (d *Dispatcher) Stats() queue.Stats {
	if s := d.stats.Load(); s != nil {
		return *s
	}
	return queue.Stats{}
}

// Reconfigure replaces the limits. It may be called while Run is running.
func (d *Dispatcher) Reconfigure(l Limits) {
	select {
	case <-d.newLimits: // Discard limits that Run has not read yet.
	default:
	}
	d.newLimits <- l
}

// Run dispatches requests until ctx ends. It must not be stopped before the last request has ended.
func (d *Dispatcher) Run(ctx context.Context) error {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-d.arrivals:
			d.admit(p)
		case p := <-d.claimed:
			d.endClaim(p)
			d.awaitingSlot = append(d.awaitingSlot, p)
		case p := <-d.cancelled:
			d.cancel(p)
		case p := <-d.finished:
			d.endClaim(p)
			d.queue.Done(p.item.Team, p.item.Class, p.item.Cost)
		case l := <-d.newLimits:
			d.currentLimits = l
			d.limitsApplied = false
			d.refresh()
		case <-d.Router.SlotAvailable():
		case <-tick.C:
			d.expire()
		}
		d.dispatch()
	}
}

// headroom returns the number of slots that are kept free for urgent requests: at least one if
// a headroom is configured and there are slots.
func (d *Dispatcher) headroom(slots int) int64 {
	if d.currentLimits.HeadroomPercent == 0 || slots == 0 {
		return 0
	}
	return int64(max(1, slots*d.currentLimits.HeadroomPercent/100))
}

// enqueue passes a request to Run. It returns false if the channel is full.
func (d *Dispatcher) enqueue(p *pendingRequest) bool {
	select {
	case d.arrivals <- p:
		return true
	default:
		return false
	}
}

// admit adds a request to the queue or refuses it.
func (d *Dispatcher) admit(p *pendingRequest) {
	result := d.queue.Push(d.Now(), p.item)
	if result.HasDropped {
		dropped := result.Dropped.Value.(*pendingRequest)
		dropped.decisions <- refusal(http.StatusTooManyRequests, "dropped for work below its guaranteed share", result.RetryAfter)
	}
	if !result.Admitted() {
		p.decisions <- refusal(http.StatusTooManyRequests, string(result.Reason), result.RetryAfter)
	}
}

func refusal(status int, reason string, retryAfter time.Duration) decision {
	return decision{kind: decisionRefuse, status: status, reason: reason, retryAfter: max(retryAfter, minRetryAfter)}
}

// cancel refuses the request of a client that disconnected, if it is still in the queue.
func (d *Dispatcher) cancel(p *pendingRequest) {
	if d.queue.Cancel(p.item.ID) {
		p.decisions <- refusal(http.StatusServiceUnavailable, "the caller has gone", 0)
	}
}

// expire refuses waiting requests whose deadline has passed.
func (d *Dispatcher) expire() {
	now := d.Now()
	for _, item := range d.queue.Expire(now) {
		item.Value.(*pendingRequest).decisions <- deadlineExceeded()
	}
	remaining := d.awaitingSlot[:0]
	for _, p := range d.awaitingSlot {
		if now.Before(p.request.Deadline) {
			remaining = append(remaining, p)
			continue
		}
		p.decisions <- deadlineExceeded()
	}
	d.awaitingSlot = remaining
	if now.Sub(d.lastRefresh) >= refreshInterval {
		d.lastRefresh = now
		d.refresh()
	}
}

// refresh updates the capacity and headroom of the queue and publishes its statistics.
func (d *Dispatcher) refresh() {
	slots := 0
	for _, s := range d.Router.Snapshot() {
		slots += s.Base + s.Granted
	}
	d.queue.Capacity = int64(slots)
	if headroom := d.headroom(slots); headroom != d.headroomSlots || !d.limitsApplied {
		limits := d.currentLimits.Queue
		limits.Class[queue.Urgent].Headroom = headroom
		d.queue.Reconfigure(limits)
		d.headroomSlots = headroom
		d.limitsApplied = true
	}
	stats := d.queue.Stats()
	d.stats.Store(&stats)
}

func deadlineExceeded() decision {
	return refusal(http.StatusServiceUnavailable, "the deadline passed before a slot was free", 0)
}

// dispatch starts requests as long as there are free slots. Requests that already hold a claim
// come first.
func (d *Dispatcher) dispatch() {
	for len(d.awaitingSlot) > 0 {
		if !d.assignSlot(d.awaitingSlot[0]) {
			return
		}
		d.awaitingSlot = d.awaitingSlot[1:]
	}
	for d.Router.FreeSlots() > 0 {
		item, ok := d.queue.Next(d.Now())
		if !ok {
			return
		}
		if !d.start(item.Value.(*pendingRequest)) {
			d.queue.Requeue(item)
			return
		}
	}
}

// start lets a request run, or claim its key first if it is non-idempotent. It returns false if
// the request has to stay in the queue.
func (d *Dispatcher) start(p *pendingRequest) bool {
	if !p.request.NonIdempotent {
		return d.assignSlot(p)
	}
	if d.claiming+len(d.awaitingSlot) >= maxClaiming {
		return false
	}
	d.claiming++
	p.claiming = true
	p.decisions <- decision{kind: decisionClaim}
	return true
}

// endClaim stops counting a request as claiming its key.
func (d *Dispatcher) endClaim(p *pendingRequest) {
	if p.claiming {
		p.claiming = false
		d.claiming--
	}
}

// assignSlot takes a slot for a request. It returns false if none is free.
func (d *Dispatcher) assignSlot(p *pendingRequest) bool {
	slot, ok := d.Router.Acquire(p.request.Route)
	if !ok {
		return false
	}
	p.decisions <- decision{kind: decisionRun, slot: slot}
	return true
}
