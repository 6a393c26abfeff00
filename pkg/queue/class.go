package queue

import "time"

const (
	// initialServiceTime is the assumed run time, in seconds, until an item has ended.
	initialServiceTime = 0.1
	// burstItems is the credit that an idle class keeps in addition to its running cost,
	// in mean items.
	burstItems = 4
	// maxCreditItems limits the credit or debt of a class, in mean items. Runs of random
	// length exceed a low limit: on a single slot, a class was served 8% below its share
	// with 4 and 2% below with 32.
	maxCreditItems = 32
	// maxCreditShare is an additional limit, as a fraction of the share of the class in the
	// running cost. A class that had borrowed all capacity later fell to 0.88 of its share
	// for a minute with 1, and to 0.95 with 0.25.
	maxCreditShare = 0.25
	// maxServiceTime limits the run time, in seconds, that is charged when an item starts.
	// Otherwise a task that runs for days would leave its class with a debt that outlasts
	// many short items. Service beyond the limit is charged while the item runs.
	maxServiceTime = 10.0
	// meanWindow is the number of ended items after which the sums for the means are halved.
	meanWindow = 256
)

// class holds the flows of one class and the accounting of its share.
type class struct {
	kind    Class
	limits  ClassLimits
	heaps   [numHeaps]flowHeap
	waiting int
	running int64
	// waitingWeight is the sum of the weights of the teams with waiting items.
	waitingWeight float64
	// activeWeight is the sum of the weights of the teams with waiting or running items.
	activeWeight float64

	// credit is the service that the class is owed, in cost x seconds. It grows by the
	// guaranteed share of all service and shrinks by the service of the class itself.
	credit float64
	// prepaid is the service charged for running items that they have not used yet.
	prepaid float64
	// rate is the running cost since the last settlement.
	rate int64

	// shareAccrued is the service that has been guaranteed so far to a team of weight 1 that
	// was active all the time.
	shareAccrued float64
	// owed is set if the class is owed service. It is valid only within selectClass.
	owed bool

	// virtualTime is the weighted service of the flow that was served last.
	virtualTime float64

	// Sums for the mean run time and the mean cost, with older items weighted less.
	usedSeconds float64
	endedCost   float64
	endedItems  float64
}

// meanSeconds returns the mean run time of an item.
func (c *class) meanSeconds() float64 {
	if c.endedCost == 0 || c.usedSeconds == 0 {
		return initialServiceTime
	}
	return c.usedSeconds / c.endedCost
}

// serviceTime returns the run time, in seconds, that is charged when an item starts.
func (c *class) serviceTime() float64 {
	return min(c.meanSeconds(), maxServiceTime)
}

func (c *class) meanCost() float64 {
	if c.endedItems == 0 {
		return 1
	}
	return c.endedCost / c.endedItems
}

// burst returns the maximum credit of an idle class, which is also the maximum lead of a flow
// over the flow that was served last.
func (c *class) burst() float64 {
	return c.serviceTime() * (float64(c.running) + burstItems*c.meanCost())
}

// itemService returns the service that is charged when an item of mean cost starts.
func (c *class) itemService() float64 {
	return c.serviceTime() * c.meanCost()
}

// countEnded includes an ended item in the means.
func (c *class) countEnded(cost int64) {
	c.endedCost += float64(cost)
	c.endedItems++
	if c.endedItems >= meanWindow {
		c.usedSeconds /= 2
		c.endedCost /= 2
		c.endedItems /= 2
	}
}

// settle accounts for the service since the last call and returns the part that was not
// prepaid.
func (c *class) settle(seconds float64) float64 {
	used := float64(c.rate) * seconds
	c.rate = c.running
	c.usedSeconds += used
	paid := min(used, c.prepaid)
	c.prepaid -= paid
	return used - paid
}

// rank returns the class that the oldest eligible item has been promoted to by aging, in
// steps of two. Items promoted to urgent rank behind urgent items themselves, so that an old
// flood cannot delay urgent work.
func (c *class) rank(now time.Time, agingInterval time.Duration) int {
	promoted := max(int(now.Sub(c.oldest())/agingInterval), 0)
	rank := 2 * max(int(c.kind)-promoted, 0)
	if rank == 0 && c.kind != Urgent {
		rank++
	}
	return rank
}

func (c *class) oldest() time.Time {
	return c.heaps[byAge].top().ready.front.item.Enqueued
}

// before reports whether c is served before o.
func (c *class) before(o *class, now time.Time, agingInterval time.Duration) bool {
	if c.owed != o.owed {
		return c.owed
	}
	if rank, other := c.rank(now, agingInterval), o.rank(now, agingInterval); rank != other {
		return rank < other
	}
	return c.oldest().Before(o.oldest())
}

// charge accounts for service received by one class in the credits of all classes. A
// negative amount is a refund. The credit of an idle class beyond its burst is unclaimed
// service and is lent to other classes.
func (q *Queue) charge(served *class, amount float64) {
	unclaimed := amount
	served.credit -= amount
	for i := range q.classes {
		c := &q.classes[i]
		c.credit += c.limits.Share * amount
		unclaimed -= c.limits.Share * amount
		if c.activeWeight > 0 {
			c.shareAccrued += c.limits.Share * amount / c.activeWeight
		}
		if !c.hasEligible() {
			over := max(c.credit-c.burst(), 0)
			c.credit -= over
			unclaimed += over
		}
	}
	if unclaimed > 0 {
		q.lend(unclaimed)
	}
	q.clampCredits()
}

// clampCredits limits credits and debts, so that past service, such as tasks that ran for
// days on borrowed capacity, does not affect the order for an equally long time.
func (q *Queue) clampCredits() {
	longest := 0.0
	for i := range q.classes {
		longest = max(longest, q.classes[i].serviceTime())
	}
	for i := range q.classes {
		c := &q.classes[i]
		limit := longest * (maxCreditShare*c.limits.Share*float64(q.running()) + maxCreditItems*c.meanCost())
		c.credit = min(max(c.credit, -limit), limit)
	}
}

// lend distributes unclaimed service to the classes in order of urgency: it repays the debt
// of each class, and the first class with an eligible item gets the rest.
func (q *Queue) lend(amount float64) {
	for i := range q.classes {
		c := &q.classes[i]
		if c.hasEligible() {
			c.credit += amount
			return
		}
		paid := max(min(amount, -c.credit), 0)
		c.credit += paid
		amount -= paid
	}
}

// hasEligible reports whether the class has an item that may run.
func (c *class) hasEligible() bool {
	return c.heaps[byService].top() != nil
}
