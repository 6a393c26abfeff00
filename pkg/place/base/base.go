// Package base has the placement rules that pkg/place is compared with: first fit, best
// fit, least loaded, random and round robin. Each decision looks at every worker, so the
// rules are exact and simple rather than fast.
package base

import (
	"math/rand/v2"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// Policy chooses among the workers that can hold a task.
type Policy uint8

const (
	// FirstFit takes the first worker in the order in which they were added.
	FirstFit Policy = iota
	// BestFit takes the worker that has the least left, as a sum of fractions of its capacity.
	BestFit
	// LeastLoaded takes the worker that has the most left.
	LeastLoaded
	// Random takes any worker with equal probability.
	Random
	// RoundRobin takes the next worker after the one taken last.
	RoundRobin
	// Scored takes the worker with the lowest Score.
	Scored
)

var ruleNames = [...]string{"first fit", "best fit", "least loaded", "random", "round robin", "scored"}

// String returns the usual name of the rule.
func (r Policy) String() string {
	if int(r) >= len(ruleNames) {
		return "unknown"
	}
	return ruleNames[r]
}

// Placer places tasks by one rule. Set the fields before the first call; one goroutine owns it.
type Placer struct {
	Policy Policy
	// Rand is needed by Random.
	Rand *rand.Rand
	// Score is needed by Scored: left is what stays free of capacity after the placement.
	Score func(left, need, capacity place.Resources) float64

	workers []place.Worker
	free    []place.Resources
	tasks   map[string]grant
	last    int
}

type grant struct {
	worker int
	need   place.Resources
}

// SetWorker adds a worker; its name must be new.
func (f *Placer) SetWorker(w place.Worker) {
	f.workers = append(f.workers, w)
	f.free = append(f.free, w.Capacity)
	f.last = len(f.workers) - 1
}

// Place chooses a worker, grants t.Need and returns the worker's name, or "" when the task fits on none.
func (f *Placer) Place(t place.Task) string {
	i := f.choose(t.Need)
	if i < 0 {
		return ""
	}
	if f.tasks == nil {
		f.tasks = make(map[string]grant)
	}
	f.tasks[t.ID] = grant{i, t.Need}
	f.free[i] = f.free[i].Sub(t.Need)
	f.last = i
	return f.workers[i].Name
}

// Release returns what the task was granted and reports whether the task was known.
func (f *Placer) Release(id string) bool {
	g, ok := f.tasks[id]
	if ok {
		f.free[g.worker] = f.free[g.worker].Add(g.need)
		delete(f.tasks, id)
	}
	return ok
}

func (f *Placer) choose(need place.Resources) int {
	best, low, fits := -1, 0.0, 0
	for n := range f.workers {
		i := n
		if f.Policy == RoundRobin {
			i = (f.last + 1 + n) % len(f.workers)
		}
		if !need.Fits(f.free[i]) {
			continue
		}
		fits++
		switch f.Policy {
		case FirstFit, RoundRobin:
			return i
		case Random:
			if f.Rand.IntN(fits) == 0 {
				best = i
			}
			continue
		}
		if s := f.score(i, need); best < 0 || s < low {
			best, low = i, s
		}
	}
	return best
}

func (f *Placer) score(i int, need place.Resources) float64 {
	left := f.free[i].Sub(need)
	switch f.Policy {
	case Scored:
		return f.Score(left, need, f.workers[i].Capacity)
	case LeastLoaded:
		return -FreeFraction(left, f.workers[i].Capacity)
	}
	return FreeFraction(left, f.workers[i].Capacity)
}

// FreeFraction is the sum over the dimensions of what is left as a fraction of the capacity.
func FreeFraction(left, capacity place.Resources) float64 {
	return fraction(left.CPUMillis, capacity.CPUMillis) +
		fraction(left.MemoryMB, capacity.MemoryMB) +
		fraction(left.Accelerators, capacity.Accelerators)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
