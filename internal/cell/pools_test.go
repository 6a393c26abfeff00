package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	smallService = "reports"
	smallQueue   = "reports"
)

// addSmallPool adds a service with its own executors, and a queue of it that comes last in scheduling order.
func (sim *simulation) addSmallPool(executors int) {
	sim.config.Queues = append(sim.config.Queues, fleet.Queue{Name: smallQueue, Service: smallService, Priority: 3, MaxAttempts: 3, Stretch: 2, Slack: time.Second})
	for i := range executors {
		sim.addExecutor(fmt.Sprintf("r%d", i)).Service = smallService
	}
}

// Guards against accepted jobs that have nothing running beside an idle pool of executors: the reserve for urgent work
// and the backlog of one service kept back the jobs of another (review/10).
func TestBacklogOfOnePoolDoesNotKeepAnotherWaiting(t *testing.T) {
	sim := newSimulation(t, 1, 12)
	sim.addSmallPool(2)
	o := sim.takeOver()
	sim.advance(time.Second)
	for i := range 60 {
		sim.submit(o, fmt.Sprintf("batch%d", i), singleStep(slowQueue, 16, 6*time.Second))
	}
	sim.advance(3 * time.Second)
	for i := range 10 {
		id := fmt.Sprintf("report%d", i)
		spec := singleStep(smallQueue, 2, time.Second)
		spec.Steps[0].Need.CPUMillis = 4000
		sim.submit(o, id, spec)
		sim.advance(3 * time.Second)
		sp := sim.history[fleet.TaskID{Job: id}]
		assert.Assert(t, len(sp) > 0, "job %s has nothing running 3 s after it was accepted", id)
	}
	sim.expectNoViolations()
}

// Long tasks leave the reserve for urgent work free in the pool that urgent jobs use, and use all of another one.
func TestUrgentReserveIsThatOfThePool(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.addSmallPool(8)
	o := sim.takeOver()
	sim.advance(time.Second)
	const cores, perExecutor = 64, 8
	for i := range 2 * cores / perExecutor {
		for _, queue := range []string{slowQueue, smallQueue} {
			spec := singleStep(queue, perExecutor, 10*time.Second)
			spec.Steps[0].Need.CPUMillis = 1000
			sim.submit(o, fmt.Sprintf("%s%d", queue, i), spec)
		}
	}
	sim.advance(4 * time.Second)
	running := make(map[string]int)
	for _, x := range sim.sortedExecutors() {
		running[x.Service] += len(x.runs)
	}
	assert.Equal(t, running[smallService], cores)
	assert.Assert(t, running[testService] > cores/2 && running[testService] <= cores*88/100, "%d tasks", running[testService])
	reply := sim.submit(o, "urgent", singleStep(testQueue, 2, time.Second))
	sim.advance(200 * time.Millisecond)
	assert.Equal(t, reply.Outcome, cell.Accepted)
	assert.Equal(t, len(sim.history[fleet.TaskID{Job: "urgent"}]), 1)
}

// An executor that changes its service, or leaves, takes its capacity along: work of neither pool may wait for it.
func TestExecutorsThatChangeTheirServiceAreCountedOnce(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.addSmallPool(4)
	o := sim.takeOver()
	sim.advance(time.Second)
	for i := range 12 {
		spec := singleStep(smallQueue, 8, 2*time.Second)
		spec.Steps[0].Need.CPUMillis = 1000
		sim.submit(o, fmt.Sprintf("a%d", i), spec)
		x := sim.execs[fmt.Sprintf("r%d", i%3)]
		x.Service = map[string]string{smallService: testService, testService: smallService}[x.Service]
		o.addExecutor(x)
		sim.advance(700 * time.Millisecond)
	}
	for i := range 3 {
		sim.execs[fmt.Sprintf("r%d", i)].Service = smallService
		o.addExecutor(sim.execs[fmt.Sprintf("r%d", i)])
	}
	sim.advance(20 * time.Second)
	for i := range 4 {
		spec := singleStep(smallQueue, 8, 10*time.Second)
		spec.Steps[0].Need.CPUMillis = 1000
		sim.submit(o, fmt.Sprintf("b%d", i), spec)
	}
	sim.advance(2 * time.Second)
	running := 0
	for i := range 4 {
		running += len(sim.execs[fmt.Sprintf("r%d", i)].runs)
	}
	assert.Equal(t, running, 32, "tasks on the 32 cores of the pool")
}
