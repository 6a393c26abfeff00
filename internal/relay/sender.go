package relay

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Metrics of the owner's calls to executors, and of relays, since the start of the process.
var (
	relayedCalls  = metrics.NewCounter("relay_calls_total")
	failedRelays  = metrics.NewCounter("relay_failures_total")
	latePolls     = metrics.NewCounter("relay_late_polls_total")
	relaysInUse   = metrics.NewGauge("relays_in_use", nil)
	executedCalls = metrics.NewCounter("relay_executed_calls_total")
)

const (
	// openTimeout limits the time until a stream to a relay is open.
	openTimeout = 500 * time.Millisecond

	// failureBackoff is how long an instance that failed as a relay is not used again.
	failureBackoff = 2 * time.Second

	// routeInterval is the time between two checks of which relays to use.
	routeInterval = 250 * time.Millisecond

	// minRetryTime is the time that must be left to repeat a poll after its relay failed.
	minRetryTime = 50 * time.Millisecond
)

// Sender makes the owner's calls to executors, directly in a small fleet and through relays in a
// large one. Set the exported fields before Run.
type Sender struct {
	Owner string
	Log   log.Interface
	// Weight is the capacity of the owner in thousandths of a core.
	Weight int64

	// Executors makes calls directly.
	Executors fleet.Caller

	// LatePoll takes the response to a poll that arrives after the deadline of the call. An executor
	// whose responses are merely late must not be taken for one that does not respond.
	LatePoll func(id string, sent time.Time, resp fleet.Response)

	// Candidates returns the instances that could be relays, those with the most capacity first.
	Candidates func() []Candidate

	// Open opens a stream to a relay.
	Open func(ctx context.Context, address string, open *wire.RelayOpen) (*peer.Stream, error)

	mu    sync.Mutex
	links map[string]*link
	// up are the links that are open, in the order of their addresses.
	up      []*link
	backoff map[string]time.Time
	// seen holds when each executor was last polled, routed the link that each one uses.
	seen   map[string]time.Time
	routed map[string]*link
}

// Init prepares the sender. It must be called before all other methods.
func (s *Sender) Init() {
	s.links = make(map[string]*link)
	s.backoff = make(map[string]time.Time)
	s.seen = make(map[string]time.Time)
	s.routed = make(map[string]*link)
}

// Run keeps links to the relays open until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.update(ctx, time.Now())
		pause(ctx, routeInterval)
	}
}

// Start commands an executor to run a task.
func (s *Sender) Start(ctx context.Context, e fleet.Executor, cmd fleet.Start) fleet.Response {
	call := &wire.RelayCall{Epoch: cmd.Epoch, Start: encodeStart(&cmd)}
	return s.command(ctx, e, call, cmd.Text, func() fleet.Response { return s.Executors.Start(ctx, e, cmd) })
}

// Stop commands an executor to end a run.
func (s *Sender) Stop(ctx context.Context, e fleet.Executor, cmd fleet.Stop) fleet.Response {
	call := &wire.RelayCall{Epoch: cmd.Epoch, Stop: &wire.RelayStop{Run: encodeRun(cmd.Task, cmd.Number)}}
	return s.command(ctx, e, call, "", func() fleet.Response { return s.Executors.Stop(ctx, e, cmd) })
}

// Throttle commands an executor to limit a run to a percentage of its CPU.
func (s *Sender) Throttle(ctx context.Context, e fleet.Executor, cmd fleet.Throttle) fleet.Response {
	call := &wire.RelayCall{Epoch: cmd.Epoch, Throttle: &wire.RelayThrottle{
		Run: encodeRun(cmd.Task, cmd.Number), Percent: int64(cmd.Percent),
	}}
	return s.command(ctx, e, call, "", func() fleet.Response { return s.Executors.Throttle(ctx, e, cmd) })
}

// command makes a call through the relay of the executor, or directly if there is none or the relay
// fails before the call is sent. A command that a relay may have received is not repeated here: the
// owner repeats it under the rules for commands without a response.
func (s *Sender) command(ctx context.Context, e fleet.Executor, call *wire.RelayCall, text string, direct func() fleet.Response) fleet.Response {
	l := s.route(e)
	if l == nil {
		return direct()
	}
	prepare(ctx, e, call)
	resp, sent, err := l.call(ctx, call, text, nil)
	switch {
	case err == nil:
		return resp
	case !sent && ctx.Err() == nil:
		return s.command(ctx, e, call, text, direct)
	}
	return fleet.Response{Status: fleet.NoResponse, Cause: err.Error()}
}

// Poll renews the lease of an executor and requests the list of its runs and ended runs. If the relay
// fails, the poll is repeated on another way and without a hold, so that the failure is not taken for
// one of the executor.
func (s *Sender) Poll(ctx context.Context, e fleet.Executor, poll fleet.Poll) fleet.Response {
	s.mu.Lock()
	s.seen[e.ID] = time.Now()
	s.mu.Unlock()
	l := s.route(e)
	if l == nil {
		return s.Executors.Poll(ctx, e, poll)
	}
	call := &wire.RelayCall{Epoch: poll.Epoch, Poll: &wire.RelayPoll{
		AckedSequence: poll.AckedSequence, LeaseEndMs: poll.LeaseEnd.Milliseconds(), WaitMs: poll.Wait.Milliseconds(),
		KnownSequence: poll.KnownSequence, Incarnation: poll.Incarnation,
	}}
	prepare(ctx, e, call)
	sent := time.Now()
	resp, _, err := l.call(ctx, call, "", func(resp fleet.Response) {
		if resp.Status == fleet.Executed {
			latePolls.Inc()
			s.LatePoll(e.ID, sent, resp)
		}
	})
	if err == nil {
		return resp
	}
	if deadline, ok := ctx.Deadline(); ctx.Err() == nil && (!ok || time.Until(deadline) > minRetryTime) {
		poll.Wait = 0
		return s.Poll(ctx, e, poll) // through another relay, if there is one
	}
	return fleet.Response{Status: fleet.Undelivered, Cause: err.Error()}
}

// prepare sets the fields of a call that do not depend on its kind.
func prepare(ctx context.Context, e fleet.Executor, call *wire.RelayCall) {
	call.Executor, call.Address = e.ID, e.Address
	timeout := openTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	call.TimeoutMs = timeout.Milliseconds()
}

// route returns the link for an executor; nil means a direct call.
func (s *Sender) route(e fleet.Executor) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.up) == 0 {
		return nil
	}
	if l := s.routed[e.ID]; l != nil && l.up.Load() {
		return l
	}
	l := chooseLink(s.up, e)
	s.routed[e.ID] = l
	return l
}

// update opens links to chosen relays without one. The link to an instance that is gone ends by itself.
func (s *Sender) update(ctx context.Context, now time.Time) {
	candidates := s.Candidates()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.seen {
		if now.Sub(at) > seenWindow {
			delete(s.seen, id)
			delete(s.routed, id)
		}
	}
	usable := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.TellsIncarnations && now.After(s.backoff[c.Address]) {
			usable = append(usable, c)
		}
	}
	current := make(map[string]bool, len(s.links))
	for address := range s.links {
		current[address] = true
	}
	chosen := chooseRelays(usable, current, len(s.seen))
	for _, c := range chosen {
		if s.links[c.Address] == nil {
			l := newLink(c, batchInterval(len(chosen), s.Weight))
			s.links[c.Address] = l
			go s.serve(ctx, l)
		}
	}
}

// serve opens the stream of a link and serves it until it fails.
func (s *Sender) serve(ctx context.Context, l *link) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	stream, err := s.Open(openCtx, l.address, &wire.RelayOpen{Owner: s.Owner, BatchIntervalMs: l.interval.Milliseconds()})
	cancel()
	if err == nil {
		s.Log.WithField("relay", l.address).Info("calls to executors go through a relay")
		s.setUp(l)
		err = l.run(ctx, stream)
	}
	s.mu.Lock()
	delete(s.links, l.address)
	s.backoff[l.address] = time.Now().Add(failureBackoff)
	s.removeUp(l)
	relaysInUse.Set(float64(len(s.up)))
	s.mu.Unlock()
	if ctx.Err() == nil {
		failedRelays.Inc()
		s.Log.WithField("relay", l.address).WithError(err).Warn("relay failed; calls to its executors take other ways")
	}
}

// setUp adds a link to those in use, and routes all executors anew.
func (s *Sender) setUp(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.up.Store(true)
	s.up = insertLink(s.up, l)
	relaysInUse.Set(float64(len(s.up)))
	clear(s.routed)
}

func (s *Sender) removeUp(l *link) {
	for i := range s.up {
		if s.up[i] == l {
			s.up = append(s.up[:i:i], s.up[i+1:]...)
			return
		}
	}
}
