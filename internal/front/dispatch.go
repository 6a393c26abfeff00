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
	// maxArrivals bounds the requests on their way to the dispatcher; a full ring
	// is a refusal.
	maxArrivals = 4096

	// maxClaiming bounds the requests that claim their keys or hold a claim
	// without a slot, so that a flood does not fill the table with claims.
	maxClaiming = 256

	// expireInterval is how often waiting requests are checked for their deadline.
	expireInterval = 10 * time.Millisecond

	// surveyInterval is how often capacity and counts are brought up to date.
	surveyInterval = 250 * time.Millisecond

	ringRetryAfter = time.Second
)

// Limits are the limits of the queue, and the percentage of all slots that is kept free for urgent
// requests.
type Limits struct {
	Queue           queue.Limits
	HeadroomPercent int
}

// Dispatcher decides which waiting request runs next; set the exported fields before Run.
type Dispatcher struct {
	Router *route.Router
	Limits Limits
	Now    func() time.Time

	queue    queue.Queue
	arrivals chan *ticket
	returns  chan *ticket
	leavers  chan *ticket
	finished chan *ticket
	limits   chan Limits
	current  Limits
	surveyed time.Time
	// configured is set while the queue has the current limits, with kept as
	// headroom.
	configured bool
	kept       int64
	ready      []*ticket
	claiming   int

	stats atomic.Pointer[queue.Stats]
}

// Init prepares the dispatcher for requests that arrive before Run.
func (d *Dispatcher) Init() {
	d.queue.Limits = d.Limits.Queue
	d.current = d.Limits
	d.arrivals = make(chan *ticket, maxArrivals)
	d.returns = make(chan *ticket, maxClaiming)
	d.leavers = make(chan *ticket, maxArrivals)
	d.finished = make(chan *ticket, maxArrivals)
	d.limits = make(chan Limits, 1)
}

// Stats returns the newest counts of the queue.
func (d *Dispatcher) Stats() queue.Stats {
	if s := d.stats.Load(); s != nil {
		return *s
	}
	return queue.Stats{}
}

// Reconfigure puts new limits in force.
func (d *Dispatcher) Reconfigure(l Limits) {
	select {
	case <-d.limits: // Limits that were not taken up have no meaning any more.
	default:
	}
	d.limits <- l
}

// Run dispatches until ctx ends; it must end after the last request.
func (d *Dispatcher) Run(ctx context.Context) error {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case k := <-d.arrivals:
			d.admit(k)
		case k := <-d.returns:
			d.endClaim(k)
			d.ready = append(d.ready, k)
		case k := <-d.leavers:
			d.leave(k)
		case k := <-d.finished:
			d.endClaim(k)
			d.queue.Done(k.item.Team, k.item.Class, k.item.Cost)
		case l := <-d.limits:
			d.current = l
			d.configured = false
			d.survey()
		case <-d.Router.SlotAvailable():
		case <-tick.C:
			d.expire()
		}
		d.dispatch()
	}
}

// headroom returns the slots kept free for urgent requests, at least one when
// any are asked for.
func (d *Dispatcher) headroom(slots int) int64 {
	if d.current.HeadroomPercent == 0 || slots == 0 {
		return 0
	}
	return int64(max(1, slots*d.current.HeadroomPercent/100))
}

// offer hands a request to the dispatcher; false means that its ring is full.
func (d *Dispatcher) offer(k *ticket) bool {
	select {
	case d.arrivals <- k:
		return true
	default:
		return false
	}
}

func (d *Dispatcher) admit(k *ticket) {
	v := d.queue.Push(d.Now(), k.item)
	if v.HasDropped {
		dropped := v.Dropped.Value.(*ticket)
		dropped.turns <- refusal(http.StatusTooManyRequests, "dropped for work below its guaranteed share", v.RetryAfter)
	}
	if !v.Admitted() {
		k.turns <- refusal(http.StatusTooManyRequests, string(v.Reason), v.RetryAfter)
	}
}

func refusal(status int, reason string, retryAfter time.Duration) turn {
	return turn{kind: turnRefused, status: status, reason: reason, retryAfter: max(retryAfter, ringRetryAfter)}
}

// leave answers the request of a caller that has gone, if it still waits.
func (d *Dispatcher) leave(k *ticket) {
	if d.queue.Cancel(k.item.ID) {
		k.turns <- refusal(http.StatusServiceUnavailable, "the caller has gone", 0)
	}
}

func (d *Dispatcher) expire() {
	now := d.Now()
	for _, item := range d.queue.Expire(now) {
		item.Value.(*ticket).turns <- expired()
	}
	kept := d.ready[:0]
	for _, k := range d.ready {
		if now.Before(k.request.Deadline) {
			kept = append(kept, k)
			continue
		}
		k.turns <- expired()
	}
	d.ready = kept
	if now.Sub(d.surveyed) >= surveyInterval {
		d.surveyed = now
		d.survey()
	}
}

// survey brings the capacity of the queue and the published counts up to date.
func (d *Dispatcher) survey() {
	slots := 0
	for _, s := range d.Router.Snapshot() {
		slots += s.Base + s.Granted
	}
	d.queue.Capacity = int64(slots)
	if headroom := d.headroom(slots); headroom != d.kept || !d.configured {
		limits := d.current.Queue
		limits.Class[queue.Urgent].Headroom = headroom
		d.queue.Reconfigure(limits)
		d.kept = headroom
		d.configured = true
	}
	stats := d.queue.Stats()
	d.stats.Store(&stats)
}

func expired() turn {
	return refusal(http.StatusServiceUnavailable, "the deadline passed before a slot was free", 0)
}

// dispatch gives turns as long as there are slots.
func (d *Dispatcher) dispatch() {
	for len(d.ready) > 0 {
		if !d.grant(d.ready[0]) {
			return
		}
		d.ready = d.ready[1:]
	}
	for d.Router.FreeSlots() > 0 {
		item, ok := d.queue.Next(d.Now())
		if !ok {
			return
		}
		if !d.start(item.Value.(*ticket)) {
			d.queue.Requeue(item)
			return
		}
	}
}

func (d *Dispatcher) start(k *ticket) bool {
	if !k.request.NonIdempotent {
		return d.grant(k)
	}
	if d.claiming+len(d.ready) >= maxClaiming {
		return false
	}
	d.claiming++
	k.claiming = true
	k.turns <- turn{kind: turnClaim}
	return true
}

func (d *Dispatcher) endClaim(k *ticket) {
	if k.claiming {
		k.claiming = false
		d.claiming--
	}
}

func (d *Dispatcher) grant(k *ticket) bool {
	slot, ok := d.Router.Acquire(k.request.Route)
	if !ok {
		return false
	}
	k.turns <- turn{kind: turnSlot, slot: slot}
	return true
}
