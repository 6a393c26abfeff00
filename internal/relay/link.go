package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// sendTimeout is how long a batch may wait for room on its connection.
	sendTimeout = 500 * time.Millisecond

	// silenceTimeout is how long a relay may send nothing before it counts as failed; it is several
	// times aliveInterval.
	silenceTimeout = 400 * time.Millisecond

	// checkInterval is the time between two checks for silence. A check that runs late is skipped,
	// because then this instance is too slow to tell.
	checkInterval = 50 * time.Millisecond

	// resultTime is how long the result of a call may take beyond the time that the executor has. It is far
	// longer than the way takes: a result that the owner reads late is still better than none.
	resultTime = time.Second

	// maxTimeouts is the number of calls without a result from the relay within timeoutWindow from
	// which the relay counts as failed, if they are most of its calls. A relay that works reports an
	// executor's silence in time; one that is merely slow still returns results, and the calls would
	// not be faster elsewhere.
	maxTimeouts   = 8
	timeoutWindow = time.Second
)

// errRelayFailed is the cause of calls that end because their relay failed.
var errRelayFailed = errors.New("relay: instance that makes the call failed")

// link is the owner's connection to one relay.
type link struct {
	address string
	domain  string
	// interval is the minimum time between two batches.
	interval time.Duration

	// up is set while the stream is open.
	up atomic.Bool
	// lastReceived is when the last batch arrived.
	lastReceived atomic.Pointer[time.Time]
	wake         chan struct{}
	// failed is closed when the link has ended.
	failed chan struct{}

	mu     sync.Mutex
	nextID int64
	queue  []*pendingCall
	// sent holds the calls that were sent and have no result yet.
	sent map[int64]*pendingCall
	// timeouts counts the calls without a result since countedSince, and results those with one.
	timeouts     int
	results      int
	countedSince time.Time
	// texts are the texts of jobs that the relay has received.
	texts textWindow
}

// pendingCall is a call that waits for its result.
type pendingCall struct {
	call   *wire.RelayCall
	text   string
	result chan *wire.RelayResult
	sent   bool
	// late takes the result of a poll that is no longer waited for; nil for other calls.
	late func(fleet.Response)
	// abandoned is set when the caller no longer waits.
	abandoned bool
}

func newLink(c Candidate, interval time.Duration) *link {
	return &link{
		address: c.Address, domain: c.Domain, interval: interval, wake: make(chan struct{}, 1), failed: make(chan struct{}),
		sent: make(map[int64]*pendingCall),
	}
}

// run serves the stream until it fails or ctx ends, and returns the cause.
func (l *link) run(ctx context.Context, stream *peer.Stream) error {
	defer close(l.failed)
	defer l.up.Store(false)
	defer stream.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	opened := time.Now()
	l.lastReceived.Store(&opened)
	l.up.Store(true)
	go func() { cancel(l.receive(stream)) }()
	go func() { cancel(l.send(ctx, stream)) }()
	last := time.Now()
	for {
		pause(ctx, checkInterval)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		now := time.Now()
		late := now.Sub(last) > 2*checkInterval
		last = now
		if late {
			l.lastReceived.Store(&now)
			continue
		}
		if silence := now.Sub(*l.lastReceived.Load()); silence > silenceTimeout {
			return errors.Newf("relay: nothing received for %s", silence.Round(time.Millisecond))
		}
		if l.tooManyTimeouts(now) {
			return errors.Newf("relay: %d calls without a result", maxTimeouts)
		}
	}
}

// receive hands results to the calls that wait for them.
func (l *link) receive(stream *peer.Stream) error {
	for {
		var batch wire.RelayResults
		if err := stream.Receive(&batch, 0); err != nil {
			return err
		}
		received := time.Now()
		l.lastReceived.Store(&received)
		for _, r := range batch.GetResults() {
			l.deliver(r)
		}
	}
}

// deliver hands a result to its caller, or, if a poll is no longer waited for, to its late function.
func (l *link) deliver(r *wire.RelayResult) {
	l.mu.Lock()
	p := l.sent[r.GetId()]
	delete(l.sent, r.GetId())
	late := p != nil && p.abandoned
	if p != nil && !late {
		l.results++
		p.result <- r
	}
	l.mu.Unlock()
	if late {
		p.late(decodeResponse(r))
	}
}

// send writes queued calls in batches.
func (l *link) send(ctx context.Context, stream *peer.Stream) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
		batch, err := l.nextBatch()
		if err != nil {
			return err
		}
		if len(batch.Calls) > 0 {
			if err := stream.Send(batch, sendTimeout); err != nil {
				return err
			}
		}
		pause(ctx, l.interval)
	}
}

// nextBatch takes calls from the queue.
func (l *link) nextBatch() (*wire.RelayCalls, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := &wire.RelayCalls{}
	n := 0
	for bytes := 0; n < len(l.queue) && n < maxBatchCalls && bytes < maxBatchBytes && len(batch.Texts) < maxBatchTexts; n++ {
		p := l.queue[n]
		if p.call.Start != nil {
			number, known := l.texts.find(p.text)
			if !known {
				compressed, err := compressText(p.text)
				if err != nil {
					return nil, err
				}
				number = l.texts.add(p.text)
				batch.Texts = append(batch.Texts, compressed)
				bytes += len(compressed)
			}
			p.call.Start.Text = number
		}
		p.sent = true
		l.sent[p.call.Id] = p
		batch.Calls = append(batch.Calls, p.call)
	}
	l.queue = l.queue[n:]
	if len(l.queue) > 0 {
		notify(l.wake)
	}
	return batch, nil
}

// maxBatchBytes limits the texts in one batch.
const maxBatchBytes = 1 << 20

// call makes one call through the relay. The deadline of ctx is that of the executor, by the relay's clock; the
// result may take resultTime longer. If it returns an error, sent reports whether the relay may
// have received the call, and late, unless it is nil, takes the response if it still arrives.
func (l *link) call(ctx context.Context, call *wire.RelayCall, text string, late func(fleet.Response)) (resp fleet.Response, sent bool, err error) {
	relayedCalls.Inc()
	p := &pendingCall{call: call, text: text, result: make(chan *wire.RelayResult, 1), late: late}
	l.mu.Lock()
	l.nextID++
	call.Id = l.nextID
	l.queue = append(l.queue, p)
	l.mu.Unlock()
	notify(l.wake)
	timer := time.NewTimer(millis(call.GetTimeoutMs()) + resultTime)
	defer timer.Stop()
	canceled := ctx.Done()
	for err == nil {
		select {
		case r := <-p.result:
			return decodeResponse(r), true, nil
		case <-l.failed:
			err = errRelayFailed
		case <-timer.C:
			err = context.DeadlineExceeded
		case <-canceled:
			if canceled = nil; errors.Is(ctx.Err(), context.Canceled) {
				err = ctx.Err()
			}
		}
	}
	return fleet.Response{}, l.abandon(p, errors.Is(err, context.DeadlineExceeded)), err
}

// abandon forgets a call and reports whether it was sent.
func (l *link) abandon(p *pendingCall, timedOut bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.late != nil {
		p.abandoned = true
	} else {
		delete(l.sent, p.call.Id)
	}
	for i := range l.queue {
		if l.queue[i] == p {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			break
		}
	}
	if timedOut && p.sent {
		l.timeouts++
	}
	return p.sent
}

// tooManyTimeouts reports whether the relay left too many calls without a result.
func (l *link) tooManyTimeouts(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.countedSince) < timeoutWindow {
		return false
	}
	failed := l.timeouts >= maxTimeouts && l.timeouts > l.results
	l.timeouts, l.results, l.countedSince = 0, 0, now
	return failed
}
