package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
)

// A row kept for a long-running job also holds entries of jobs that ended long ago. A new owner
// must not restore those as jobs that have not started.
func TestEndedJobsAreNotRestoredAsPending(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.failureShare = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	longRunning := singleStep(testQueue, 1, time.Second)
	longRunning.Steps[0].LongRunning = true
	// While the first commit is in flight, the others wait for the next one and share it.
	sim.submit(o, "first", singleStep(testQueue, 1, time.Second))
	sim.submit(o, "lasting", longRunning)
	sim.submit(o, "short", singleStep(testQueue, 1, time.Second))
	sim.advance(300 * time.Second)
	assert.Equal(t, o.core.State("short").Outcome, cell.Found)
	sim.advance(300 * time.Second)
	o = sim.takeOver()
	sim.advance(60 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, o.core.State("lasting").State, flow.Running)
	for task, spans := range sim.history {
		if task.Job != "lasting" {
			assert.Equal(t, len(spans), 1, task.Job)
		}
	}
}

// A commit writes few rows however many jobs it accepts, and ended jobs leave few rows behind.
func TestCommitsWriteFewRows(t *testing.T) {
	sim := newSimulation(t, 2, 20)
	sim.failureShare = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	const jobs = 200
	for i := range jobs {
		sim.submit(o, fmt.Sprintf("j%d", i), singleStep(testQueue, 1, 500*time.Millisecond))
	}
	sim.advance(60 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, len(sim.endedAt), jobs)
	assert.Equal(t, len(sim.scan(ledger.JobPrefix)), 0)
	assert.Equal(t, len(sim.scan(ledger.ProgressPrefix)), 0)
	assert.Assert(t, len(sim.scan(ledger.EndPrefix)) < jobs)
}

// A row that cannot be decoded must not keep a new owner from restoring the other jobs.
func TestCorruptRowIsSkipped(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.failureShare = 0
	o := sim.takeOver()
	sim.advance(time.Second)
	sim.submit(o, "whole", singleStep(testQueue, 1, time.Second))
	sim.advance(100 * time.Millisecond)
	sim.rows[ledger.ProgressPrefix+"0000000009.0000000001"] = []byte("no page")
	sim.rows[ledger.JobPrefix+"0000000009.0000000001"] = []byte("no page")
	o = sim.takeOver()
	sim.advance(10 * time.Second)
	assert.Equal(t, o.core.State("whole").State, flow.Completed)
	assert.Assert(t, sim.rows[ledger.JobPrefix+"0000000009.0000000001"] != nil)
}
