package place_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// oddCapacities are capacities that a faulty or foreign writer may report.
var oddCapacities = []place.Resources{
	{CPUMillis: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64},
	{CPUMillis: math.MinInt64, MemoryMB: math.MinInt64, Accelerators: math.MinInt64},
	{CPUMillis: 9e18, MemoryMB: 16_000},
	{CPUMillis: 8000, MemoryMB: 9e18},
	{CPUMillis: -8000, MemoryMB: 16_000},
}

// Sums over the workers must not overflow, since callers compare them with what they start.
func TestSumsHoldWithOddCapacities(t *testing.T) {
	ordinary := place.Resources{CPUMillis: 8000, MemoryMB: 16_000, Accelerators: 1}
	for i, odd := range oddCapacities {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			var c place.Cell
			for k := range 60 {
				c.SetWorker(place.Worker{Name: "w" + strconv.Itoa(k), Rack: "r", Capacity: ordinary})
			}
			former, _ := c.Totals()
			for _, name := range []string{"odd1", "odd2", "odd3"} {
				c.SetWorker(place.Worker{Name: name, Rack: "r", Capacity: odd})
				c.Cordon(name, true)
			}
			total, _ := c.Totals()
			assert.Assert(t, former.Fits(total), "%+v after %+v", total, former)
			sum := c.Capacity().Sum
			assert.Equal(t, sum.Total, total)
			assert.Assert(t, former.Fits(sum.Idle), "%+v", sum.Idle)
			for k := range 60 {
				d := c.Place(testTime, place.Task{ID: "t" + strconv.Itoa(k), Need: ordinary})
				assert.Equal(t, d.Reason.Code, place.Placed, "%s", d.Reason)
			}
			c.SetWorker(place.Worker{Name: "odd1", Rack: "r", Capacity: ordinary})
			for _, name := range []string{"odd1", "odd2", "odd3"} {
				c.RemoveWorker(name)
			}
			total, granted := c.Totals()
			assert.Equal(t, total, former)
			assert.Equal(t, granted, former)
		})
	}
}

// A need above the limits must not overflow what is granted or free.
func TestSumsHoldWithOddNeeds(t *testing.T) {
	var c place.Cell
	capacity := place.Resources{CPUMillis: 8000, MemoryMB: 16_000}
	for k := range 3 {
		c.SetWorker(place.Worker{Name: "w" + strconv.Itoa(k), Rack: "r", Capacity: capacity})
	}
	small := place.Resources{CPUMillis: 1000, MemoryMB: 1000}
	assert.NilError(t, c.Adopt(place.Task{ID: "small", Need: small}, "w0"))
	for k, need := range []place.Resources{{CPUMillis: math.MaxInt64}, {MemoryMB: 9e18}, {Accelerators: math.MaxInt64}} {
		id := "t" + strconv.Itoa(k)
		for range 3 {
			assert.Assert(t, errors.Is(c.Adopt(place.Task{ID: id, Need: need}, "w0"), place.ErrInvalid))
		}
		assert.Equal(t, c.Place(testTime, place.Task{ID: id, Need: need}).Reason.Code, place.TooLarge)
		assert.Assert(t, !c.Resize("small", need))
		ok, _ := c.Feasible(need, 1)
		assert.Assert(t, !ok)
	}
	ok, reason := c.Feasible(place.Resources{}, math.MaxInt)
	assert.Assert(t, ok, reason)
	_, granted := c.Totals()
	assert.Equal(t, granted, small)
}

// mixedFleet returns a cell with workers of mixed sizes, and the odd ones, which take no tasks.
func mixedFleet(odd []place.Resources, oddFirst bool) *place.Cell {
	rng := rand.New(rand.NewPCG(5, 0))
	c := &place.Cell{}
	addOdd := func() {
		for i, capacity := range odd {
			name := "odd" + strconv.Itoa(i)
			c.SetWorker(place.Worker{Name: name, Rack: "r0", Capacity: capacity})
			c.Cordon(name, true)
		}
	}
	if oddFirst {
		addOdd()
	}
	for i := range 1000 {
		size := int64(1 + rng.IntN(4))
		c.SetWorker(place.Worker{
			Name: "w" + strconv.Itoa(i), Rack: "r" + strconv.Itoa(i/8),
			Capacity: place.Resources{CPUMillis: 8000 * size, MemoryMB: 32_000 * size},
		})
	}
	if !oddFirst {
		addOdd()
	}
	return c
}

// differingPlacements returns how many of n placements differ between two cells that hold the same tasks.
func differingPlacements(t *testing.T, a, b *place.Cell, n int) int {
	rng := rand.New(rand.NewPCG(7, 0))
	differ := 0
	for i := range n {
		task := place.Task{
			ID: strconv.Itoa(i), Kind: place.Batch,
			Need: place.Resources{CPUMillis: int64(100 + rng.IntN(6000)), MemoryMB: int64(100 + rng.IntN(16_000))},
		}
		want, got := a.Place(testTime, task).Worker, b.Place(testTime, task).Worker
		if got != want {
			differ++
			b.Release(task.ID)
			if want != "" {
				task.Started = testTime
				assert.NilError(t, b.Adopt(task, want))
			}
		}
		if i > n/2 {
			id := strconv.Itoa(rng.IntN(i))
			assert.Equal(t, a.Release(id), b.Release(id))
		}
	}
	return differ
}

// A huge worker must not coarsen the grid or the scores for the others: placements would search many more
// workers and find worse ones.
func TestHugeWorkerLeavesPlacementsAlone(t *testing.T) {
	for i, odd := range append(oddCapacities, place.Resources{CPUMillis: place.MaxCPUMillis, MemoryMB: place.MaxMemoryMB}) {
		for _, first := range []bool{false, true} {
			plain, withOdd := mixedFleet(nil, first), mixedFleet([]place.Resources{odd}, first)
			const n = 6000
			differ := differingPlacements(t, plain, withOdd, n)
			t.Logf("capacity %d, added first %v: %d of %d placements differ", i, first, differ, n)
			assert.Check(t, differ < n/50)
			assert.NilError(t, withOdd.Check())
		}
	}
}

// BenchmarkPlaceBesideHugeWorker measures BenchmarkPlace/workers=4000 with one more worker, of the largest
// capacity, that takes no tasks.
func BenchmarkPlaceBesideHugeWorker(b *testing.B) {
	fleet := benchFleet(1, 4000, 1)
	fleet[0].SetWorker(place.Worker{Name: "huge", Rack: "r", Capacity: place.Resources{CPUMillis: 9e18, MemoryMB: 9e18}})
	fleet[0].Cordon("huge", true)
	benchPlaceIn(b, fleet, runningTasks)
}
