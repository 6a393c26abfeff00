package place

import "time"

// Candidate is a worker that may hold a task, with a penalty for holding it there.
type Candidate struct {
	Worker  string
	Penalty float64
}

// PlaceAmong grants t on the candidate with the lowest penalty that has room for it; among
// equals it takes the one that is left with the least room. Cordoned workers are passed over.
func (c *Cell) PlaceAmong(now time.Time, t Task, candidates []Candidate) Decision {
	if t.ID == "" || t.Need.negative() {
		return Decision{Reason: Reason{Code: Invalid}}
	}
	if _, held := c.byID[t.ID]; held {
		return Decision{Reason: Reason{Code: Duplicate}}
	}
	c.weigh()
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

// Free returns the capacity of a worker that is not granted; false means that it is unknown.
func (c *Cell) Free(name string) (Resources, bool) {
	i, ok := c.byName[name]
	if !ok {
		return Resources{}, false
	}
	return c.workers[i].free, true
}

// Totals returns the capacity of all workers and what is granted on them.
func (c *Cell) Totals() (capacity, granted Resources) {
	return c.total, c.granted
}
