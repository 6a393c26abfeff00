package relay_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/relay"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	waitTimeout = 30 * time.Second

	// largeFleet is a number of executors for which relays are used.
	largeFleet = 200
)

// recorder is the end of all calls to executors from one instance.
type recorder struct {
	mu     sync.Mutex
	starts []fleet.Start
	stops  []fleet.Stop
	polls  map[string]int
	// lastPoll is the last poll that arrived.
	lastPoll fleet.Poll
	// late are the executors whose response arrived after the deadline of the poll.
	late []string
	// hang keeps calls without a response until their deadline.
	hang bool
	// delay is how long each response takes, regardless of the deadline.
	delay time.Duration
	resp  fleet.Response
}

func (r *recorder) respond(ctx context.Context) fleet.Response {
	r.mu.Lock()
	hang, resp, delay := r.hang, r.resp, r.delay
	r.mu.Unlock()
	time.Sleep(delay)
	if hang {
		<-ctx.Done()
		return fleet.Response{Status: fleet.NoResponse}
	}
	return resp
}

func (r *recorder) caller() fleet.Caller {
	return fleet.Caller{
		Start: func(ctx context.Context, _ fleet.Executor, cmd fleet.Start) fleet.Response {
			r.mu.Lock()
			r.starts = append(r.starts, cmd)
			r.mu.Unlock()
			return r.respond(ctx)
		},
		Stop: func(ctx context.Context, _ fleet.Executor, cmd fleet.Stop) fleet.Response {
			r.mu.Lock()
			r.stops = append(r.stops, cmd)
			r.mu.Unlock()
			return r.respond(ctx)
		},
		Throttle: func(ctx context.Context, _ fleet.Executor, _ fleet.Throttle) fleet.Response { return r.respond(ctx) },
		Poll: func(ctx context.Context, e fleet.Executor, poll fleet.Poll) fleet.Response {
			r.mu.Lock()
			r.lastPoll = poll
			if r.polls == nil {
				r.polls = make(map[string]int)
			}
			r.polls[e.ID]++
			r.mu.Unlock()
			return r.respond(ctx)
		},
	}
}

func (r *recorder) startedRuns() []fleet.Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.starts)
}

func (r *recorder) pollCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, k := range r.polls {
		n += k
	}
	return n
}

// fakeRelay is an instance that can be used as a relay.
type fakeRelay struct {
	recorder
	domain string
	// former is set for an instance of a former version.
	former bool

	mu    sync.Mutex
	conns []net.Conn
	// silent drops all that the relay sends.
	silent bool
}

// silencedConn is the relay's end of a connection.
type silencedConn struct {
	net.Conn
	relay *fakeRelay
}

func (c silencedConn) Write(b []byte) (int, error) {
	c.relay.mu.Lock()
	silent := c.relay.silent
	c.relay.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// newSender starts a sender with relays that are reached over pipes.
func newSender(t *testing.T, direct *recorder, relays map[string]*fakeRelay) *relay.Sender {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	client := &peer.Client{Dial: func(_ context.Context, address string) (net.Conn, error) {
		x := relays[address]
		near, far := net.Pipe()
		x.mu.Lock()
		x.conns = append(x.conns, far)
		x.mu.Unlock()
		s := peer.Server{HandleStream: func(ctx context.Context, req *wire.Request, stream *peer.Stream) bool {
			server := relay.Server{Executors: x.caller(), Log: logger}
			server.Serve(ctx, req.GetRelayOpen(), stream)
			return true
		}}
		go s.ServeConn(t.Context(), silencedConn{Conn: far, relay: x})
		return near, nil
	}}
	t.Cleanup(client.Close)
	s := &relay.Sender{
		Owner: "owner", Log: logger, Executors: direct.caller(), Weight: 800,
		LatePoll: func(id string, _ time.Time, _ fleet.Response) {
			direct.mu.Lock()
			defer direct.mu.Unlock()
			direct.late = append(direct.late, id)
		},
		Candidates: func() []relay.Candidate {
			var out []relay.Candidate
			for address, x := range relays {
				out = append(out, relay.Candidate{Address: address, Domain: x.domain, Weight: 800, TellsIncarnations: !x.former})
			}
			return out
		},
		Open: func(ctx context.Context, address string, open *wire.RelayOpen) (*peer.Stream, error) {
			return client.Open(ctx, address, &wire.Request{Body: &wire.Request_RelayOpen{RelayOpen: open}})
		},
	}
	s.Init()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func executor(i int) fleet.Executor {
	return fleet.Executor{ID: fmt.Sprintf("x%d", i), Address: "10.0.0.1:80", Domain: string(rune('a' + i%2))}
}

// pollFleet polls a number of executors once, at the same time.
func pollFleet(t *testing.T, s *relay.Sender, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			assert.Check(t, cmp.Equal(s.Poll(ctx, executor(i), fleet.Poll{Epoch: 1}).Status, fleet.Executed))
		})
	}
	wg.Wait()
}

// useRelays polls a large fleet until all calls go through relays.
func useRelays(t *testing.T, s *relay.Sender, direct *recorder) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := direct.pollCount()
		pollFleet(t, s, largeFleet)
		if direct.pollCount() == before {
			return poll.Success()
		}
		return poll.Continue("calls are made directly")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

func twoRelays() map[string]*fakeRelay {
	return map[string]*fakeRelay{"ra": {domain: "a"}, "rb": {domain: "b"}}
}

// In a small fleet the owner makes all calls itself.
func TestSmallFleetNeedsNoRelay(t *testing.T) {
	direct, relays := &recorder{}, twoRelays()
	s := newSender(t, direct, relays)
	deadline := time.Now().Add(time.Second)
	for time.Now().Before(deadline) {
		pollFleet(t, s, 48)
	}
	assert.Equal(t, relays["ra"].pollCount()+relays["rb"].pollCount(), 0)
}

// Guards against tasks that run twice: a relay of a former version sends calls to the next incarnation of an executor.
func TestFormerVersionIsNoRelay(t *testing.T) {
	direct, relays := &recorder{}, twoRelays()
	relays["rb"].former = true
	s := newSender(t, direct, relays)
	useRelays(t, s, direct)
	assert.Assert(t, relays["ra"].pollCount() > 0)
	assert.Equal(t, relays["rb"].pollCount(), 0)
}

// Calls to a large fleet go through a relay in the failure domain of the executor, so that a cut
// between domains does not break calls within them.
func TestRelayIsInDomainOfExecutor(t *testing.T) {
	direct, relays := &recorder{}, twoRelays()
	s := newSender(t, direct, relays)
	useRelays(t, s, direct)
	for _, x := range relays {
		x.recorder.mu.Lock()
		x.polls = nil
		x.recorder.mu.Unlock()
	}
	pollFleet(t, s, largeFleet)
	for address, x := range relays {
		assert.Equal(t, x.pollCount(), largeFleet/2, address)
		x.recorder.mu.Lock()
		polled := maps.Clone(x.polls)
		x.recorder.mu.Unlock()
		for i := range largeFleet {
			assert.Equal(t, polled[executor(i).ID] > 0, executor(i).Domain == x.domain)
		}
	}
}

// A start, a poll and their responses arrive through a relay as they were sent. More texts of jobs
// are sent than a relay keeps, so that numbers of texts are used again.
func TestCallsArriveUnchanged(t *testing.T) {
	direct, relays := &recorder{}, map[string]*fakeRelay{"ra": {domain: "a"}}
	s := newSender(t, direct, relays)
	useRelays(t, s, direct)
	x := relays["ra"]
	want := fleet.Response{
		Status: fleet.Executed, HasClock: true, Clock: 12345 * time.Millisecond, Incarnation: 99, Cause: "c", Partial: true,
		Runs: []fleet.Run{{Task: fleet.TaskID{Job: "j", Occurrence: 1, Step: 2, Index: 3}, Number: 4, Checkpoint: "k", Percent: 41.5, Metric: 7}},
		Ends: []fleet.End{{Sequence: 5, Task: fleet.TaskID{Job: "j2"}, Number: 6, Kind: fleet.GangBroken, Checkpoint: "m"}},
	}
	x.recorder.mu.Lock()
	x.resp = want
	x.recorder.mu.Unlock()
	const jobs, tasks = 600, 3
	var wg sync.WaitGroup
	for i := range jobs * tasks {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			resp := s.Start(ctx, executor(0), fleet.Start{
				Task: fleet.TaskID{Job: fmt.Sprint(i / tasks), Index: i % tasks}, Number: 1001, Text: fmt.Sprint("text ", i/tasks),
				Checkpoint: "k", Ticket: "t", LeaseEnd: 1234 * time.Millisecond, Incarnation: 99, Epoch: 2,
			})
			assert.Check(t, cmp.DeepEqual(resp, want))
		})
	}
	wg.Wait()
	starts := x.startedRuns()
	assert.Equal(t, len(starts), jobs*tasks)
	for _, cmd := range starts {
		assert.DeepEqual(t, cmd, fleet.Start{
			Task: cmd.Task, Number: 1001, Text: "text " + cmd.Task.Job,
			Checkpoint: "k", Ticket: "t", LeaseEnd: 1234 * time.Millisecond, Incarnation: 99, Epoch: 2,
		})
	}
	sent := fleet.Poll{Epoch: 2, AckedSequence: 3, LeaseEnd: 1234 * time.Millisecond, KnownSequence: 4, Incarnation: 99, Wait: 700 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	assert.DeepEqual(t, s.Poll(ctx, executor(0), sent), want)
	x.recorder.mu.Lock()
	defer x.recorder.mu.Unlock()
	assert.DeepEqual(t, x.lastPoll, sent)
}

// A poll whose relay becomes silent is repeated directly: the owner must not take the failure of a
// relay for one of its executors.
func TestPollSurvivesSilentRelay(t *testing.T) {
	direct, relays := &recorder{}, twoRelays()
	s := newSender(t, direct, relays)
	useRelays(t, s, direct)
	for _, x := range relays {
		x.mu.Lock()
		x.silent = true
		x.mu.Unlock()
	}
	before := direct.pollCount()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	resp := s.Poll(ctx, executor(0), fleet.Poll{Epoch: 1, Wait: 700 * time.Millisecond})
	assert.Equal(t, resp.Status, fleet.Executed)
	assert.Equal(t, direct.pollCount(), before+1)
}

// The response to a poll that arrives after the deadline must still reach the owner: otherwise a slow
// way takes the place of a silent executor, and its finished tasks run again elsewhere. One that the owner does
// not wait for must not be taken for that of a silent executor either.
func TestLateResponseToPollIsUsed(t *testing.T) {
	direct, relays := &recorder{}, map[string]*fakeRelay{"ra": {domain: "a"}}
	s := newSender(t, direct, relays)
	useRelays(t, s, direct)
	x := relays["ra"]
	lookup := func(delay time.Duration) fleet.Status {
		x.recorder.mu.Lock()
		x.delay = delay
		x.recorder.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		return s.Poll(ctx, executor(0), fleet.Poll{Epoch: 1}).Status
	}
	assert.Equal(t, lookup(300*time.Millisecond), fleet.Executed)
	assert.Equal(t, lookup(1800*time.Millisecond), fleet.Undelivered)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		direct.mu.Lock()
		defer direct.mu.Unlock()
		if len(direct.late) == 1 && direct.late[0] == executor(0).ID {
			return poll.Success()
		}
		return poll.Continue("late responses: %v", direct.late)
	}, poll.WithTimeout(waitTimeout))
}

// The deadline of a call is the executor's. An owner without processor time reads the result later, which must not
// count as silence of the executor, and a result that does not arrive in time says nothing about it.
func TestResultMayArriveAfterDeadline(t *testing.T) {
	direct, relays := &recorder{}, map[string]*fakeRelay{"ra": {domain: "a"}}
	s := newSender(t, direct, relays)
	useRelays(t, s, direct)
	x := relays["ra"]
	for i, c := range []struct {
		delay time.Duration
		hang  bool
		want  fleet.Status
	}{{0, true, fleet.NoResponse}, {300 * ms, false, fleet.Executed}, {1600 * ms, false, fleet.Undelivered}} {
		x.recorder.mu.Lock()
		x.delay, x.hang = c.delay, c.hang
		x.recorder.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 100*ms)
		resp := s.Poll(ctx, executor(i), fleet.Poll{Epoch: 1})
		cancel()
		assert.Equal(t, resp.Status, c.want)
		assert.Equal(t, resp.Cause == "", c.want != fleet.Undelivered, "the result is the relay's")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		direct.mu.Lock()
		defer direct.mu.Unlock()
		if slices.Equal(direct.late, []string{executor(2).ID}) {
			return poll.Success()
		}
		return poll.Continue("late responses: %v", direct.late)
	}, poll.WithTimeout(waitTimeout))
}

// A start that a failed relay may have sent is not repeated by the sender: it can run later, and only
// the owner knows the rules for a start without a response.
func TestStartThroughFailedRelayHasNoResponse(t *testing.T) {
	direct, relays := &recorder{}, map[string]*fakeRelay{"ra": {domain: "a"}}
	s := newSender(t, direct, relays)
	useRelays(t, s, direct)
	x := relays["ra"]
	x.recorder.mu.Lock()
	x.hang = true
	x.recorder.mu.Unlock()
	time.AfterFunc(100*time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, c := range x.conns {
			_ = c.Close()
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	resp := s.Start(ctx, executor(0), fleet.Start{Task: fleet.TaskID{Job: "j"}, Number: 1})
	assert.Equal(t, resp.Status, fleet.NoResponse)
	assert.Equal(t, len(direct.startedRuns()), 0)
	assert.Equal(t, len(x.startedRuns()), 1)
}

// An executor without a response is reported by its relay in time, and the relay stays in use.
func TestUnresponsiveExecutorIsNotTakenForFailedRelay(t *testing.T) {
	direct, relays := &recorder{}, map[string]*fakeRelay{"ra": {domain: "a"}}
	s := newSender(t, direct, relays)
	useRelays(t, s, direct)
	x := relays["ra"]
	x.recorder.mu.Lock()
	x.hang = true
	x.recorder.mu.Unlock()
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			resp := s.Stop(ctx, executor(i), fleet.Stop{Task: fleet.TaskID{Job: "j"}, Number: 1})
			assert.Check(t, cmp.Equal(resp.Status, fleet.NoResponse))
			assert.Check(t, cmp.Equal(resp.Cause, "")) // as the relay tells, not the sender's own timeout
		})
	}
	wg.Wait()
	direct.mu.Lock()
	assert.Equal(t, len(direct.stops), 0)
	direct.mu.Unlock()
	before := direct.pollCount()
	x.recorder.mu.Lock()
	x.hang = false
	x.recorder.mu.Unlock()
	pollFleet(t, s, largeFleet)
	assert.Equal(t, direct.pollCount(), before)
}

// An instance that cannot be reached is not used as a relay, and calls go directly meanwhile.
func TestUnreachableRelay(t *testing.T) {
	direct := &recorder{}
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	s := &relay.Sender{
		Log: logger, Executors: direct.caller(),
		Candidates: func() []relay.Candidate {
			return []relay.Candidate{{Address: "r", Weight: 800, TellsIncarnations: true}}
		},
		Open: func(context.Context, string, *wire.RelayOpen) (*peer.Stream, error) {
			return nil, errors.New("unreachable")
		},
	}
	s.Init()
	go s.Run(t.Context())
	for range 5 {
		pollFleet(t, s, largeFleet)
	}
	assert.Equal(t, direct.pollCount(), 5*largeFleet)
}
