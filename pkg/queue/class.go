package queue

import "time"

const (
	// firstServiceTime is assumed until items have ended.
	firstServiceTime = 0.1
	// burstItems is the credit an idle class keeps beyond the running cost, in mean items.
	burstItems = 4
	// maxServiceTime bounds the expected service of one item. A task that runs for
	// days would otherwise leave its class a debt that outlasts many short items;
	// what it uses beyond is counted as it runs.
	maxServiceTime = 10.0
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

// meanSeconds returns the mean time that an item runs.
func (c *class) meanSeconds() float64 {
	if c.endedCost == 0 || c.usedSeconds == 0 {
		return firstServiceTime
	}
	return c.usedSeconds / c.endedCost
}

// serviceTime returns the seconds for which an item is charged when it starts.
func (c *class) serviceTime() float64 {
	return min(c.meanSeconds(), maxServiceTime)
}

// meanCost returns the mean cost of an item.
func (c *class) meanCost() float64 {
	if c.endedItems == 0 {
		return 1
	}
	return c.endedCost / c.endedItems
}

// burst is the greatest credit of an idle class, and the greatest lead of a node over the one served last.
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

// rank orders classes by the class that their oldest eligible item has risen to.
// Work that has risen to urgent comes after urgent work itself, so that an old
// flood can not hold up urgent work.
func (c *class) rank(now time.Time, step time.Duration) int {
	risen := max(int(now.Sub(c.oldest())/step), 0)
	rank := 2 * max(int(c.kind)-risen, 0)
	if rank == 0 && c.kind != Urgent {
		rank++
	}
	return rank
}

func (c *class) oldest() time.Time {
	return c.heaps[byAge].top().ready.front.item.Enqueued
}

// before reports whether c is served before o.
func (c *class) before(o *class, now time.Time, step time.Duration) bool {
	if owed, other := c.credit > 0, o.credit > 0; owed != other {
		return owed
	}
	if rank, other := c.rank(now, step), o.rank(now, step); rank != other {
		return rank < other
	}
	return c.oldest().Before(o.oldest())
}

// charge adds the service of one class to the accounts of all; a negative amount
// is a refund. Credit beyond the burst of an idle class is service that nobody
// claims: it was lent, so it repays debts and leaves none for later.
func (q *Queue) charge(by *class, amount float64) {
	unclaimed := amount
	by.credit -= amount
	for i := range q.classes {
		c := &q.classes[i]
		c.credit += c.limits.Share * amount
		unclaimed -= c.limits.Share * amount
		if c.heaps[byService].top() == nil {
			over := max(c.credit-c.burst(), 0)
			c.credit -= over
			unclaimed += over
		}
	}
	unclaimed = by.repay(unclaimed)
	for i := range q.classes {
		unclaimed = q.classes[i].repay(unclaimed)
	}
}

// repay lowers the debt of the class and returns what is left of amount.
func (c *class) repay(amount float64) float64 {
	paid := max(min(amount, -c.credit), 0)
	c.credit += paid
	return amount - paid
}
