// Package base has the baseline placement policies that pkg/place is compared with: first
// fit, best fit, least loaded, random and round robin. Every decision visits all workers, so
// the policies are simple and exact rather than fast.
package base

import (
	"math/rand/v2"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// Policy determines which of the workers that can hold a task is chosen.
type Policy uint8

const (
	// FirstFit chooses the first worker in the order of SetWorker calls.
	FirstFit Policy = iota
	// BestFit chooses the worker with the lowest FreeFraction after the placement.
	BestFit
	// LeastLoaded chooses the worker with the highest FreeFraction after the placement.
	LeastLoaded
	// Random chooses any worker with equal probability.
	Random
	// RoundRobin chooses the next worker after the one chosen last.
	RoundRobin
	// Scored chooses the worker with the lowest Placer.Score.
	Scored
)

var ruleNames = [...]string{"first fit", "best fit", "least loaded", "random", "round robin", "scored"}

// String returns the name of the policy.
func (r Policy) String() string {
	if int(r) >= len(ruleNames) {
		return "unknown"
	}
	return ruleNames[r]
}

// Placer places tasks by a policy. Set the exported fields before the first call. A Placer is
// not safe for concurrent use.
type Placer struct {
	Policy Policy
	// Rand is required by Random.
	Rand *rand.Rand
	// Score is required by Scored. left is the free part of capacity after the placement.
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

// SetWorker adds a worker. Its name must be new.
func (p *Placer) SetWorker(w place.Worker) {
	p.workers = append(p.workers, w)
	p.free = append(p.free, w.Capacity)
	p.last = len(p.workers) - 1
}

// Place chooses a worker, grants t.Need and returns the name of the worker, or "" if the task
// does not fit on any worker.
func (p *Placer) Place(t place.Task) string {
	i := p.choose(t.Need)
	if i < 0 {
		return ""
	}
	if p.tasks == nil {
		p.tasks = make(map[string]grant)
	}
	p.tasks[t.ID] = grant{i, t.Need}
	p.free[i] = p.free[i].Sub(t.Need)
	p.last = i
	return p.workers[i].Name
}

// Release frees the resources of a task and reports whether the task was known.
func (p *Placer) Release(id string) bool {
	g, ok := p.tasks[id]
	if ok {
		p.free[g.worker] = p.free[g.worker].Add(g.need)
		delete(p.tasks, id)
	}
	return ok
}

func (p *Placer) choose(need place.Resources) int {
	best, lowest, fits := -1, 0.0, 0
	for n := range p.workers {
		i := n
		if p.Policy == RoundRobin {
			i = (p.last + 1 + n) % len(p.workers)
		}
		if !need.Fits(p.free[i]) {
			continue
		}
		fits++
		switch p.Policy {
		case FirstFit, RoundRobin:
			return i
		case Random:
			if p.Rand.IntN(fits) == 0 {
				best = i
			}
			continue
		}
		if s := p.score(i, need); best < 0 || s < lowest {
			best, lowest = i, s
		}
	}
	return best
}

func (p *Placer) score(i int, need place.Resources) float64 {
	left := p.free[i].Sub(need)
	switch p.Policy {
	case Scored:
		return p.Score(left, need, p.workers[i].Capacity)
	case LeastLoaded:
		return -FreeFraction(left, p.workers[i].Capacity)
	}
	return FreeFraction(left, p.workers[i].Capacity)
}

// FreeFraction returns the sum of left as a fraction of capacity over all dimensions.
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
