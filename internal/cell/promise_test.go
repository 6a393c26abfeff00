package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// standingQueue is the queue of long-running jobs.
const standingQueue = "standing"

// newStandingFleet returns a large fleet with a queue for long-running jobs, whose calls to the policy
// service are slow.
func newStandingFleet(t testing.TB, seed uint64, executors int) *simulation {
	sim := newLargeFleet(t, seed, executors)
	sim.allowedShare = 0.35
	sim.config.Queues = append(sim.config.Queues, fleet.Queue{
		Name: standingQueue, Service: testService, Priority: 1, MaxAttempts: 2, Stretch: 2, Slack: 2500 * time.Millisecond,
		Advice: &fleet.Advice{BaseLatency: 585 * time.Millisecond, LatencyPerExecutor: 8450 * time.Microsecond, TicketTTL: 2 * time.Second},
	})
	return sim
}

func standingJob(count int, need place.Resources) flow.Spec {
	return flow.Spec{Queue: standingQueue, Text: "text", Steps: []flow.StepSpec{{
		Count: count, Need: need, Estimate: 6 * time.Second, LongRunning: true,
	}}}
}

// Calls in flight for steps later in the scheduling order must not keep a step from asking.
func TestCallsOfLaterStepsKeepNoStepFromAsking(t *testing.T) {
	sim := newStandingFleet(t, 1, 20)
	sim.advisers = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	for i := range 30 {
		sim.submit(o, fmt.Sprintf("slow%d", i), singleStep(slowQueue, 40, 5*time.Second))
	}
	sim.advance(100 * time.Millisecond)
	for o.core.NextAdviceRequest(sim.now, false) != nil {
	}
	sim.submit(o, "standing", standingJob(1, place.Resources{CPUMillis: 4500, MemoryMB: 16000}))
	sim.advance(100 * time.Millisecond)
	req := o.core.NextAdviceRequest(sim.now, false)
	assert.Assert(t, req != nil)
	assert.Equal(t, req.Step.Job, "standing")
	assert.Assert(t, len(req.Executors) >= 7, "%d executors are asked for", len(req.Executors))
}

// Calls in flight must not promise more room than their steps have tasks for.
func TestCallsPromiseNoMoreThanTheirStepsNeed(t *testing.T) {
	sim := newStandingFleet(t, 1, 20)
	sim.advisers = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	for i := range 20 {
		sim.submit(o, fmt.Sprintf("narrow%02d", i), singleStep(slowQueue, 1, 5*time.Second))
	}
	sim.advance(100 * time.Millisecond)
	for o.core.NextAdviceRequest(sim.now, false) != nil {
	}
	sim.submit(o, "wide", singleStep(slowQueue, 60, 5*time.Second))
	sim.advance(100 * time.Millisecond)
	req := o.core.NextAdviceRequest(sim.now, false)
	assert.Assert(t, req != nil)
	assert.Assert(t, len(req.Executors) >= 18, "%d of 20 executors are asked for", len(req.Executors))
}

// A long-running task whose run failed must start again while there is room, beside a backlog of long jobs.
func TestLongRunningTasksRestartBesideBacklog(t *testing.T) {
	for _, seed := range []uint64{0, 1, 6} {
		sim := newStandingFleet(t, seed, 150)
		sim.lastingFailureShare = 0.3
		o := sim.takeOver()
		w := &waitingCheck{
			sim: sim, replies: make(map[string]*cell.Reply), since: make(map[string]time.Time),
			reported: make(map[string]bool), calmFrom: sim.now,
		}
		sim.schedule(waitingCheckInterval, w.check)
		sim.advance(time.Second)
		for _, l := range ordinaryLoad(150) {
			sim.submitLoad(o, l, 30*time.Second)
		}
		sim.submitLoad(o, workload{queue: slowQueue, rate: 4, steps: 2, count: 14, estimate: 6 * time.Second, cpuMillis: 4500}, 20*time.Second)
		for i := range 6 {
			id := fmt.Sprintf("standing%d", i)
			w.ids = append(w.ids, id)
			w.replies[id] = sim.submit(o, id, standingJob(1+sim.rng.IntN(12), place.Resources{CPUMillis: 7600, MemoryMB: 16000}))
			sim.advance(3 * time.Second)
		}
		sim.advance(60 * time.Second)
		sim.expectNoViolations()
	}
}
