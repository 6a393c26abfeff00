package place

import "time"

// Candidate is a worker on which a task may be placed, with the penalty of choosing it.
type Candidate struct {
	Worker  string
	Penalty float64
}

// PlaceAmong places t on the candidate with the lowest penalty that has room for it. Ties go
// to the tightest fit. Unknown and cordoned workers are skipped.
func (c *Cell) PlaceAmong(now time.Time, t Task, candidates []Candidate) Decision {
	if t.ID == "" || t.Need.negative() {
		return Decision{Reason: Reason{Code: Invalid}}
	}
	if _, held := c.byID[t.ID]; held {
		return Decision{Reason: Reason{Code: Duplicate}}
	}
	c.updateWeights()
	best, bestPenalty, bestScore := none, 0.0, 0.0
	for _, cand := range candidates {
		i, ok := c.byName[cand.Worker]
		if !ok || c.workers[i].cordoned || !t.Need.Fits(c.workers[i].free) {
			continue
		}
		s := c.grid.score(c.workers[i].free.Sub(t.Need))
		if best == none || cand.Penalty < bestPenalty || cand.Penalty == bestPenalty && (s < bestScore || s == bestScore && i < best) {
			best, bestPenalty, bestScore = i, cand.Penalty, s
		}
	}
	if best == none {
		return Decision{Reason: Reason{Code: NoCapacity}}
	}
	t.Started = now
	c.grant(best, &t)
	return Decision{Worker: c.workers[best].name}
}

// Free returns the free capacity of a worker and whether the worker is known.
func (c *Cell) Free(name string) (Resources, bool) {
	i, ok := c.byName[name]
	if !ok {
		return Resources{}, false
	}
	return c.workers[i].free, true
}

// Totals returns the sums of the capacity and of the granted resources of all workers.
func (c *Cell) Totals() (capacity, granted Resources) {
	return c.total, c.granted
}
