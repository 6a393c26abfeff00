package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
)

// startUnanswered submits a job of one long task to an owner of one executor and returns the start and its executor.
// From then on the test responds instead of the simulation.
func startUnanswered(t *testing.T) (*simulation, *owner, *fakeExecutor, cell.Command) {
	t.Helper()
	sim, o := newIdleCell(t, 1)
	sim.submit(o, "a", singleStep(testQueue, 1, 10*time.Second))
	for range 100 {
		if len(sim.sentCommands) > 0 {
			break
		}
		sim.advance(time.Millisecond)
	}
	o.dead = true
	o.core.TakeCommands()
	return sim, o, sim.execs["x0"], sim.sentCommands[0]
}

// restartSeen restarts the executor and gives the owner the list of its new incarnation.
func (sim *simulation) restartSeen(o *owner, x *fakeExecutor) {
	sim.advance(50 * time.Millisecond)
	x.restart(sim)
	resp := x.listRuns(sim)
	resp.Status = fleet.Executed
	o.core.ApplyPollResponse(sim.now, sim.now, x.ID, resp)
}

// Guards against a task that runs twice: the lease end of a start is a time on the clock of one incarnation.
func TestStartOfFormerIncarnationIsNotRepeated(t *testing.T) {
	for _, status := range []fleet.Status{fleet.NoResponse, fleet.Restarted, fleet.NotSent} {
		sim, o, x, start := startUnanswered(t)
		sim.restartSeen(o, x)
		o.core.ApplyCommandResponse(sim.now, start, fleet.Response{Status: status})
		for _, cmd := range o.core.TakeCommands() {
			assert.Assert(t, cmd.Start == nil || cmd.Start.Number != start.Start.Number, "%s", status)
		}
	}
}

// A start that waits in the queue of its executor belongs to the incarnation for which it was decided.
func TestQueuedStartOfFormerIncarnationIsDiscarded(t *testing.T) {
	sim, o, x, start := startUnanswered(t)
	assert.Assert(t, !o.core.DiscardUnwanted(sim.now, start))
	sim.restartSeen(o, x)
	assert.Assert(t, o.core.DiscardUnwanted(sim.now, start))
}

// Lease ends and acknowledgments name the incarnation that they are meant for, also while responses do not arrive.
func TestPollsWithLeaseNameTheIncarnation(t *testing.T) {
	sim, o, x, _ := startUnanswered(t)
	for _, status := range []fleet.Status{fleet.Executed, fleet.Undelivered} {
		resp := x.listRuns(sim)
		resp.Status = status
		o.core.ApplyPollResponse(sim.now, sim.now, x.ID, resp)
		_, poll, _ := o.core.NextPoll(sim.now, x.ID)
		assert.Assert(t, poll.LeaseEnd > 0, "%s", status)
		assert.Equal(t, poll.Incarnation, x.incarnation, "%s", status)
	}
}

// executorWithRuns returns the executor that runs tasks, of which there is one.
func (sim *simulation) executorWithRuns() *fakeExecutor {
	all := sim.sortedExecutors()
	return all[slices.IndexFunc(all, func(x *fakeExecutor) bool { return len(x.runs) > 0 })]
}

// Guards against a task that runs twice: a new owner gives a draining executor a shorter lease than the former owner,
// which stays in force.
func TestNewOwnerAwaitsLeaseOfFormerOwnerOnDrainingExecutor(t *testing.T) {
	sim, o := newIdleCell(t, 4)
	sim.failureShare = 0
	sim.submit(o, "a", singleStep(testQueue, 1, 30*time.Second))
	sim.advance(2 * time.Second)
	x := sim.executorWithRuns()
	x.Draining, x.MinRemaining = true, 20*time.Second
	o.dead = true
	next := sim.takeOver()
	sim.advance(300 * time.Millisecond)
	x.partitioned = true
	sim.advance(12 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, next.core.Stats.Starts, int64(1), "the task was not started again")
}

// soleOwner is an owner of the executor x0, whose calls the test answers.
type soleOwner struct {
	t    *testing.T
	core *cell.Core
	now  time.Time
}

// newSoleOwner returns the owner after incarnation 7 has responded.
func newSoleOwner(t *testing.T, advice *fleet.Advice) *soleOwner {
	t.Helper()
	o := &soleOwner{t: t, now: time.Unix(1_700_000_000, 0)}
	queues := slices.Clone(coreQueues)
	queues[0].Advice = advice
	o.core = newCore(o.now, queues)
	o.core.SetExecutor(o.now, o.now, coreExecutor("x0"))
	o.respond(7, time.Hour)
	o.commit()
	return o
}

// respond applies the response of an incarnation to a poll that was sent a millisecond before.
func (o *soleOwner) respond(incarnation int64, clock time.Duration, runs ...fleet.Run) {
	o.now = o.now.Add(2 * time.Millisecond)
	claim(o.core, o.now, "x0", incarnation, clock, fleet.Response{Runs: runs})
}

func (o *soleOwner) commit() {
	o.t.Helper()
	b, err := o.core.NextBatch()
	assert.NilError(o.t, err)
	o.core.ConfirmOwnership(o.now)
	o.core.BatchCommitted(o.now, b)
}

// decide stores what is due, lets the owner schedule and returns its commands.
func (o *soleOwner) decide() []cell.Command {
	o.t.Helper()
	o.now = o.now.Add(time.Millisecond)
	o.core.Schedule(o.now)
	o.commit()
	o.core.Schedule(o.now)
	return o.core.TakeCommands()
}

func (o *soleOwner) submit(id string, tasks int, cpuMillis int64) {
	spec := singleStep(testQueue, tasks, 10*time.Second)
	spec.Steps[0].Need.CPUMillis, spec.Accepted = cpuMillis, o.now
	o.core.Submit(o.now, id, spec, func(cell.Reply) {})
}

// allow answers the next call to the policy service with a ticket for x0.
func (o *soleOwner) allow(ticket string) {
	o.t.Helper()
	req := o.ask()
	o.core.ApplyAdvice(o.now, req, []fleet.Ticket{{Executor: "x0", Value: ticket}}, testAdvice.TicketTTL, true)
}

func (o *soleOwner) ask() *cell.AdviceRequest {
	o.t.Helper()
	o.now = o.now.Add(100 * time.Millisecond) // the owner looks for executors to ask for at intervals
	o.core.Schedule(o.now)
	req := o.core.NextAdviceRequest(o.now, false)
	assert.Assert(o.t, req != nil, "the policy service is not asked for x0")
	return req
}

var testAdvice = &fleet.Advice{BaseLatency: 5 * time.Millisecond, LatencyPerExecutor: time.Millisecond, TicketTTL: 2 * time.Second}

// onlyStart returns the start among commands, and fails if there are several or none.
func onlyStart(t *testing.T, cmds []cell.Command) cell.Command {
	t.Helper()
	cmds = slices.DeleteFunc(cmds, func(cmd cell.Command) bool { return cmd.Start == nil })
	assert.Equal(t, len(cmds), 1)
	return cmds[0]
}

// Guards against starts that are rejected for want of a ticket, and priced: a ticket holds for one incarnation.
func TestTicketOfFormerIncarnationIsNotUsed(t *testing.T) {
	for _, restartsBeforeAnswer := range []bool{false, true} {
		o := newSoleOwner(t, testAdvice)
		o.submit("a", 1, 2000)
		o.commit()
		req := o.ask()
		if restartsBeforeAnswer {
			o.respond(8, time.Second)
		}
		o.core.ApplyAdvice(o.now, req, []fleet.Ticket{{Executor: "x0", Value: "t7"}}, testAdvice.TicketTTL, true)
		if !restartsBeforeAnswer {
			o.respond(8, time.Second)
		}
		for _, cmd := range o.decide() {
			assert.Assert(t, cmd.Start == nil, "start with ticket %s", cmd.Start.Ticket)
		}
		o.allow("t8")
		start := onlyStart(t, o.decide()).Start
		assert.Equal(t, start.Ticket, "t8")
		assert.Equal(t, start.Incarnation, int64(8))
	}
}

// Guards against starts that are rejected again and again, each of which has its price: an executor that rejects a ticket
// that should be valid is left alone for a while.
func TestExecutorThatRejectsValidTicketsIsLeftAlone(t *testing.T) {
	o := newSoleOwner(t, testAdvice)
	o.submit("a", 1, 2000)
	o.commit()
	o.allow("t1")
	o.core.ApplyCommandResponse(o.now, onlyStart(t, o.decide()), fleet.Response{Status: fleet.InvalidTicket})
	o.now = o.now.Add(300 * time.Millisecond)
	o.core.Schedule(o.now)
	assert.Assert(t, o.core.NextAdviceRequest(o.now, false) == nil)
	o.now = o.now.Add(200 * time.Millisecond)
	o.allow("t2")
	assert.Equal(t, onlyStart(t, o.decide()).Start.Ticket, "t2")
}

// Guards against a step that counts as denied on an executor that started again: the ticket that its former
// incarnation rejected is not the one for the present incarnation.
func TestTicketRejectedByFormerIncarnationKeepsNewOne(t *testing.T) {
	o := newSoleOwner(t, testAdvice)
	o.submit("a", 2, 6000)
	o.commit()
	o.allow("t7")
	start := onlyStart(t, o.decide())
	o.respond(8, time.Second)
	larger := coreExecutor("x0") // the next incarnation is of another kind
	larger.Capacity.CPUMillis, larger.EntryVersion = 16000, 2
	o.core.SetExecutor(o.now, o.now, larger)
	o.allow("t8")
	o.core.ApplyCommandResponse(o.now, start, fleet.Response{Status: fleet.InvalidTicket})
	next := slices.DeleteFunc(o.decide(), func(cmd cell.Command) bool { return cmd.Start == nil })
	assert.Equal(t, len(next), 2)
	for _, cmd := range next {
		assert.Equal(t, cmd.Start.Ticket, "t8")
	}
}

// Guards against a task that waits for a list of runs: the start of the former incarnation was executed, and the
// response arrives after the restart was noticed.
func TestRunOfFormerIncarnationIsGivenUpAtOnce(t *testing.T) {
	o := newSoleOwner(t, nil)
	o.submit("a", 1, 2000)
	start := onlyStart(t, o.decide())
	o.respond(8, time.Second)
	o.core.ApplyCommandResponse(o.now, start, fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Hour})
	next := onlyStart(t, o.decide()).Start
	assert.Equal(t, next.Incarnation, int64(8))
	assert.Assert(t, next.Number > start.Start.Number, "the next incarnation rejects numbers up to that of a run stopped there")
	assert.Assert(t, next.LeaseEnd < time.Minute, "the lease end is on the clock of the former incarnation")
}

// Guards against a run that is lost and waits until the store is back: its start has no response, is held back until
// ownership is confirmed, and the executor restarts meanwhile.
func TestHeldStartOfFormerIncarnationIsNotKept(t *testing.T) {
	o := newSoleOwner(t, nil)
	o.submit("a", 1, 2000)
	start := onlyStart(t, o.decide())
	o.now = o.now.Add(time.Second) // the store does not respond
	o.core.ApplyCommandResponse(o.now, start, fleet.Response{Status: fleet.NoResponse})
	assert.Equal(t, len(o.core.TakeCommands()), 0, "the start is held back")
	o.respond(8, time.Second)
	stopped := false
	for _, cmd := range o.core.TakeCommands() {
		stopped = stopped || cmd.Stop != nil
		if cmd.Start != nil {
			assert.Assert(t, o.core.DiscardUnwanted(o.now, cmd))
			for _, cmd := range o.core.TakeCommands() {
				stopped = stopped || cmd.Stop != nil
			}
		}
	}
	assert.Assert(t, stopped, "nothing is done about the run")
	o.core.ConfirmOwnership(o.now)
	for _, cmd := range o.core.TakeCommands() {
		assert.Assert(t, cmd.Start == nil || o.core.DiscardUnwanted(o.now, cmd), "the start of the former incarnation is sent")
	}
}

// Guards against ends that the owner never reads: what it has read of the former incarnation is stored after the
// restart, and the next one counts its ends anew.
func TestAcknowledgmentStoredAfterRestartIsDropped(t *testing.T) {
	o := newSoleOwner(t, nil)
	claim(o.core, o.now, "x0", 7, time.Hour, fleet.Response{Ends: []fleet.End{{Sequence: 57, Task: fleet.TaskID{Job: "z"}, Number: 1}}})
	b, err := o.core.NextBatch()
	assert.NilError(t, err)
	o.respond(8, time.Second)
	o.core.BatchCommitted(o.now, b)
	_, poll, _ := o.core.NextPoll(o.now, "x0")
	assert.Equal(t, poll.AckedSequence, int64(0))
	assert.Equal(t, poll.KnownSequence, int64(0))
}

// Guards against tasks that wait for hours: a lease end that the former incarnation was sent says nothing about when
// the runs of the next one have ended.
func TestLeaseOfFormerIncarnationIsNotAwaited(t *testing.T) {
	o := newSoleOwner(t, nil)
	o.submit("a", 1, 2000)
	o.core.ApplyCommandResponse(o.now, onlyStart(t, o.decide()), fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Hour})
	o.respond(8, time.Second)
	start := onlyStart(t, o.decide())
	o.core.ApplyCommandResponse(o.now, start, fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Second})
	lost := o.core.Stats.Lost
	for range 2 {
		o.core.ApplyPollResponse(o.now, o.now, "x0", fleet.Response{Status: fleet.NoResponse})
	}
	o.now = o.now.Add(6 * time.Second)
	o.commit()
	o.core.Tick(o.now)
	assert.Equal(t, o.core.Stats.Lost, lost, "the lease is in force")
	o.now = o.now.Add(2 * time.Second)
	o.commit()
	o.core.Tick(o.now)
	assert.Equal(t, o.core.Stats.Lost, lost+1)
}

// Guards against a task that runs twice: a start without a response may be carried out after its executor restarted and
// the run was given up. The stop makes the next incarnation reject it.
func TestStopFollowsUnansweredStartToNextIncarnation(t *testing.T) {
	o := newSoleOwner(t, nil)
	o.submit("a", 1, 2000)
	start := onlyStart(t, o.decide())
	o.core.ApplyCommandResponse(o.now, start, fleet.Response{Status: fleet.NoResponse})
	for range 2 {
		o.core.ApplyPollResponse(o.now, o.now, "x0", fleet.Response{Status: fleet.NoResponse})
	}
	o.now = o.now.Add(8 * time.Second)
	o.commit()
	o.core.Tick(o.now)
	assert.Equal(t, o.core.Stats.Lost, int64(1))
	o.core.TakeCommands()
	o.respond(8, time.Second)
	cmds := o.core.TakeCommands()
	assert.Equal(t, len(cmds), 1)
	assert.Equal(t, cmds[0].Stop.Number, start.Start.Number)
}

// Guards against a task that runs twice: an incarnation that began after the owner was confirmed last knows no epoch,
// and would carry out the starts of an owner that has a successor.
func TestFormerOwnerStartsNothingOnNewIncarnation(t *testing.T) {
	o := newSoleOwner(t, nil)
	o.submit("a", 1, 2000)
	start := onlyStart(t, o.decide())
	o.core.ApplyCommandResponse(o.now, start, fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Hour})
	o.now = o.now.Add(time.Second) // the store does not respond
	o.respond(8, time.Second)
	assert.Equal(t, o.core.Stats.Lost, int64(1))
	o.core.Schedule(o.now)
	assert.Equal(t, len(o.core.TakeCommands()), 0)
	onlyStart(t, o.decide()) // ownership is confirmed
}

// Guards against a task that runs twice: a successor counts the leases of this owner from its last confirmation, also
// those that a new incarnation gets from it later.
func TestFormerOwnerGivesNewIncarnationShortLease(t *testing.T) {
	o := newSoleOwner(t, nil)
	o.submit("a", 1, 2000)
	start := onlyStart(t, o.decide()).Start
	o.now = o.now.Add(3 * time.Second) // the store does not respond
	clock := time.Second
	o.respond(8, clock, fleet.Run{Task: start.Task, Number: start.Number + 1000}) // by a successor
	_, poll, _ := o.core.NextPoll(o.now, "x0")
	assert.Assert(t, poll.LeaseEnd > 0)
	assert.Assert(t, poll.LeaseEnd <= clock+lease-3*time.Second, "%s", poll.LeaseEnd-clock)
}

// Guards against tasks that wait for a further list after a restart: a run whose start was confirmed while the poll was
// in flight that shows the restart, and one whose start has no response by then, or later.
func TestRunsOfFormerIncarnationAreLostWithIt(t *testing.T) {
	noResponse := fleet.Response{Status: fleet.NoResponse}
	for name, c := range map[string]struct{ before, after *fleet.Response }{
		"confirmed":                 {before: &fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Hour}},
		"no response":               {before: &noResponse},
		"no response after restart": {after: &noResponse},
	} {
		o := newSoleOwner(t, nil)
		sent := o.now
		o.submit("a", 1, 2000)
		start := onlyStart(t, o.decide())
		if c.before != nil {
			o.core.ApplyCommandResponse(o.now, start, *c.before)
		}
		o.core.ApplyPollResponse(o.now, sent, "x0", fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Second, Incarnation: 8})
		if c.after != nil {
			assert.Equal(t, o.core.Stats.Lost, int64(0), "the response to the first attempt decides")
			o.core.ApplyCommandResponse(o.now, start, *c.after)
		}
		assert.Equal(t, o.core.Stats.Lost, int64(1), name)
	}
}

// Guards against blame for a crash: a start reached nobody, and the next incarnation confirms a stop of its run.
func TestRunThatReachedNobodyIsNotBlamedForCrash(t *testing.T) {
	o := newSoleOwner(t, nil)
	o.submit("a", 1, 2000)
	start := onlyStart(t, o.decide())
	o.core.ApplyCommandResponse(o.now, start, fleet.Response{Status: fleet.NoResponse})
	retry := onlyStart(t, o.core.TakeCommands())
	o.core.ApplyCommandResponse(o.now, retry, fleet.Response{Status: fleet.Restarted})
	assert.Equal(t, len(o.core.TakeCommands()), 0, "a stop that the next incarnation confirms says nothing about the run")
	o.respond(8, time.Second)
	assert.Equal(t, o.core.Stats.Lost, int64(1))
}

// Guards against a task that runs twice: an owner that is cut off from the store, and from an executor, gives up the runs
// there while a successor has claimed the executor and extends its lease.
func TestCutOffOwnerDoesNotRestartRunsOfExecutorOfSuccessor(t *testing.T) {
	for name, draining := range map[string]bool{"draining": true, "silent before": false} {
		t.Run(name, func(t *testing.T) {
			sim, o := newIdleCell(t, 4)
			sim.failureShare = 0
			sim.submit(o, "a", singleStep(testQueue, 1, 30*time.Second))
			sim.advance(2 * time.Second)
			x := sim.executorWithRuns()
			o.unreachable[x.ID] = !draining
			if draining {
				x.Draining, x.MinRemaining = true, 20*time.Second
				sim.relist(x)
			}
			sim.advance(4 * time.Second)
			o.storeUnreachable = true
			next := sim.takeOver()
			for _, other := range sim.sortedExecutors() {
				o.unreachable[other.ID], next.unreachable[other.ID] = other == x, other != x
			}
			sim.advance(6 * time.Second)
			sim.expectNoViolations()
			assert.Assert(t, len(x.runs) > 0)
		})
	}
}

// Guards against a task that waits for the entry of its executor, which has started again meanwhile: nothing was sent.
func TestHeldStartThatWasNotSentIsGivenBack(t *testing.T) {
	o := newSoleOwner(t, nil)
	o.submit("a", 1, 2000)
	start := onlyStart(t, o.decide())
	o.core.EntryValidity = time.Second
	o.now = o.now.Add(2 * time.Second)
	assert.Assert(t, o.core.DiscardUnwanted(o.now, start))
	o.respond(8, time.Second)
	assert.Assert(t, o.core.DiscardUnwanted(o.now, onlyStart(t, o.core.TakeCommands())))
	assert.Equal(t, len(o.core.TakeCommands()), 0, "a run that never was is stopped")
	o.core.EntryValidity = 0
	assert.Equal(t, onlyStart(t, o.decide()).Start.Incarnation, int64(8))
}

// Guards against a task that crashes one executor after another: the crash counts also if the start was confirmed while
// the poll was in flight that shows the restart. A start reaches one incarnation only, so that the run was on the former.
func TestCrashCountsForRunConfirmedDuringThePoll(t *testing.T) {
	o := newSoleOwner(t, nil)
	sent := o.now
	o.submit("a", 1, 2000)
	start := onlyStart(t, o.decide())
	o.core.ApplyCommandResponse(o.now, start, fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Hour})
	o.now = o.now.Add(100 * time.Millisecond)
	o.core.ApplyPollResponse(o.now, sent, "x0", fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Second, Incarnation: 8})
	o.now = o.now.Add(5 * time.Millisecond)
	o.respond(8, time.Second+5*time.Millisecond)
	onlyStart(t, o.decide())
	assert.Equal(t, o.core.Stats.Crashes, int64(1))
	assert.Equal(t, o.core.Stats.Trials, int64(1), "the task is no suspect")
}

// Guards against an executor that seems to go back to its former incarnation: responses on different connections may
// overtake each other.
func TestLateListOfFormerIncarnationIsIgnored(t *testing.T) {
	o := newSoleOwner(t, nil)
	sent := o.now
	o.respond(8, time.Second)
	o.now = o.now.Add(100 * time.Millisecond)
	o.core.ApplyPollResponse(o.now, sent, "x0", fleet.Response{
		Status: fleet.Executed, HasClock: true, Clock: time.Hour, Incarnation: 7, Runs: []fleet.Run{{Task: fleet.TaskID{Job: "z"}, Number: 1}},
	})
	_, poll, _ := o.core.NextPoll(o.now, "x0")
	assert.Equal(t, poll.Incarnation, int64(8))
	assert.Equal(t, len(o.core.TakeCommands()), 0)
}
