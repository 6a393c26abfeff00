package queue

import "time"

const (
	// firstServiceTime is assumed until items have ended.
	firstServiceTime = 0.1
	// burstItems is the credit an idle class keeps beyond the running cost, in mean items.
	burstItems = 4
	// meanWindow is the number of ended items after which older ones count half.
	meanWindow = 256
)

// class holds the share of one class and its nodes.
type class struct {
	kind    Class
	limits  ClassLimits
	heaps   [heapKinds]nodeHeap
	waiting int
	running int64
	// weights is the sum of the weights of the teams with waiting items.
	weights float64

	// credit is the service the class is owed, in cost x seconds: it grows by the
	// guaranteed share of all service and falls by the class's own.
	credit  float64
	prepaid float64
	rate    int64

	// served is the weighted service of the node served last.
	served float64

	// Sums from which the mean service time and the mean cost are taken.
	usedSeconds float64
	endedCost   float64
	endedItems  float64
}

// serviceTime returns the mean seconds that an item runs.
func (c *class) serviceTime() float64 {
	if c.endedCost == 0 || c.usedSeconds == 0 {
		return firstServiceTime
	}
	return c.usedSeconds / c.endedCost
}

// meanCost returns the mean cost of an item.
func (c *class) meanCost() float64 {
	if c.endedItems == 0 {
		return 1
	}
	return c.endedCost / c.endedItems
}

// burst is the greatest credit or debt of the class and of its nodes.
func (c *class) burst() float64 {
	return c.serviceTime() * (float64(c.running) + burstItems*c.meanCost())
}

// ended counts an ended item for the means.
func (c *class) ended(cost int64) {
	c.endedCost += float64(cost)
	c.endedItems++
	if c.endedItems >= meanWindow {
		c.usedSeconds /= 2
		c.endedCost /= 2
		c.endedItems /= 2
	}
}

// settle counts the service since the last call and returns the part that was not prepaid.
func (c *class) settle(seconds float64) float64 {
	used := float64(c.rate) * seconds
	c.rate = c.running
	c.usedSeconds += used
	paid := min(used, c.prepaid)
	c.prepaid -= paid
	return used - paid
}

// effective returns the class after ageing, by the oldest item that may run.
func (c *class) effective(now time.Time, step time.Duration) int {
	risen := int(now.Sub(c.oldest()) / step)
	return max(int(c.kind)-max(risen, 0), 0)
}

func (c *class) oldest() time.Time {
	return c.heaps[byAge].top().ready.front.item.Enqueued
}

// charge adds the service of one class to the accounts of all; a negative amount is a refund.
func (q *Queue) charge(by *class, amount float64) {
	for i := range q.classes {
		c := &q.classes[i]
		c.credit += c.limits.Share * amount
		if c == by {
			c.credit -= amount
		}
		// Service lent to a class leaves it a debt of one item at most, so that it
		// gets its share as soon as the others claim theirs.
		floor := -c.serviceTime() * c.meanCost()
		c.credit = min(max(c.credit, floor), c.burst())
	}
}
