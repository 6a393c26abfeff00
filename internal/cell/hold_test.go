package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// askForHeldRoom submits a slow job of laterTasks tasks and single long-running tasks to a cell of one executor,
// and returns their calls to the policy service, those of the long-running tasks after they have waited.
func askForHeldRoom(t *testing.T, laterTasks int, names ...string) (sim *simulation, o *owner, later *cell.AdviceRequest, standing []*cell.AdviceRequest) {
	sim = newStandingFleet(t, 1, 1)
	sim.advisers = 0
	o = sim.takeOver()
	sim.advance(time.Second)
	sim.submit(o, "later", singleStep(slowQueue, laterTasks, 5*time.Second))
	sim.advance(100 * time.Millisecond)
	later = o.core.NextAdviceRequest(sim.now, false)
	assert.Assert(t, later != nil)
	for _, name := range names {
		sim.submit(o, name, standingJob(1, place.Resources{CPUMillis: 7600, MemoryMB: 16000}))
	}
	sim.advance(1300 * time.Millisecond)
	for range names {
		req := o.core.NextAdviceRequest(sim.now, false)
		assert.Assert(t, req != nil)
		standing = append(standing, req)
	}
	return sim, o, later, standing
}

// respond applies a response that allows all executors of a call or none.
func (o *owner) respond(req *cell.AdviceRequest, allowed bool) {
	var tickets []fleet.Ticket
	if allowed {
		for _, id := range req.Executors {
			tickets = append(tickets, fleet.Ticket{Executor: id, Value: "t"})
		}
	}
	o.core.ApplyAdvice(o.env.now, req, tickets, 2*time.Second, true)
	o.decide()
}

func (sim *simulation) startedRuns(job string) int {
	n := 0
	for task, spans := range sim.history {
		if task.Job == job {
			n += len(spans)
		}
	}
	return n
}

// Later steps must leave the room of all long-running tasks that are asking.
func TestLaterStepsLeaveHeldRoom(t *testing.T) {
	sim, o, later, standing := askForHeldRoom(t, 1, "a", "b")
	o.respond(later, true)
	sim.advance(150 * time.Millisecond)
	assert.Equal(t, sim.startedRuns("later"), 0)
	for _, req := range standing {
		o.respond(req, true)
		sim.advance(150 * time.Millisecond)
		assert.Equal(t, sim.startedRuns(req.Step.Job), 1)
	}
}

// Steps earlier in the order may use held room.
func TestEarlierStepsUseHeldRoom(t *testing.T) {
	sim, o, _, _ := askForHeldRoom(t, 1, "a", "b")
	sim.submit(o, "urgent", singleStep(testQueue, 8, 5*time.Second))
	sim.advance(100 * time.Millisecond)
	o.respond(o.core.NextAdviceRequest(sim.now, false), true)
	sim.advance(150 * time.Millisecond)
	assert.Equal(t, sim.startedRuns("urgent"), 8)
}

// Room must be held until the executor is stored for the job, without which the task can't start there.
func TestHoldOutlastsSlowStore(t *testing.T) {
	sim, o, later, standing := askForHeldRoom(t, 7, "a")
	o.respond(later, true)
	sim.advance(150 * time.Millisecond)
	sim.storeDown = true
	o.respond(standing[0], true)
	sim.advance(time.Second)
	assert.Equal(t, sim.startedRuns("later"), 4)
	sim.storeDown = false
	sim.advance(300 * time.Millisecond)
	assert.Equal(t, sim.startedRuns("a"), 1)
}

// A hold must end when the executor is denied, when the call fails and when the job ends.
func TestHoldEnds(t *testing.T) {
	for name, end := range map[string]func(*owner, *cell.AdviceRequest){
		"denied": func(o *owner, req *cell.AdviceRequest) { o.respond(req, false) },
		"failed": func(o *owner, req *cell.AdviceRequest) { o.core.ApplyAdvice(o.env.now, req, nil, 0, false) },
		"cancelled": func(o *owner, req *cell.AdviceRequest) {
			o.core.Cancel(o.env.now, req.Step.Job, func(cell.Reply) {})
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim, o, later, standing := askForHeldRoom(t, 7, "a")
			o.respond(later, true)
			sim.advance(150 * time.Millisecond)
			assert.Equal(t, sim.startedRuns("later"), 4)
			end(o, standing[0])
			sim.advance(150 * time.Millisecond)
			assert.Equal(t, sim.startedRuns("later"), 7)
		})
	}
}

// A wide step must not hold room, which would keep other long-running steps waiting.
func TestWideStepHoldsNoRoom(t *testing.T) {
	sim, o, later, _ := askForHeldRoom(t, 7)
	sim.submit(o, "wide", standingJob(10, place.Resources{CPUMillis: 7600, MemoryMB: 16000}))
	sim.advance(1300 * time.Millisecond)
	assert.Assert(t, o.core.NextAdviceRequest(sim.now, false) != nil)
	o.respond(later, true)
	sim.advance(150 * time.Millisecond)
	assert.Equal(t, sim.startedRuns("later"), 7)
}
