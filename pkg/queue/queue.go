package queue

import (
	"container/list"
	"time"
)

// Queue holds waiting items and selects the next one to run. Set Limits before the
// first call and use Reconfigure afterwards. A Queue is not safe for concurrent use.
type Queue struct {
	Limits Limits
	// Capacity is the total cost that may run at the same time, in the unit of
	// Item.Cost; 0 means unknown. It may be changed at any time.
	Capacity int64

	limits    Limits
	classes   [NumClasses]class
	teams     map[string]*team
	idleTeams list.List
	byID      map[string]*entry
	deadlines timingWheel
	// expiredEntries holds the entries that Next found expired until Expire returns them.
	expiredEntries entryList
	// suspendedFlows has the flows with suspended entries.
	suspendedFlows map[*flow]struct{}
	waiting        int
	seq            uint64
	now            time.Time
	counts         [NumClasses]Counts
	unsettled      []endedRun
	steps          uint64
}

// endedRun is an item that stopped running. Done and Requeue are not passed the
// time, so its service is settled at the next call that is.
type endedRun struct {
	flow *flow
	cost int64
	// running and classRunning are the running costs of the flow and of its class, including
	// this item.
	running      int64
	classRunning int64
	// completed is set if the item ran to its end and counts for the means.
	completed bool
}

// Push adds an item to the queue or refuses it. The result also has the waiting item
// that was dropped to make room, if any.
func (q *Queue) Push(now time.Time, it Item) PushResult {
	q.advance(now)
	if it.Cost < 1 {
		it.Cost = 1
	}
	if it.Enqueued.IsZero() {
		it.Enqueued = now
	}
	if reason := q.validate(now, &it); reason != Admitted {
		return q.refuse(&it, reason)
	}
	f := q.flowFor(it.Team, it.Class)
	if f == nil {
		return q.refuse(&it, TooManyTeams)
	}
	victim, reason := q.admit(f)
	if reason != Admitted {
		return q.refuse(&it, reason)
	}
	res := PushResult{Reason: Admitted, ID: it.ID}
	if victim != nil {
		res.Dropped = victim.item
		res.HasDropped = true
		q.count(victim.flow, func(c *Counts) { c.Dropped++ })
		q.removeEntry(victim)
	}
	q.seq++
	it.seq = q.seq
	e := q.addEntry(it, f)
	q.steps += f.ready.insert(e)
	q.updateHeaps(f)
	return res
}

// validate checks the item without regard to the free places of the queue.
func (q *Queue) validate(now time.Time, it *Item) Reason {
	if it.ID == "" || it.Class >= NumClasses {
		return Invalid
	}
	if _, ok := q.byID[it.ID]; ok {
		return Duplicate
	}
	if it.expired(now) {
		return DeadlinePassed
	}
	limits := q.limits.team(it.Team)
	if limits.Quota > 0 && it.Cost > limits.Quota {
		return AboveQuota
	}
	return Admitted
}

// addEntry registers an item as waiting. The caller adds the entry to the ready list.
func (q *Queue) addEntry(it Item, f *flow) *entry {
	e := &entry{item: it, flow: f}
	q.byID[it.ID] = e
	q.deadlines.add(e)
	q.addWaiting(f, 1)
	return e
}

// addWaiting adds delta to the numbers of waiting items.
func (q *Queue) addWaiting(f *flow, delta int) {
	if f.waiting == 0 {
		f.class.waitingWeight += f.team.limits.Weight
	}
	f.waiting += delta
	if f.waiting == 0 {
		f.class.waitingWeight -= f.team.limits.Weight
	}
	f.team.waiting += delta
	f.class.waiting += delta
	q.waiting += delta
	f.updateActive()
	q.updateIdle(f.team)
}

// removeEntry removes an entry from all lists and indexes.
func (q *Queue) removeEntry(e *entry) {
	f := e.flow
	q.steps++
	e.list.remove(e)
	q.deadlines.remove(e)
	delete(q.byID, e.item.ID)
	q.addWaiting(f, -1)
	if f.suspended.size == 0 {
		delete(q.suspendedFlows, f)
	}
	q.updateHeaps(f)
}

// updateHeaps updates the position of a flow in the heaps of its class.
func (q *Queue) updateHeaps(f *flow) {
	heaps := &f.class.heaps
	in := f.eligible()
	if in && f.heapIndex[byService] < 0 {
		f.weightedService = max(f.weightedService, f.class.virtualTime)
		f.shareUsed = max(f.shareUsed, f.class.shareAccrued-f.class.itemService()/f.team.limits.Weight)
	}
	heaps[byService].update(f, in)
	heaps[byAge].update(f, in)
	heaps[byBacklog].update(f, f.ready.size+f.suspended.size > 0)
}

// quotaUsageChanged updates the flows of a team after its running cost changed: with a
// quota, items may have become eligible or ineligible.
func (q *Queue) quotaUsageChanged(t *team) {
	if t.limits.Quota > 0 {
		q.updateTeamHeaps(t)
	}
}

func (q *Queue) updateTeamHeaps(t *team) {
	for _, f := range t.flows {
		if f != nil {
			q.updateHeaps(f)
		}
	}
}

// Next removes and returns the next item to run. The caller runs it and then calls Done,
// or calls Requeue.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.advance(now)
	for {
		c := q.selectClass(now)
		if c == nil && q.expireBlocked(now) {
			continue
		}
		if c == nil {
			return Item{}, false
		}
		f := c.nextFlow(now)
		e := f.ready.front
		if e.item.expired(now) {
			q.setExpired(e)
			continue
		}
		q.start(f, e.item.Cost)
		q.removeEntry(e)
		q.quotaUsageChanged(f.team)
		return e.item, true
	}
}

// expireBlocked sets aside expired items that exceed the quota of their team and reports
// whether there were any. Such an item would block the ones behind it, which may fit the
// quota.
func (q *Queue) expireBlocked(now time.Time) bool {
	found := false
	for _, t := range q.teams {
		if t.limits.Quota <= 0 {
			continue
		}
		for _, f := range t.flows {
			for f != nil && f.ready.front != nil && !f.eligible() && f.ready.front.item.expired(now) {
				q.setExpired(f.ready.front)
				found = true
			}
		}
	}
	return found
}

// selectClass returns the class to serve: classes that are owed service come first, then
// all others; ties are broken by the class after aging and then by the oldest item.
//
// While a class that is owed service waits for headroom, no service is lent to other
// classes. Otherwise a flood of a more urgent class would use up the headroom and starve it.
func (q *Queue) selectClass(now time.Time) *class {
	running := q.running()
	for i := range q.classes {
		q.classes[i].updateOwed(now, running)
	}
	var blocked [NumClasses]bool
	onlyOwed := false
	for {
		best := q.firstClass(now, &blocked)
		if best == nil || onlyOwed && !best.owed {
			return nil
		}
		if q.leavesHeadroom(best) {
			return best
		}
		blocked[best.kind] = true
		onlyOwed = onlyOwed || best.owed
	}
}

// updateOwed determines whether the class, or the team that is next in it, is behind its
// guaranteed share.
//
// The items that run now count in addition to the credit: with long runs, the credit alone
// would let the class take too much until the credit is used up, and then far too little.
// The share of the team counts as well, because a team that flooded the class and borrowed
// service must not deprive the other teams of the class of their shares.
func (c *class) updateOwed(now time.Time, running int64) {
	c.owed = false
	if !c.hasEligible() {
		return
	}
	behind := c.limits.Share*float64(running) - float64(c.running)
	c.owed = c.credit+behind*c.meanSeconds() > 0 || c.nextFlow(now).shareUsed < c.shareAccrued
}

// firstClass returns the first class in order of service that is not blocked and has an
// eligible item, or nil.
func (q *Queue) firstClass(now time.Time, blocked *[NumClasses]bool) *class {
	var best *class
	for i := range q.classes {
		c := &q.classes[i]
		if blocked[i] || !c.hasEligible() {
			continue
		}
		if best == nil || c.before(best, now, q.limits.AgingInterval) {
			best = c
		}
	}
	return best
}

// leavesHeadroom reports whether the headroom of the more urgent classes remains free when
// the next item of c is started.
func (q *Queue) leavesHeadroom(c *class) bool {
	if q.Capacity <= 0 {
		return true
	}
	left := q.Capacity - q.running() - c.heaps[byService].top().ready.front.item.Cost
	headroom := int64(0)
	for i := range c.kind {
		headroom += q.classes[i].limits.Headroom
	}
	return headroom == 0 || left >= headroom
}

// running returns the running cost of all classes.
func (q *Queue) running() int64 {
	sum := int64(0)
	for i := range q.classes {
		sum += q.classes[i].running
	}
	return sum
}

// nextFlow returns the flow with the least weighted service. Settling a flow can only
// increase its service, so a flow that is still first after being settled is the right one.
func (c *class) nextFlow(now time.Time) *flow {
	h := &c.heaps[byService]
	for {
		f := h.top()
		f.settle(now)
		h.update(f, true)
		if h.top() == f {
			return f
		}
	}
}

// start registers a running item and charges its expected service.
func (q *Queue) start(f *flow, cost int64) {
	c := f.class
	c.virtualTime = max(c.virtualTime, f.weightedService)
	expected := c.serviceTime() * float64(cost)
	f.prepaid += expected
	f.addService(expected)
	c.prepaid += expected
	q.addRunning(f, cost)
	f.rate = f.running
	c.rate = c.running
	q.charge(c, expected)
}

func (q *Queue) addRunning(f *flow, cost int64) {
	f.running += cost
	f.class.running += cost
	f.team.running += cost
	f.team.counts[f.class.kind].Running++
	q.counts[f.class.kind].Running++
	f.updateActive()
	q.updateIdle(f.team)
}

// setExpired moves an expired entry from the ready list to expiredEntries.
func (q *Queue) setExpired(e *entry) {
	e.list.remove(e)
	e.state = expired
	q.expiredEntries.insertAfter(q.expiredEntries.back, e)
	q.updateHeaps(e.flow)
}

// Done reports that a running item has ended.
func (q *Queue) Done(team string, class Class, cost int64) {
	q.stop(team, class, cost, true)
}

// stop removes a running item from the counters and records an endedRun, which advance
// settles.
func (q *Queue) stop(teamName string, kind Class, cost int64, ended bool) {
	q.init()
	t, ok := q.teams[teamName]
	if !ok || kind >= NumClasses || t.flows[kind] == nil || t.counts[kind].Running == 0 {
		return
	}
	f := t.flows[kind]
	cost = min(max(cost, 1), f.running)
	q.unsettled = append(q.unsettled, endedRun{f, cost, f.running, f.class.running, ended})
	f.running -= cost
	f.class.running -= cost
	t.running -= cost
	t.counts[kind].Running--
	q.counts[kind].Running--
	f.updateActive()
	q.updateIdle(t)
	q.quotaUsageChanged(t)
}

// RestoreRunning registers an item that already runs, as found at a takeover.
func (q *Queue) RestoreRunning(it Item) {
	q.init()
	if it.Class >= NumClasses {
		return
	}
	f := q.ensureFlow(q.ensureTeam(it.Team), it.Class)
	q.addRunning(f, max(it.Cost, 1))
	q.quotaUsageChanged(f.team)
}

// Requeue puts an item returned by Next back in its original position. It returns false
// if another item with this id has been pushed in the meantime.
func (q *Queue) Requeue(it Item) bool {
	q.stop(it.Team, it.Class, it.Cost, false)
	if _, ok := q.byID[it.ID]; ok {
		return false
	}
	f := q.ensureFlow(q.ensureTeam(it.Team), it.Class)
	e := q.addEntry(it, f)
	q.steps += f.ready.insertFromFront(e)
	q.updateHeaps(f)
	return true
}

// Suspend makes Next skip a waiting item until ResumeAll. The item keeps its position. It
// returns false if no item with this id is waiting.
func (q *Queue) Suspend(id string) bool {
	e, ok := q.byID[id]
	if !ok || e.state != ready {
		return ok
	}
	f := e.flow
	f.ready.remove(e)
	e.state = suspended
	q.steps += f.suspended.insert(e)
	q.suspendedFlows[f] = struct{}{}
	q.updateHeaps(f)
	return true
}

// ResumeAll makes all suspended items eligible again.
func (q *Queue) ResumeAll() {
	for f := range q.suspendedFlows {
		for f.suspended.back != nil {
			e := f.suspended.back
			f.suspended.remove(e)
			e.state = ready
			q.steps += f.ready.insertFromFront(e)
		}
		q.updateHeaps(f)
	}
	clear(q.suspendedFlows)
}

// Cancel removes a waiting item. It returns false if no item with this id is waiting.
func (q *Queue) Cancel(id string) bool {
	e, ok := q.byID[id]
	if !ok {
		return false
	}
	q.count(e.flow, func(c *Counts) { c.Cancelled++ })
	q.removeEntry(e)
	return true
}

// Expire removes and returns the items whose deadline has passed. Deadlines are rounded
// up to whole milliseconds here, whereas Next applies them exactly.
func (q *Queue) Expire(now time.Time) []Item {
	q.advance(now)
	q.deadlines.advance(now)
	var items []Item
	for q.deadlines.due != nil {
		items = append(items, q.expireEntry(q.deadlines.due))
	}
	for q.expiredEntries.front != nil {
		items = append(items, q.expireEntry(q.expiredEntries.front))
	}
	return items
}

func (q *Queue) expireEntry(e *entry) Item {
	q.count(e.flow, func(c *Counts) { c.Expired++ })
	q.removeEntry(e)
	return e.item
}

// advance settles the service up to now. A time before that of an earlier call counts as
// the time of that call.
func (q *Queue) advance(now time.Time) {
	q.init()
	if q.deadlines.start.IsZero() {
		q.deadlines.start = now
		q.now = now
	}
	if now.Before(q.now) {
		now = q.now
	}
	seconds := now.Sub(q.now).Seconds()
	q.now = now
	for i := range q.classes {
		c := &q.classes[i]
		if extra := c.settle(seconds); extra > 0 {
			q.charge(c, extra)
		}
	}
	for _, e := range q.unsettled {
		q.settleEnded(now, e)
	}
	q.unsettled = q.unsettled[:0]
}

// settleEnded refunds the prepaid service that an ended item did not use.
func (q *Queue) settleEnded(now time.Time, e endedRun) {
	e.flow.settle(now)
	e.flow.refund(e.cost, e.running)
	c := e.flow.class
	unused := refundOf(c.prepaid, e.cost, e.classRunning)
	c.prepaid -= unused
	q.charge(c, -unused)
	if e.completed {
		c.countEnded(e.cost)
	}
	q.updateHeaps(e.flow)
}
