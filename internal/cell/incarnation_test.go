package cell_test

import (
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

// Guards against a task that runs twice: a new owner gives a draining executor a shorter lease than the former owner,
// which stays in force.
func TestNewOwnerAwaitsLeaseOfFormerOwnerOnDrainingExecutor(t *testing.T) {
	sim, o := newIdleCell(t, 4)
	sim.failureShare = 0
	sim.submit(o, "a", singleStep(testQueue, 1, 30*time.Second))
	sim.advance(2 * time.Second)
	var x *fakeExecutor
	for _, other := range sim.sortedExecutors() {
		if len(other.runs) > 0 {
			x = other
		}
	}
	x.Draining, x.MinRemaining = true, 20*time.Second
	o.dead = true
	next := sim.takeOver()
	sim.advance(300 * time.Millisecond)
	x.partitioned = true
	sim.advance(12 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, next.core.Stats.Starts, int64(1), "the task was not started again")
}
