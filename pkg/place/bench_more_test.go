package place_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// fullFleet returns one cell of 4,000 workers filled until 1,000 tasks in a row were refused.
func fullFleet(b *testing.B, workers int) (*place.Cell, []place.Task) {
	c := benchFleet(1, workers, 1)[0]
	tasks := benchTasks(rand.New(rand.NewPCG(benchSeed, 0)), 1<<16)
	for i, refused := 0, 0; refused < 1000; i++ {
		tasks[i].Class = place.Class(i % 3)
		if c.Place(epoch, tasks[i]).Worker == "" {
			refused++
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	return c, tasks
}

// BenchmarkRefuse measures a flood on a full fleet: a task ends, and ten different sizes are tried.
func BenchmarkRefuse(b *testing.B) {
	c, tasks := fullFleet(b, 4000)
	for i := range b.N {
		t := tasks[i%len(tasks)]
		if i%10 == 0 {
			c.Release(t.ID)
		}
		t.ID = "x" + t.ID
		if c.Place(epoch, t).Worker != "" {
			c.Release(t.ID)
		}
	}
}

// BenchmarkPreempt measures the choice of victims on a full fleet.
func BenchmarkPreempt(b *testing.B) {
	for _, workers := range []int{50, 222, 4000} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			c, _ := fullFleet(b, workers)
			urgent := batch("urgent", 12, 16)
			urgent.Class = place.Urgent
			for range b.N {
				if _, _, ok := c.Preempt(epoch.Add(time.Hour), urgent); !ok {
					b.Fatal("no victims")
				}
			}
		})
	}
}

// BenchmarkReserve measures the plan of a job of 64 tasks on a full fleet.
func BenchmarkReserve(b *testing.B) {
	for _, workers := range []int{50, 222, 4000} {
		b.Run("workers="+strconv.Itoa(workers), func(b *testing.B) {
			c, _ := fullFleet(b, workers)
			wide := make([]place.Task, 64)
			for i := range wide {
				wide[i] = batch("wide"+strconv.Itoa(i), 4, 4)
			}
			for range b.N {
				c.Reserve(epoch.Add(time.Second), "wide", wide)
				c.Unreserve("wide")
			}
		})
	}
}
