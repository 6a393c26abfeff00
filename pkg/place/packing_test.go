package place_test

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/place/base"
)

var (
	packSeeds    = flag.Int("pack.seeds", 2, "number of seeds of the packing runs")
	packArrivals = flag.Int("pack.arrivals", 5_000, "arrivals for each 50 workers of the packing runs")
	packWorkers  = flag.Int("pack.workers", 50, "workers of the packing runs")
)

// packer is a placement policy under comparison.
type packer struct {
	name      string
	setWorker func(place.Worker)
	place     func(place.Task) bool
	release   func(string) bool
}

func cellPacker() packer {
	c := &place.Cell{}
	return packer{"cell", c.SetWorker, func(t place.Task) bool { return c.Place(testTime, t).Worker != "" }, c.Release}
}

// havenScore is HAVEN's score, the sum of squared utilizations with equal weights; lower is
// better.
func havenScore(left, _, capacity place.Resources) float64 {
	square := func(left, whole int64) float64 {
		if whole == 0 {
			return 0
		}
		u := 1 - float64(left)/float64(whole)
		return u * u
	}
	return square(left.CPUMillis, capacity.CPUMillis) + square(left.MemoryMB, capacity.MemoryMB) +
		square(left.Accelerators, capacity.Accelerators)
}

// strandingScore is best fit plus a penalty for the imbalance of the remaining CPU and memory.
// Keeping accelerators free takes precedence.
func strandingScore(weight float64) func(left, need, capacity place.Resources) float64 {
	return func(left, _, capacity place.Resources) float64 {
		x := float64(left.CPUMillis) / float64(capacity.CPUMillis)
		y := float64(left.MemoryMB) / float64(capacity.MemoryMB)
		return 10*float64(left.Accelerators) + x + y + weight*math.Abs(x-y)
	}
}

// packers returns a new packer for each policy; seed is used by the random one.
func packers(seed uint64) []packer {
	fleets := []packer{cellPacker()}
	add := func(name string, f base.Placer) {
		fleets = append(fleets, packer{name, f.SetWorker, func(t place.Task) bool { return f.Place(t) != "" }, f.Release})
	}
	for r := base.FirstFit; r < base.Scored; r++ {
		add(r.String(), base.Placer{Policy: r, Rand: rand.New(rand.NewPCG(seed, 1))})
	}
	add("haven", base.Placer{Policy: base.Scored, Score: havenScore})
	for _, w := range []float64{0, 0.5, 1} {
		add(fmt.Sprintf("stranding %.2f", w), base.Placer{Policy: base.Scored, Score: strandingScore(w)})
	}
	return fleets
}

// fleetOf returns n workers, 8 per rack. Every eighth has 4 accelerators.
func fleetOf(n int, memoryMB int64) []place.Worker {
	ws := make([]place.Worker, n)
	for i := range ws {
		ws[i] = place.Worker{
			Name: "w" + strconv.Itoa(i), Rack: "r" + strconv.Itoa(i/8),
			Capacity: place.Resources{CPUMillis: 16_000, MemoryMB: memoryMB},
		}
		if i%8 == 0 {
			ws[i].Capacity.Accelerators = 4
		}
	}
	return ws
}

// randomTask returns a task that is CPU-heavy, memory-heavy, large or needs accelerators. One
// in a hundred does not fit on any worker. The tasks do not depend on the fleet.
func randomTask(rnd *rand.Rand, i int) place.Task {
	t := batch("t"+strconv.Itoa(i), 0, 0)
	need := func(halfCores, gb, accelerators int64) place.Resources {
		return place.Resources{CPUMillis: halfCores * 500, MemoryMB: gb * 1024, Accelerators: accelerators}
	}
	switch k := rnd.IntN(100); {
	case k < 1:
		t.Need = need(33+rnd.Int64N(16), 1+rnd.Int64N(80), 0)
	case k < 5:
		t.Need = need(20+rnd.Int64N(13), 8+rnd.Int64N(25), 0)
	case k < 45:
		t.Need = need(2+rnd.Int64N(12), 1+rnd.Int64N(6), 0)
	case k < 90:
		t.Need = need(1+rnd.Int64N(4), 3+rnd.Int64N(16), 0)
	default:
		t.Need = need(1+rnd.Int64N(4), 1+rnd.Int64N(4), 1+rnd.Int64N(3))
	}
	t.RunTime = time.Duration(rnd.ExpFloat64() * float64(10*time.Minute))
	return t
}

// endHeap is a heap of running tasks ordered by their end, which is kept in LastCheckpoint.
type endHeap []place.Task

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].LastCheckpoint.Before(e[j].LastCheckpoint) }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(place.Task)) }
func (e *endHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result has the time-averaged utilization of each resource, the fraction of refused tasks and
// the fraction of large tasks that were refused.
type result struct{ cpu, mem, acc, refused, large float64 }

func (r result) density() float64 { return (r.cpu + r.mem) / 2 }

// churn simulates arrivals and ends of tasks with the given load relative to the capacity.
// Tasks that do not fit are refused. The first quarter of the arrivals is not measured.
func churn(p packer, seed uint64, memoryMB int64, workers int, load float64) result {
	arrivals := *packArrivals * workers / 50
	var total place.Resources
	for _, w := range fleetOf(workers, memoryMB) {
		p.setWorker(w)
		total = total.Add(w.Capacity)
	}
	rnd := rand.New(rand.NewPCG(seed, 0))
	gap := float64(10*time.Minute) / (load * 5 * float64(workers))
	now, begin := testTime, testTime
	var running endHeap
	var used place.Resources
	var r result
	var span, large float64
	for i := range arrivals {
		now = now.Add(time.Duration(rnd.ExpFloat64() * gap))
		for len(running) > 0 && !running[0].LastCheckpoint.After(now) {
			t := heap.Pop(&running).(place.Task)
			p.release(t.ID)
			used = used.Sub(t.Need)
		}
		if i == arrivals/4 {
			r, span, large, begin = result{}, 0, 0, now
		}
		dt := now.Sub(begin).Seconds()
		begin = now
		span += dt
		r.cpu += dt * float64(used.CPUMillis) / float64(total.CPUMillis)
		r.mem += dt * float64(used.MemoryMB) / float64(total.MemoryMB)
		r.acc += dt * float64(used.Accelerators) / float64(total.Accelerators)
		t := randomTask(rnd, i)
		big := t.Need.CPUMillis >= 10_000 && t.Need.CPUMillis <= 16_000
		if big {
			large++
		}
		if !p.place(t) {
			r.refused++
			if big {
				r.large++
			}
			continue
		}
		used = used.Add(t.Need)
		t.LastCheckpoint = now.Add(t.RunTime)
		heap.Push(&running, t)
	}
	return result{r.cpu / span, r.mem / span, r.acc / span, r.refused / float64(arrivals*3/4), r.large / large}
}

// Guards against a density below 95% of best fit. Logs the results of all policies.
func TestPackingUnderChurn(t *testing.T) {
	for _, memoryMB := range []int64{65_536, 32_768} {
		sums := make([]result, len(packers(0)))
		for seed := uint64(1); seed <= uint64(*packSeeds); seed++ {
			for i, p := range packers(seed) {
				r := churn(p, seed, memoryMB, *packWorkers, 1.5)
				sums[i].cpu += r.cpu / float64(*packSeeds)
				sums[i].mem += r.mem / float64(*packSeeds)
				sums[i].acc += r.acc / float64(*packSeeds)
				sums[i].refused += r.refused / float64(*packSeeds)
				sums[i].large += r.large / float64(*packSeeds)
			}
		}
		t.Log(table(memoryMB, packers(0), sums))
		assert.Assert(t, sums[0].density() >= 0.95*sums[2].density())
	}
}

func table(memoryMB int64, ps []packer, rs []result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d workers of 16 cores and %d MB, seeds 1 to %d\n%-16s %8s %8s %8s %8s %8s %8s %8s\n",
		*packWorkers, memoryMB, *packSeeds, "rule", "density", "ratio", "cpu", "memory", "accel", "refused", "large")
	for i, r := range rs {
		fmt.Fprintf(&b, "%-16s %8.4f %8.4f %8.4f %8.4f %8.4f %8.4f %8.4f\n",
			ps[i].name, r.density(), r.density()/rs[2].density(), r.cpu, r.mem, r.acc, r.refused, r.large)
	}
	return b.String()
}

// optimum returns the highest total value that can be placed, by exhaustive search.
func optimum(ts []place.Task, free []place.Resources, value func(place.Resources) float64) float64 {
	if len(ts) == 0 {
		return 0
	}
	best := optimum(ts[1:], free, value)
	for w := range free {
		if slices.Contains(free[:w], free[w]) || !ts[0].Need.Fits(free[w]) {
			continue
		}
		free[w] = free[w].Sub(ts[0].Need)
		best = max(best, value(ts[0].Need)+optimum(ts[1:], free, value))
		free[w] = free[w].Add(ts[0].Need)
	}
	return best
}

// Guards against placing less than 95% of the optimum, with 11 tasks that exceed the capacity
// of 2 workers. Tasks come largest first, as in PlaceAll, and in order of arrival.
func TestPackingAgainstExactBound(t *testing.T) {
	const cases = 300
	sorted := map[string]float64{}
	arrival := map[string]float64{}
	value := func(r place.Resources) float64 { return base.FreeFraction(r, hostCapacity) }
	seed := uint64(0)
	for counted := 0; counted < cases; {
		seed++
		rnd := rand.New(rand.NewPCG(seed, 2))
		ts := make([]place.Task, 11)
		asked := 0.0
		for i := range ts {
			ts[i] = randomTask(rnd, i)
			if ts[i].Need.Fits(hostCapacity) {
				asked += value(ts[i].Need)
			}
		}
		most := optimum(ts, []place.Resources{hostCapacity, hostCapacity}, value)
		if most > asked-1e-9 {
			continue // all tasks fit, nothing to compare
		}
		counted++
		bySize := slices.Clone(ts)
		slices.SortStableFunc(bySize, func(a, b place.Task) int { return cmp.Compare(value(b.Need), value(a.Need)) })
		for _, run := range []struct {
			tasks []place.Task
			sums  map[string]float64
		}{{bySize, sorted}, {ts, arrival}} {
			for _, p := range packers(seed) {
				run.sums[p.name] += fill(p, run.tasks, value) / most / cases
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sorted)) {
		t.Logf("%d cases of seeds 1 to %d, share of the exact bound: %-16s largest first %.4f, in order of arrival %.4f",
			cases, seed, name, sorted[name], arrival[name])
	}
	assert.Assert(t, sorted["cell"] >= 0.95)
	assert.Assert(t, sorted["cell"] >= 0.99*sorted["best fit"])
}

// fill places the tasks that fit on two workers and returns their total value.
func fill(p packer, ts []place.Task, value func(place.Resources) float64) float64 {
	for i := range 2 {
		p.setWorker(place.Worker{Name: "w" + strconv.Itoa(i), Capacity: hostCapacity})
	}
	sum := 0.0
	for _, task := range ts {
		if p.place(task) {
			sum += value(task.Need)
		}
	}
	return sum
}
