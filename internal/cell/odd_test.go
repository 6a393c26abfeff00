package cell_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
