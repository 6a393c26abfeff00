package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/pace"
)

var lostResponses = metrics.NewCounter("executor_responses_lost_total")

const (
	// waitsInterval is the time between two reads of how long goroutines of this process wait for the processor.
	waitsInterval = 100 * time.Millisecond

	// lateWait is the wait from which this process is too late itself to tell responses that got lost, and
	// waitMemory how long a wait counts.
	lateWait   = 20 * time.Millisecond
	waitMemory = time.Second

	// responseHops is the number of goroutines that a response and its timeout pass in this process. maxLate
	// limits what their waits add to a timeout.
	responseHops = 3
	maxLate      = 500 * time.Millisecond

	// minWaits is the number of waits that says something about all of them.
	minWaits = 50

	// toldMemory is how long the runs of an executor that is not polled are kept.
	toldMemory = time.Minute
)

// Repeater polls executors for the owner and repeats a poll whose response got lost, so that the owner hears only
// of executors that do not respond. It runs in the instance that makes the calls: the owner, which is busier, cannot
// tell a response that is late from one that is lost. Set the fields before the first call.
type Repeater struct {
	Executors fleet.Caller
	Log       log.Interface
	// Waits returns the waits of this process's goroutines for the processor since the last call; nil means that
	// the runtime's are read.
	Waits func() pace.WaitTimes

	mu     sync.Mutex
	losses Losses
	losing bool
	// told holds, by executor, the runs that the owner was told; prunedAt is when unused ones were last dropped.
	told     map[string]*Told
	prunedAt time.Time
	// waits are read from the runtime, the last time at waitsReadAt. wait is the longest one within waitMemory,
	// as of waitAt.
	waits       pace.Waits
	waitsReadAt time.Time
	wait        time.Duration
	waitAt      time.Time
}

// Caller returns the calls to executors with polls that are repeated.
func (r *Repeater) Caller() fleet.Caller {
	c := r.Executors
	c.Poll = r.Poll
	return c
}

// Poll polls an executor until there are ended runs that the owner does not know, the poll's wait is over, or the
// executor does not respond. While responses get lost, two attempts are in flight.
func (r *Repeater) Poll(ctx context.Context, e fleet.Executor, poll fleet.Poll) fleet.Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := r.newWatch(time.Now(), e.ID, poll)
	lossy := w.lossy // an attempt may change it
	t := &turn{repeater: r, executor: e, watch: w, result: make(chan fleet.Response, 1)}
	go t.run(ctx, 0)
	if lossy && poll.Wait > 0 {
		go t.run(ctx, min(poll.Wait, lossyHold)/2)
	}
	select {
	case resp := <-t.result:
		return resp
	case <-ctx.Done():
		return fleet.Response{Status: fleet.Undelivered, Cause: ctx.Err().Error()}
	}
}

// newWatch returns the state of a poll that begins now, and logs when responses begin and cease to get lost.
func (r *Repeater) newWatch(now time.Time, id string, poll fleet.Poll) *Watch {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateWait(now)
	losing := r.losses.Persist(now)
	if losing != r.losing {
		r.losing = losing
		r.Log.WithField("losing", losing).WithField("losses", r.losses.count).Info("loss of responses of executors changed")
	}
	w := NewWatch(now, poll, losing, r.toldOf(now, id))
	w.Late = min(responseHops*r.wait, maxLate)
	return w
}

// toldOf returns the runs of an executor that the owner was told.
func (r *Repeater) toldOf(now time.Time, id string) *Told {
	if now.Sub(r.prunedAt) > toldMemory {
		maps.DeleteFunc(r.told, func(_ string, t *Told) bool { return now.Sub(t.usedAt) > toldMemory })
		r.prunedAt = now
	}
	if r.told == nil {
		r.told = make(map[string]*Told)
	}
	t := r.told[id]
	if t == nil {
		t = &Told{}
		r.told[id] = t
	}
	t.usedAt = now
	return t
}

// updateWait reads how long goroutines of this process wait for the processor.
func (r *Repeater) updateWait(now time.Time) {
	if now.Sub(r.waitsReadAt) < waitsInterval {
		return
	}
	r.waitsReadAt = now
	read := r.Waits
	if read == nil {
		read = r.waits.Read
	}
	w := read()
	if w.Count < minWaits {
		w.High = 0
	}
	if w.High >= r.wait || now.Sub(r.waitAt) > waitMemory {
		r.wait, r.waitAt = w.High, now
	}
}

// recordLosses adds lost responses.
func (r *Repeater) recordLosses(now time.Time, n int) {
	if n == 0 {
		return
	}
	lostResponses.Add(n)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wait < lateWait {
		r.losses.Record(now, n)
	}
}

// losesResponses reports whether responses get lost.
func (r *Repeater) losesResponses(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.losses.Persist(now)
}

// turn is one poll of the owner.
type turn struct {
	repeater *Repeater
	executor fleet.Executor
	result   chan fleet.Response

	mu    sync.Mutex
	watch *Watch
	done  bool
}

// run makes attempts one after the other, from a delay on, until one of them has a result.
func (t *turn) run(ctx context.Context, delay time.Duration) {
	for {
		if delay > 0 {
			pause(ctx, delay)
		}
		sent := time.Now()
		attempt, ok := t.next(ctx, sent)
		if !ok {
			return
		}
		attemptCtx, cancel := context.WithTimeout(ctx, attempt.Timeout)
		resp := t.repeater.Executors.Poll(attemptCtx, t.executor, attempt)
		cancel()
		if delay, ok = t.handle(sent, resp); !ok {
			return
		}
	}
}

func (t *turn) next(ctx context.Context, now time.Time) (fleet.Poll, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.watch.Next(now), !t.done && ctx.Err() == nil
}

// handle passes on the result, if there is one; it returns false when no more attempts are due.
func (t *turn) handle(sent time.Time, resp fleet.Response) (time.Duration, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return 0, false
	}
	if t.repeater.losesResponses(now) {
		t.watch.SetLossy()
	}
	result, done, delay := t.watch.Handle(now, sent, resp)
	t.repeater.recordLosses(now, t.watch.Lost)
	t.watch.Lost = 0
	if done {
		t.done = true
		t.result <- result
	}
	return delay, !done
}
