package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// wideJob returns a job of thousands of small tasks.
func wideJob(steps, count int, estimate time.Duration) flow.Spec {
	spec := flow.Spec{Queue: slowQueue, Text: "text"}
	for range steps {
		spec.Steps = append(spec.Steps, flow.StepSpec{Count: count, Need: place.Resources{CPUMillis: 2}, Estimate: estimate, SavesCheckpoints: true})
	}
	return spec
}

// Guards against one large job whose tasks fail that stops the cell: its progress did not fit into a row, each commit
// with it was refused, and the leases of all executors expired (review/2).
func TestProgressOfLargeJobIsStored(t *testing.T) {
	t.Parallel()
	for _, steps := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d steps", steps), func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.failureShare = 0
			sim.config.Queues[1].MaxAttempts = 3
			o := sim.takeOver()
			sim.advance(time.Second)
			spec := wideJob(steps, 4096, 300*time.Millisecond)
			for step := range steps {
				for i := range 4096 {
					sim.hopeless[fleet.TaskID{Job: "large", Step: step, Index: i}] = i%2 == 0 || steps > 1
				}
			}
			sim.submit(o, "large", spec)
			lasting := singleStep(testQueue, 1, time.Second)
			lasting.Steps[0].LongRunning = true
			sim.submit(o, "lasting", lasting)
			for i := range 20 {
				sim.submit(o, fmt.Sprintf("small%d", i), singleStep(testQueue, 2, 200*time.Millisecond))
				sim.advance(200 * time.Millisecond)
				if i == 5 || i == 11 {
					o.dead = true
					o = sim.takeOver()
				}
			}
			sim.advance(60 * time.Second)
			sim.expectNoViolations()
			for i := range 20 {
				assert.Equal(t, o.core.State(fmt.Sprintf("small%d", i)).State, flow.Completed)
			}
			assert.Equal(t, o.core.State("large").State, flow.Failed)
			spans := sim.history[fleet.TaskID{Job: "lasting"}]
			assert.Equal(t, len(spans), 1, "the lease of its executor expired")
		})
	}
}

// A progress record in several rows must be read as a whole, and only if all of its parts are stored.
func TestPartsOfProgressAreReadAsWhole(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1, 4)
	sim.failureShare = 0
	sim.config.Queues[1].MaxAttempts = 50
	o := sim.takeOver()
	sim.advance(time.Second)
	sim.submit(o, "large", wideJob(3, 4096, 400*time.Millisecond))
	parts := func() int {
		n := 0
		for _, row := range sim.scan(ledger.ProgressPrefix) {
			var r wire.PageRecord
			assert.NilError(t, proto.Unmarshal(row.Value, &r))
			for _, e := range r.GetEntries() {
				if e.GetProgress().GetParts() > 0 {
					n++
				}
			}
		}
		return n
	}
	for _, x := range sim.sortedExecutors() {
		x.failAll = true
	}
	for parts() == 0 {
		sim.advance(20 * time.Millisecond)
	}
	sim.advance(100 * time.Millisecond)
	for _, x := range sim.sortedExecutors() {
		x.failAll = false
	}
	// A takeover for which the last part of newer progress is missing goes on from the former progress, and from the
	// ended runs that were not acknowledged.
	o.dead = true
	rows := sim.scan(ledger.ProgressPrefix)
	assert.Assert(t, len(rows) > 1)
	last := rows[len(rows)-1]
	var r wire.PageRecord
	assert.NilError(t, proto.Unmarshal(last.Value, &r))
	for _, e := range r.GetEntries() {
		e.GetProgress().SplitNumber++
	}
	value, err := proto.Marshal(&r)
	assert.NilError(t, err)
	sim.rows[ledger.ProgressPrefix+"0000000001.9999999999"] = value
	o = sim.takeOver()
	sim.advance(90 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, o.core.State("large").State, flow.Completed)
	for task, spans := range sim.history {
		done := 0
		for _, sp := range spans {
			if sp.kind == fleet.Done && !sp.open {
				done++
			}
		}
		assert.Equal(t, done, 1, "%v", task)
	}
	sim.advance(10 * time.Second)
	assert.Equal(t, len(sim.scan(ledger.ProgressPrefix)), 0)
}

// holdsJob reports whether a row has an entry of a job.
func holdsJob(put table.Put, prefix, id string) bool {
	var r wire.PageRecord
	return len(put.Key) > len(prefix) && put.Key[:len(prefix)] == prefix && proto.Unmarshal(put.Value, &r) == nil &&
		slices.ContainsFunc(r.GetEntries(), func(e *wire.PageEntry) bool { return e.GetJob() == id })
}

// Whatever one job contains, the changes of all others are stored: a job that the store refuses is rejected if it is
// new; otherwise its ended runs are kept by the executors until its changes are stored, also for the next owner.
func TestRefusedContentOfOneJobStopsNoOther(t *testing.T) {
	for _, prefix := range []string{ledger.JobPrefix, ledger.ProgressPrefix, ledger.PlacesPrefix, ledger.EndPrefix} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s takeover %t", prefix, takeover), func(t *testing.T) {
				sim := newSimulation(t, 1, 6)
				sim.failureShare = 0
				sim.refusesRow = func(put table.Put) bool { return holdsJob(put, prefix, "bad") }
				o := sim.takeOver()
				sim.advance(time.Second)
				spec := singleStep(testQueue, 4, 300*time.Millisecond)
				spec.Steps = append(spec.Steps, spec.Steps[0])
				spec.Steps[1].DependsOn = []int{0}
				if prefix == ledger.ProgressPrefix {
					spec.Steps[1].Estimate = 8 * time.Second
				}
				lasting := singleStep(testQueue, 1, time.Second)
				lasting.Steps[0].LongRunning = true
				sim.submit(o, "lasting", lasting)
				good := 0
				submit := func() {
					sim.submit(o, fmt.Sprintf("good%02d", good), singleStep(testQueue, 2, 200*time.Millisecond))
					good++
				}
				for range 5 {
					submit()
				}
				bad := sim.submit(o, "bad", spec)
				for range 20 {
					submit()
					sim.advance(100 * time.Millisecond)
				}
				if takeover {
					o.dead = true
					o = sim.takeOver()
				}
				sim.advance(4 * time.Second)
				for i := range good {
					assert.Equal(t, o.core.State(fmt.Sprintf("good%02d", i)).State, flow.Completed, "good%02d", i)
				}
				assert.Assert(t, sim.refusedRows > 0)
				assert.Assert(t, sim.refusedRows < 60, "%d commits refused", sim.refusedRows)
				sim.refusesRow = nil
				sim.advance(60 * time.Second)
				sim.expectNoViolations()
				assert.Equal(t, len(sim.history[fleet.TaskID{Job: "lasting"}]), 1)
				if prefix == ledger.JobPrefix || prefix == ledger.PlacesPrefix { // stored with the acceptance
					assert.Equal(t, bad.Outcome, cell.Rejected)
					assert.Equal(t, o.core.State("bad").Outcome, cell.Absent)
					return
				}
				assert.Equal(t, o.core.State("bad").State, flow.Completed)
				for task, spans := range sim.history {
					assert.Equal(t, len(spans), 1, "%v", task)
				}
			})
		}
	}
}
