package place_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	benchSeed    = 11
	runningTasks = 21_000
)

// BenchmarkPlace measures one placement and one release in steady state with 21,000 running
// tasks. In smaller fleets the workers are larger (16 cores times 4,000/workers) so that the
// tasks fit; "tasks=262" instead keeps 16 cores and the number of tasks per worker of the large
// fleet. "cells=18" distributes the workers over 18 failure domains. p99-ns is the 99th
// percentile of single Place calls.
func BenchmarkPlace(b *testing.B) {
	b.Run("workers=50", func(b *testing.B) { benchPlace(b, 1, 50, 80, runningTasks) })
	b.Run("workers=50/tasks=262", func(b *testing.B) { benchPlace(b, 1, 50, 1, 262) })
	b.Run("workers=500", func(b *testing.B) { benchPlace(b, 1, 500, 8, runningTasks) })
	b.Run("workers=4000", func(b *testing.B) { benchPlace(b, 1, 4000, 1, runningTasks) })
	b.Run("workers=4000/cells=18", func(b *testing.B) { benchPlace(b, 18, 4000, 1, runningTasks) })
}

// benchFleet returns cells with the workers distributed over them rack by rack.
func benchFleet(cells, workers int, scale int64) []*place.Cell {
	fleet := make([]*place.Cell, cells)
	for i := range fleet {
		fleet[i] = &place.Cell{}
	}
	for i := range workers {
		w := place.Worker{Name: "w" + strconv.Itoa(i), Rack: "r" + strconv.Itoa(i/8)}
		w.Capacity = place.Resources{CPUMillis: hostCapacity.CPUMillis * scale, MemoryMB: hostCapacity.MemoryMB * scale}
		if i%4 == 0 {
			w.Capacity.Accelerators = 4 * scale
		}
		fleet[i/8%cells].SetWorker(w)
	}
	return fleet
}

func benchPlace(b *testing.B, cells, workers int, scale int64, running int) {
	benchPlaceIn(b, benchFleet(cells, workers, scale), running)
}

func benchPlaceIn(b *testing.B, fleet []*place.Cell, running int) {
	cells := len(fleet)
	tasks := benchTasks(rand.New(rand.NewPCG(benchSeed, 0)), 1<<16)
	home := make([]*place.Cell, running)
	n := 0
	for i := 0; n < running; i++ {
		home[n] = fleet[i%cells]
		if home[n].Place(testTime, tasks[i]).Worker != "" {
			tasks[n], tasks[i] = tasks[i], tasks[n]
			n++
		}
	}
	h := hdrhistogram.New(1, int64(time.Second), 3)
	next, refused, k := n, 0, 0
	b.ReportAllocs()
	b.ResetTimer()
	start := time.Now()
	for range b.N {
		k = (k + 1) % n
		home[k].Release(tasks[k].ID)
		before := time.Now()
		d := home[k].Place(testTime, tasks[next])
		_ = h.RecordValue(int64(time.Since(before)))
		if d.Worker != "" {
			tasks[k], tasks[next] = tasks[next], tasks[k]
		} else {
			refused++
			home[k].Place(testTime, tasks[k])
		}
		next = n + (next+1-n)%(len(tasks)-n)
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "decisions/s")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
	for _, c := range fleet {
		if err := c.Check(); err != nil {
			b.Fatalf("seed %d: %v", benchSeed, err)
		}
	}
}

// benchTasks returns random tasks, of which about 5 fill a worker with 16 cores. One in a
// thousand does not fit on any worker.
func benchTasks(rnd *rand.Rand, n int) []place.Task {
	tasks := make([]place.Task, n)
	for i := range tasks {
		t := batch("t"+strconv.Itoa(i), 0, 0)
		t.Need = place.Resources{CPUMillis: 250 * (1 + rnd.Int64N(20)), MemoryMB: 512 * (1 + rnd.Int64N(40))}
		t.RunTime = time.Duration(1+rnd.Int64N(3600)) * time.Second
		switch {
		case rnd.IntN(1000) == 0:
			t.Need.CPUMillis = 17_000
		case rnd.IntN(5) == 0:
			t.Kind, t.Job = place.Service, "s"+strconv.Itoa(rnd.IntN(500))
		case rnd.IntN(10) == 0:
			t.Need.Accelerators = 1
		}
		tasks[i] = t
	}
	return tasks
}

// fullFleet returns a cell that was filled until 1,000 tasks had been refused, and the tasks.
func fullFleet(b *testing.B, workers int) (*place.Cell, []place.Task) {
	c := benchFleet(1, workers, 1)[0]
	tasks := benchTasks(rand.New(rand.NewPCG(benchSeed, 0)), 1<<16)
	for i, refused := 0, 0; refused < 1000; i++ {
		tasks[i].Class = place.Class(i % 3)
		if c.Place(testTime, tasks[i]).Worker == "" {
			refused++
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	return c, tasks
}

// BenchmarkRefuse measures a flood of tasks on a full fleet: for every task that ends, ten
// tasks of different sizes are tried.
func BenchmarkRefuse(b *testing.B) {
	c, tasks := fullFleet(b, 4000)
	for i := range b.N {
		t := tasks[i%len(tasks)]
		if i%10 == 0 {
			c.Release(t.ID)
		}
		t.ID = "x" + t.ID
		if c.Place(testTime, t).Worker != "" {
			c.Release(t.ID)
		}
	}
}

// BenchmarkPlan measures Preempt, and Reserve for a gang of 64 tasks, on a full fleet.
func BenchmarkPlan(b *testing.B) {
	wide := make([]place.Task, 64)
	for i := range wide {
		wide[i] = batch("wide"+strconv.Itoa(i), 4, 4)
	}
	urgent := batch("urgent", 12, 16)
	urgent.Class = place.Urgent
	for _, workers := range []int{50, 222, 4000} {
		b.Run("preempt/workers="+strconv.Itoa(workers), func(b *testing.B) {
			c, _ := fullFleet(b, workers)
			for range b.N {
				c.Preempt(testTime.Add(time.Hour), urgent)
			}
		})
		b.Run("reserve/workers="+strconv.Itoa(workers), func(b *testing.B) {
			c, _ := fullFleet(b, workers)
			for range b.N {
				c.Reserve(testTime.Add(time.Second), "wide", wide)
				c.Unreserve("wide")
			}
		})
	}
}
