package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
)

// workKind is a kind of work of an owner's loop.
type workKind int

const (
	pollWork workKind = iota
	endWork
	sendWork
	commandWork
	adviceWork
	commitWork
	submitWork
	tickWork
	numWorkKinds
)

// costs are the processing times of an owner's work, calls over the network included.
type costs struct {
	factor float64
	event  [numWorkKinds]time.Duration
	// pass is the time of a scheduling pass, pendingStep what it takes more for each step with tasks to
	// start, and advice for each call to the policy service.
	pass, pendingStep, advice time.Duration
}

// loop does the work of an owner in virtual time, in the order in which it is posted, as Driver does.
type loop struct {
	owner *owner
	costs costs
	// processor is set if calls, commits and polls share the loop's processor; costs are then split between
	// the loop and the goroutines that make the calls.
	processor *processor
	// first are the results of commits and the responses with ended runs, which are handled before the
	// events in queue.
	first, queue []loopEvent
	running      bool
	began        time.Time
	lastPass     time.Time
	renewedAt    time.Time
	// worstRenewal is the longest time between two commits, busy the time that was worked.
	worstRenewal, busy time.Duration
}

type loopEvent struct {
	requested time.Time
	kind      workKind
	f         func()
}

// maxLoopRound is how long queued events are handled before the next scheduling pass.
const maxLoopRound = 20 * time.Millisecond

func (l *loop) post(kind workKind, f func()) {
	e := loopEvent{l.owner.env.now, kind, f}
	if kind == commitWork || kind == endWork {
		l.first = append(l.first, e)
	} else {
		l.queue = append(l.queue, e)
	}
	l.wake()
}

// spend continues with next after a processing time.
func (l *loop) spend(d time.Duration, next func()) {
	l.busy += d
	l.owner.core.Pace.Worked(d)
	if l.processor != nil {
		l.processor.busy += d
	}
	l.owner.env.schedule(d, next)
}

// step handles the next event, or makes a scheduling pass when there is none or the round is over.
func (l *loop) step() {
	sim, core := l.owner.env, l.owner.core
	if len(l.first)+len(l.queue) > 0 && sim.now.Sub(l.began) <= maxLoopRound {
		from := &l.queue
		if len(l.first) > 0 {
			from = &l.first
		}
		e := (*from)[0]
		*from = (*from)[1:]
		if from == &l.queue {
			core.Pace.Delayed(sim.now, e.requested)
		}
		e.f()
		l.spend(l.loopCost(e.kind), l.step)
		return
	}
	if wait := core.PassInterval() - sim.now.Sub(l.lastPass); wait > 0 {
		l.endRound()
		if !l.running {
			sim.schedule(wait, func() { l.wake() })
		}
		return
	}
	l.lastPass = sim.now
	steps, asked := core.PendingSteps(), l.owner.adviceInFlight
	l.owner.applyDecisions()
	d := l.costs.pass + time.Duration(steps)*l.costs.pendingStep + time.Duration(max(l.owner.adviceInFlight-asked, 0))*l.costs.advice
	l.spend(d, l.endRound)
}

// wake begins a round of the loop unless one is under way.
func (l *loop) wake() {
	switch {
	case l.running:
	case l.processor != nil:
		l.running = true
		l.processor.holdNext(l.begin)
	default:
		l.running = true
		l.begin()
	}
}

func (l *loop) begin() {
	l.began = l.owner.env.now
	l.step()
}

func (l *loop) endRound() {
	l.running = len(l.first)+len(l.queue) > 0
	switch {
	case l.processor != nil:
		if l.running {
			l.processor.hold(l.begin)
		}
		l.processor.release()
	case l.running:
		l.owner.env.schedule(0, l.begin)
	}
}

// callShare is the share of an event's cost that the goroutine of its call takes, beside the loop.
const callShare = 0.6

// loopCost and callCost return the parts of an event's cost.
func (l *loop) loopCost(kind workKind) time.Duration {
	return l.costs.event[kind] - l.callCost(kind)
}

func (l *loop) callCost(kind workKind) time.Duration {
	if l.processor == nil || kind == tickWork {
		return 0
	}
	return time.Duration(callShare * float64(l.costs.event[kind]))
}

// renewalDue reports whether the ownership has to be renewed.
func (l *loop) renewalDue() bool {
	now := l.owner.env.now
	if now.Sub(l.renewedAt) < ledger.RenewInterval && !l.owner.core.CommitDue(now) {
		return false
	}
	if !l.renewedAt.IsZero() {
		l.worstRenewal = max(l.worstRenewal, now.Sub(l.renewedAt))
	}
	l.renewedAt = now
	return true
}

const (
	// overloadFleetSize is the size of the fleet of the overload tests. The work of the owner of the
	// largest fleet grows with its load, so the same work on a smaller fleet costs more.
	overloadFleetSize = 220
	overloadScale     = largestFleetSize / overloadFleetSize

	// overloadLength is how long jobs arrive in the overload tests.
	overloadLength = 16 * time.Second

	// ownerCores is the capacity of the largest instance at the largest fleet.
	ownerCores = 0.8
)

// scaledCost returns the time that work of the owner of the largest fleet takes on its instance, in a smaller
// fleet with as much work for each executor.
func scaledCost(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor * overloadScale / ownerCores)
}

// ownerCosts returns the processing times of the owner of the largest fleet, multiplied by a factor. At 1
// its load keeps the owner busy for about three quarters of the time, as profiles of
// BenchmarkOwnerOfTheLargestFleet and of the relays show.
func ownerCosts(factor float64) *costs {
	scaled := func(d time.Duration) time.Duration { return scaledCost(d, factor) }
	c := &costs{
		factor: factor, pass: scaled(6 * time.Microsecond), pendingStep: scaled(300 * time.Nanosecond),
		advice: scaled(250 * time.Microsecond),
	}
	c.event = [numWorkKinds]time.Duration{
		pollWork: scaled(40 * time.Microsecond), endWork: scaled(40 * time.Microsecond),
		sendWork: scaled(60 * time.Microsecond), commandWork: scaled(50 * time.Microsecond),
		adviceWork: scaled(150 * time.Microsecond),
		commitWork: scaled(300 * time.Microsecond), submitWork: scaled(200 * time.Microsecond), tickWork: scaled(100 * time.Microsecond),
	}
	return c
}

// service is what the callers of a queue got: the shares of their jobs that ended within the objective and
// within three times that.
type service struct {
	inTime, late float64
	submitted    int
}

// worth is the share of the worth of the jobs that is earned, if late jobs earn half of theirs.
func (s service) worth() float64 { return (s.inTime + s.late) / 2 }

func (sim *simulation) serviceOf(o *owner, queue string) service {
	var s service
	good, late := 0, 0
	for id := range sim.submittedTo[queue] {
		spec := sim.specs[id]
		q := sim.config.Queue(queue)
		objective := time.Duration(q.Stretch*float64(spec.CriticalPath())) + q.Slack
		s.submitted++
		at, ended := sim.endedAt[id]
		if !ended || o.core.State(id).State != flow.Completed {
			continue
		}
		switch took := at.Sub(spec.Accepted); {
		case took <= objective:
			good++
		case took <= 3*objective:
			late++
		}
	}
	s.inTime, s.late = float64(good)/float64(s.submitted), float64(good+late)/float64(s.submitted)
	return s
}

// play is the outcome of an overload test.
type play struct {
	urgent, long service
	loop         *loop
	stats        cell.Counters
	// adviceTimeouts is the number of calls to the policy service that were given up.
	adviceTimeouts int
}

// playOverload plays the load of the largest fleet for an owner whose work costs factor times as much.
func playOverload(t *testing.T, seed uint64, factor float64) play {
	t.Helper()
	sim := newLargestFleet(t, seed, overloadFleetSize)
	sim.costs = ownerCosts(factor)
	o := sim.takeOver()
	sim.advance(time.Second)
	for _, load := range heavyLoad(overloadFleetSize) {
		sim.submitLoad(o, load, overloadLength)
	}
	sim.schedule(6*time.Second, func() {
		for _, load := range heavyLoad(overloadFleetSize) {
			load.rate *= 0.8
			sim.submitLoad(o, load, 4*time.Second)
		}
	})
	sim.advance(overloadLength)
	busy := o.loop.busy
	sim.advance(60 * time.Second)
	sim.expectNoViolations()
	p := play{urgent: sim.serviceOf(o, testQueue), long: sim.serviceOf(o, slowQueue), loop: o.loop, stats: o.core.Stats, adviceTimeouts: sim.adviceTimeouts}
	t.Logf("seed %d, cost %.1f: busy %.2f; of %d urgent jobs %.2f in time, %.2f within three times the objective; "+
		"of %d long jobs %.2f, %.2f; renewed after %s at most; %d polls, %d missed, %d starts, %d resent, %d rejected, "+
		"%d advice calls timed out",
		seed, factor, busy.Seconds()/overloadLength.Seconds(), p.urgent.submitted, p.urgent.inTime, p.urgent.late, p.long.submitted, p.long.inTime, p.long.late,
		o.loop.worstRenewal, p.stats.Polls, p.stats.MissedPolls, p.stats.Starts, p.stats.Resent, p.stats.Rejected, p.adviceTimeouts)
	return p
}

// Where the owner's work costs more processor time than planned, what its callers get must fall gradually:
// with twice the cost, urgent jobs earn at least half of what they earn with the planned cost, and a quarter
// with three times the cost. Urgent jobs are not served worse than long ones, jobs that were accepted end, and the ownership is renewed
// in time. Responses that this instance reads late must not be taken for lost ones: to repeat calls would
// add to its load.
func TestOwnerWithoutTimeToSpare(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		planned := playOverload(t, seed, 1)
		assert.Equal(t, planned.stats.Rejected, int64(0))
		for _, factor := range []float64{1.5, 2, 3} {
			p := playOverload(t, seed, factor)
			assert.Check(t, p.loop.worstRenewal < ledger.StaleAfter, "cost %.1f: renewed after %s", factor, p.loop.worstRenewal)
			assert.Check(t, cmp.Equal(p.stats.Resent, int64(0)), "cost %.1f", factor)
			assert.Check(t, cmp.Equal(p.adviceTimeouts, 0), "cost %.1f", factor)
			assert.Check(t, cmp.Equal(p.stats.Accepted, p.stats.Completed+p.stats.Failed), "cost %.1f", factor)
			least := planned.urgent.worth() / 2
			if factor > 2 {
				least /= 2
			} else {
				assert.Check(t, cmp.Equal(p.stats.MissedPolls, int64(0)), "cost %.1f", factor)
				assert.Check(t, p.urgent.late >= 0.9*p.long.late, "cost %.1f", factor)
			}
			assert.Check(t, p.urgent.worth() >= least, "cost %.1f", factor)
		}
	}
}

// An owner that is far behind must reject a long job at once and tell when to come again, while earlier
// ones wait that can no longer end in time.
func TestLongJobsAreRejectedWhileOwnerIsFarBehind(t *testing.T) {
	sim := newLargestFleet(t, 1, overloadFleetSize)
	sim.costs = ownerCosts(3)
	o := sim.takeOver()
	sim.advance(time.Second)
	for _, load := range heavyLoad(overloadFleetSize) {
		sim.submitLoad(o, load, overloadLength)
	}
	sim.advance(overloadLength)
	reply := sim.submit(o, "rejected", singleStep(slowQueue, 10, time.Second))
	sim.advance(time.Second)
	assert.Equal(t, reply.Outcome, cell.Rejected)
	assert.Assert(t, reply.RetryAfter >= time.Second && reply.RetryAfter <= 10*time.Second)
	sim.advance(60 * time.Second)
	reply = sim.submit(o, "accepted", singleStep(slowQueue, 10, time.Second))
	sim.advance(10 * time.Second)
	assert.Equal(t, reply.Outcome, cell.Accepted)
	assert.Equal(t, o.core.State("accepted").State, flow.Completed)
	assert.Equal(t, o.core.State("rejected").Outcome, cell.Absent)
	sim.expectNoViolations()
}

// late makes all events of an owner seem late for a time.
func (o *owner) late(d, lag time.Duration) {
	const step = 5 * time.Millisecond
	for ; d > 0; d -= step {
		o.core.Pace.Delayed(o.env.now, o.env.now.Add(-lag))
		o.env.advance(step)
	}
}

// A short burst must not make the owner reject jobs: to hold back other work often suffices. Jobs were
// rejected half a second after urgent ones had begun to wait, although the lag was gone.
func TestJobsAreRejectedOnlyAfterLongOverload(t *testing.T) {
	sim := newSimulation(t, 1, 0)
	o := sim.takeOver()
	sim.submit(o, "waiting", singleStep(testQueue, 1, time.Second)) // there is no executor for it
	sim.advance(5 * time.Second)
	outcome := func(id string) cell.Outcome {
		reply := sim.submit(o, id, singleStep(testQueue, 1, time.Second))
		o.late(200*time.Millisecond, 100*time.Millisecond)
		return reply.Outcome
	}
	o.late(time.Second, 100*time.Millisecond)
	assert.Assert(t, o.core.Pace.Overrun())
	assert.Equal(t, outcome("first"), cell.Accepted)
	o.late(2*time.Second, 100*time.Millisecond)
	assert.Equal(t, outcome("second"), cell.Rejected)
	o.late(time.Second, 0)
	assert.Equal(t, outcome("third"), cell.Accepted)
}

// Guards against an accepted job that is held back while the owner is behind, though nothing is urgent.
func TestHeldBackJobStartsWhereNothingIsUrgent(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	o := sim.takeOver()
	sim.advance(time.Second)
	o.late(2*time.Second, 100*time.Millisecond)
	sim.submit(o, "long", singleStep(slowQueue, 1, 100*time.Millisecond))
	o.late(3*time.Second, 25*time.Millisecond)
	assert.Assert(t, len(sim.history[fleet.TaskID{Job: "long"}]) > 0)
}

// Guards against a queue that rejects all jobs because a periodic job was accepted long ago.
func TestPeriodicJobDoesNotMakeQueueReject(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	o := sim.takeOver()
	sim.advance(time.Second)
	periodic := singleStep(slowQueue, 1, 100*time.Millisecond)
	periodic.FirstDue, periodic.Period, periodic.Occurrences = sim.now.Add(time.Minute), time.Second, 3
	sim.submit(o, "periodic", periodic)
	sim.advance(57 * time.Second)
	o.late(4*time.Second, 100*time.Millisecond)
	reply := sim.submit(o, "new", singleStep(slowQueue, 1, 10*time.Second))
	o.late(200*time.Millisecond, 100*time.Millisecond)
	assert.Equal(t, reply.Outcome, cell.Accepted)
}
