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

// BenchmarkPlace measures one decision and one release in steady state with 21,000 running
// tasks. "cells" spreads the workers over the 18 failure domains. So that the tasks fit, the
// workers have 16 cores times 4,000/workers; "tasks=262" instead keeps 16 cores and has as
// many tasks per worker as the large fleet. The p99 is taken over single Place calls.
func BenchmarkPlace(b *testing.B) {
	b.Run("workers=50", func(b *testing.B) { benchPlace(b, 1, 50, 80, runningTasks) })
	b.Run("workers=50/tasks=262", func(b *testing.B) { benchPlace(b, 1, 50, 1, 262) })
	b.Run("workers=500", func(b *testing.B) { benchPlace(b, 1, 500, 8, runningTasks) })
	b.Run("workers=4000", func(b *testing.B) { benchPlace(b, 1, 4000, 1, runningTasks) })
	b.Run("workers=4000/cells=18", func(b *testing.B) { benchPlace(b, 18, 4000, 1, runningTasks) })
}

// benchFleet returns the cells and spreads the workers over them rack by rack.
func benchFleet(cells, workers int, scale int64) []*place.Cell {
	fleet := make([]*place.Cell, cells)
	for i := range fleet {
		fleet[i] = &place.Cell{}
	}
	for i := range workers {
		w := place.Worker{Name: "w" + strconv.Itoa(i), Rack: "r" + strconv.Itoa(i/8)}
		w.Capacity = place.Resources{CPUMillis: host.CPUMillis * scale, MemoryMB: host.MemoryMB * scale}
		if i%4 == 0 {
			w.Capacity.Accelerators = 4 * scale
		}
		fleet[i/8%cells].SetWorker(w)
	}
	return fleet
}

func benchPlace(b *testing.B, cells, workers int, scale int64, running int) {
	fleet := benchFleet(cells, workers, scale)
	tasks := benchTasks(rand.New(rand.NewPCG(benchSeed, 0)), 1<<16)
	home := make([]*place.Cell, running)
	n := 0
	for i := 0; n < running; i++ {
		home[n] = fleet[i%cells]
		if home[n].Place(epoch, tasks[i]).Worker != "" {
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
		d := home[k].Place(epoch, tasks[next])
		_ = h.RecordValue(int64(time.Since(before)))
		if d.Worker != "" {
			tasks[k], tasks[next] = tasks[next], tasks[k]
		} else {
			refused++
			home[k].Place(epoch, tasks[k])
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

// benchTasks draws tasks that fill a worker of 16 cores with about 5; one in a thousand fits nowhere.
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
