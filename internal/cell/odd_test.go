package cell_test

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// An executor with an odd capacity, among 60 others, must not keep jobs of the lower queue from starting:
// the sum over the fleet overflowed to a negative number, of which nothing was left for them.
func TestOddCapacityHoldsNoJobBack(t *testing.T) {
	for name, capacity := range map[string]place.Resources{
		"largest integer":  {CPUMillis: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64},
		"smallest integer": {CPUMillis: math.MinInt64, MemoryMB: math.MinInt64, Accelerators: math.MinInt64},
		"9e18":             {CPUMillis: 9e18, MemoryMB: 9e18},
		"negative":         {CPUMillis: -1_000_000, MemoryMB: -1_000_000},
		"at the limit":     {CPUMillis: place.MaxCPUMillis, MemoryMB: place.MaxMemoryMB},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3, 60)
			sim.failureShare = 0
			odd := sim.addExecutor("odd0")
			odd.Capacity = capacity
			odd.partitioned = true
			o := sim.takeOver()
			sim.advance(2 * time.Second)
			n := 0
			for range 23 {
				for _, queue := range []string{testQueue, slowQueue} {
					sim.submit(o, fmt.Sprintf("%s%d", queue, n), singleStep(queue, 4, time.Second))
				}
				n++
				sim.advance(200 * time.Millisecond)
			}
			sim.advance(20 * time.Second)
			completed := map[string]int{}
			for i := range n {
				for _, queue := range []string{testQueue, slowQueue} {
					if o.core.State(fmt.Sprintf("%s%d", queue, i)).State == flow.Completed {
						completed[queue]++
					}
				}
			}
			assert.Check(t, completed[testQueue] == n, "%d of %d urgent jobs completed", completed[testQueue], n)
			assert.Check(t, completed[slowQueue] == n, "%d of %d jobs of the lower queue completed", completed[slowQueue], n)
			sim.expectNoViolations()
		})
	}
}

// A ticket for an executor that nobody asked about must not enter the job's record: the next owner would
// wait for that executor, and the record would grow with each call.
func TestTicketsNotAskedForAreIgnored(t *testing.T) {
	sim := newLargeFleet(t, 1, 6)
	sim.advisers = numAdvisers
	for i := range 50 {
		sim.unaskedTickets = append(sim.unaskedTickets, fleet.Ticket{Executor: fmt.Sprintf("unasked%d", i), Value: "t"})
	}
	o := sim.takeOver()
	sim.advance(2 * time.Second)
	sim.submit(o, "a", singleStep(slowQueue, 4, 10*time.Second))
	sim.advance(5 * time.Second)
	for key, value := range sim.rows {
		assert.Check(t, !bytes.Contains(value, []byte("unasked")), "row %s of %d bytes names executors that nobody asked about", key, len(value))
	}
	sim.advance(20 * time.Second)
	assert.Equal(t, o.core.State("a").State, flow.Completed)
	sim.expectNoViolations()
}

// A malformed job from another instance, which may be of another version, must not end the owner.
func TestMalformedJobIsRejected(t *testing.T) {
	sim, o := newIdleCell(t, 2)
	odd := singleStep(slowQueue, 2, time.Second)
	odd.Steps[0].DependsOn = []int{5}
	negative := singleStep(slowQueue, -1, time.Second)
	for id, spec := range map[string]flow.Spec{"after": odd, "count": negative, "steps": {Queue: slowQueue}} {
		reply := sim.submit(o, id, spec)
		sim.advance(time.Second)
		assert.Equal(t, reply.Outcome, cell.Rejected, id)
		assert.Equal(t, o.core.State(id).Outcome, cell.Absent, id)
	}
}
