package share

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which past service is forgotten: what bounds debt and credit of a team. It is
	// about half a long task, so that lent capacity is returned within seconds.
	memory = 3 * time.Second

	// lookahead is how long running tasks are taken to go on. Without it, a team that has just started many tasks
	// would count as one that has had nothing.
	lookahead = time.Second

	// minCharge is the least that a waiting task is expected to take; estimates are off by up to 90%. None counts for
	// more than the time that is remembered.
	minCharge = 250 * time.Millisecond

	horizon = memory + lookahead

	// Above this multiple of its share a team yields to others. The random changes of an ordinary load must not break the
	// order by objective: with 20 teams and tasks of 6 s some are beyond their share at any time by chance.
	yieldsAbove = 1.5
)

// Account is what a team has had lately of the capacity for which it competes, in core-seconds.
type Account struct {
	served float64
}

// Advance records that so many cores have been in use for the elapsed time.
func (a *Account) Advance(elapsed time.Duration, cores float64) {
	left := math.Exp(-max(elapsed, 0).Seconds() / memory.Seconds())
	a.served = a.served*left + cores*memory.Seconds()*(1-left)
}

// Service returns what the team has had and is having, with so many cores in use now. A team that keeps using the same
// cores has them for horizon.
func (a *Account) Service(cores float64) float64 {
	return a.served + cores*lookahead.Seconds()
}

// Charge returns the core-seconds that waiting tasks with so many cores and the given estimate stand for.
func Charge(cores float64, estimate time.Duration) float64 {
	return cores * min(max(estimate, minCharge), horizon).Seconds()
}

// Claim is what one team could use of a capacity.
type Claim struct {
	Weight, Cores float64
}

// Level returns the service for each unit of weight up to which competing teams are within their share. Capacity that one
// team does not claim is lent to the others, and does not count as their share: it is returned first. The level is
// infinite if there is enough for all.
func Level(capacity float64, claims []Claim) float64 {
	weights, demand := 0.0, 0.0
	for _, c := range claims {
		if c.Cores > 0 {
			weights += c.Weight
			demand += c.Cores
		}
	}
	if demand <= capacity {
		return math.Inf(1)
	}
	return max(capacity, 0) / weights * horizon.Seconds()
}

// Turn returns the place of a team's next task among those of competing teams: 0 as long as it need not yield, and above
// that, the more the further, for a team that has had more than its share. ahead
// is the charge of its tasks that come first.
func Turn(service, ahead, weight, level float64) float64 {
	if math.IsInf(level, 1) {
		return 0
	}
	return max((service+ahead)/weight-yieldsAbove*level, 0)
}

// Weight returns the weight of a team among others; a weight of 0 counts as the smallest one of them.
func Weight(weight float64, all []float64) float64 {
	if weight > 0 {
		return weight
	}
	smallest := math.Inf(1)
	for _, w := range all {
		if w > 0 {
			smallest = min(smallest, w)
		}
	}
	if math.IsInf(smallest, 1) {
		return 1
	}
	return smallest
}
