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

// A row that a lasting job keeps also holds jobs that ended long ago; a new owner must not take
// them for jobs that have not begun.
func TestEndedJobsDoNotComeBackWithTheirRow(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.failShare = 0
	o := w.takeOver()
	w.run(time.Second)
	lasting := oneStep(testQueue, 1, time.Second)
	lasting.Steps[0].LongRunning = true
	// While the first commit is in progress the others wait for the same one.
	w.submit(o, "first", oneStep(testQueue, 1, time.Second))
	w.submit(o, "lasting", lasting)
	w.submit(o, "short", oneStep(testQueue, 1, time.Second))
	w.run(300 * time.Second)
	assert.Equal(t, o.core.State("short").Outcome, cell.Found)
	w.run(300 * time.Second)
	o = w.takeOver()
	w.run(60 * time.Second)
	w.expectClean()
	assert.Equal(t, o.core.State("lasting").State, flow.Running)
	for task, spans := range w.history {
		if task.Job != "lasting" {
			assert.Equal(t, len(spans), 1, task.Job)
		}
	}
}

// A commit writes few rows however many jobs it accepts, and ended jobs leave few rows behind.
func TestCommitsWriteFewRows(t *testing.T) {
	w := newWorld(t, 2, 20)
	w.failShare = 0
	o := w.takeOver()
	w.run(time.Second)
	const jobs = 200
	for i := range jobs {
		w.submit(o, fmt.Sprintf("j%d", i), oneStep(testQueue, 1, 500*time.Millisecond))
	}
	w.run(60 * time.Second)
	w.expectClean()
	assert.Equal(t, len(w.ended), jobs)
	assert.Equal(t, len(w.scan(ledger.JobPrefix)), 0)
	assert.Equal(t, len(w.scan(ledger.ProgressPrefix)), 0)
	assert.Assert(t, len(w.scan(ledger.EndPrefix)) < jobs)
}

// A row that can not be read must not keep the cell from its other jobs.
func TestFaultyRowDoesNotStopTheCell(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.failShare = 0
	o := w.takeOver()
	w.run(time.Second)
	w.submit(o, "whole", oneStep(testQueue, 1, time.Second))
	w.run(100 * time.Millisecond)
	w.rows[ledger.ProgressPrefix+"0000000009.0000000001"] = []byte("no page")
	w.rows[ledger.JobPrefix+"0000000009.0000000001"] = []byte("no page")
	o = w.takeOver()
	w.run(10 * time.Second)
	assert.Equal(t, o.core.State("whole").State, flow.Completed)
	assert.Assert(t, w.rows[ledger.JobPrefix+"0000000009.0000000001"] != nil)
}
