package queue

import (
	teamlist "container/list"
	"time"
)

// Queue orders waiting items by guaranteed shares. It is owned by one goroutine;
// set Limits before the first call and use Reconfigure later.
type Queue struct {
	Limits Limits
	// Capacity is the running cost that fits now, in the unit of Item.Cost; 0 means
	// unknown. The owner may change it at any time.
	Capacity int64

	limits  Limits
	classes [NumClasses]class
	teams   map[string]*team
	idle    teamlist.List
	byID    map[string]*entry
	wheel   wheel
	// late holds entries that Next found expired until Expire returns them.
	late    list
	delayed map[*node]struct{}
	waiting int
	seq     uint64
	now     time.Time
	counts  [NumClasses]Counts
	ended   []ending
	steps   uint64
}

// ending is a Done whose service is counted when the time is next known.
type ending struct {
	node          *node
	cost          int64
	running       int64
	classRunning  int64
	countsAsEnded bool
}

// Push admits an item or refuses it; the verdict names a waiting item that was dropped for it.
func (q *Queue) Push(now time.Time, it Item) PushResult {
	q.advance(now)
	if it.Cost < 1 {
		it.Cost = 1
	}
	if it.Enqueued.IsZero() {
		it.Enqueued = now
	}
	if reason := q.check(now, &it); reason != Admitted {
		return q.refuse(&it, reason)
	}
	n := q.node(it.Team, it.Class)
	if n == nil {
		return q.refuse(&it, TooManyTeams)
	}
	victim, reason := q.room(n)
	if reason != Admitted {
		return q.refuse(&it, reason)
	}
	verdict := PushResult{Reason: Admitted, ID: it.ID}
	if victim != nil {
		verdict.Dropped = victim.item
		verdict.HasDropped = true
		q.count(victim.node, func(c *Counts) { c.Dropped++ })
		q.take(victim)
	}
	q.seq++
	it.seq = q.seq
	e := q.enter(it, n)
	q.steps += n.ready.insert(e)
	q.refresh(n)
	return verdict
}

// check finds faults of the item alone.
func (q *Queue) check(now time.Time, it *Item) Reason {
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

// enter counts an item as waiting; the caller puts it into the ready list.
func (q *Queue) enter(it Item, n *node) *entry {
	e := &entry{item: it, node: n}
	q.byID[it.ID] = e
	q.wheel.add(e)
	q.wait(n, 1)
	return e
}

// wait changes the number of waiting items.
func (q *Queue) wait(n *node, by int) {
	if n.waiting == 0 {
		n.class.weights += n.team.limits.Weight
	}
	n.waiting += by
	if n.waiting == 0 {
		n.class.weights -= n.team.limits.Weight
	}
	n.team.waiting += by
	n.class.waiting += by
	q.waiting += by
	n.setActive()
	q.setIdle(n.team)
}

// take removes an entry from all lists.
func (q *Queue) take(e *entry) {
	n := e.node
	q.steps++
	e.list.remove(e)
	q.wheel.remove(e)
	delete(q.byID, e.item.ID)
	q.wait(n, -1)
	if n.deferred.size == 0 {
		delete(q.delayed, n)
	}
	q.refresh(n)
}

// refresh corrects the places of a node in the heaps of its class.
func (q *Queue) refresh(n *node) {
	heaps := &n.class.heaps
	in := n.eligible()
	if in && n.place[byService] < 0 {
		n.service = max(n.service, n.class.served)
		n.claimed = max(n.claimed, n.class.clock-n.class.itemService()/n.team.limits.Weight)
	}
	heaps[byService].update(n, in)
	heaps[byAge].update(n, in)
	heaps[byBacklog].update(n, n.ready.size+n.deferred.size > 0)
}

// refreshTeam corrects the nodes of a team after its running cost changed.
func (q *Queue) refreshTeam(t *team) {
	if t.limits.Quota > 0 {
		q.refreshNodes(t)
	}
}

func (q *Queue) refreshNodes(t *team) {
	for _, n := range t.nodes {
		if n != nil {
			q.refresh(n)
		}
	}
}

// Next takes the next item in order; the caller runs it and calls Done, or calls Requeue.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.advance(now)
	for {
		c := q.choose(now)
		if c == nil && q.expireBlocked(now) {
			continue
		}
		if c == nil {
			return Item{}, false
		}
		n := c.first(now)
		e := n.ready.front
		if e.item.expired(now) {
			q.setLate(e)
			continue
		}
		q.start(n, e.item.Cost)
		q.take(e)
		q.refreshTeam(n.team)
		return e.item, true
	}
}

// expireBlocked moves expired items out of the order that are above their team's
// quota; such an item would hide the ones behind it, which may fit the quota. It
// reports whether there were any.
func (q *Queue) expireBlocked(now time.Time) bool {
	found := false
	for _, t := range q.teams {
		if t.limits.Quota <= 0 {
			continue
		}
		for _, n := range t.nodes {
			for n != nil && n.ready.front != nil && !n.eligible() && n.ready.front.item.expired(now) {
				q.setLate(n.ready.front)
				found = true
			}
		}
	}
	return found
}

// choose returns the class to serve: first classes that are owed service, then
// all; within both by class after ageing, then by the oldest item. No service is
// lent past a class that is owed some and waits for headroom, or a flood of the
// more urgent class would use up the headroom and keep it waiting for ever.
func (q *Queue) choose(now time.Time) *class {
	running := q.running()
	for i := range q.classes {
		q.classes[i].setOwed(now, running)
	}
	var blocked [NumClasses]bool
	held := false
	for {
		best := q.foremost(now, &blocked)
		if best == nil || held && !best.owed {
			return nil
		}
		if q.leavesHeadroom(best) {
			return best
		}
		blocked[best.kind] = true
		held = held || best.owed
	}
}

// setOwed finds out whether the class or the team that is next in it is behind its
// guaranteed share. What the class runs now counts beside its account: with long
// runs the account alone would let it take more and more until the account is
// even, and then far too little. The team counts as well: a flood that borrowed
// for its class must not keep the other teams of the class from their shares.
func (c *class) setOwed(now time.Time, running int64) {
	c.owed = false
	if !c.waits() {
		return
	}
	behind := c.limits.Share*float64(running) - float64(c.running)
	c.owed = c.credit+behind*c.meanSeconds() > 0 || c.first(now).claimed < c.clock
}

// foremost returns the first of the classes that are not blocked.
func (q *Queue) foremost(now time.Time, blocked *[NumClasses]bool) *class {
	var best *class
	for i := range q.classes {
		c := &q.classes[i]
		if blocked[i] || !c.waits() {
			continue
		}
		if best == nil || c.before(best, now, q.limits.AgingInterval) {
			best = c
		}
	}
	return best
}

// leavesHeadroom reports whether the next item of c leaves the headroom of more urgent classes free.
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

// first returns the node with the least weighted service. Service only grows while
// items run, so a node that is still first after being settled is the right one.
func (c *class) first(now time.Time) *node {
	h := &c.heaps[byService]
	for {
		n := h.top()
		n.settle(now)
		h.update(n, true)
		if h.top() == n {
			return n
		}
	}
}

// start counts a running item and charges its expected service.
func (q *Queue) start(n *node, cost int64) {
	c := n.class
	c.served = max(c.served, n.service)
	expected := c.serviceTime() * float64(cost)
	n.prepaid += expected
	n.add(expected)
	c.prepaid += expected
	q.run(n, cost)
	n.rate = n.running
	c.rate = c.running
	q.charge(c, expected)
}

func (q *Queue) run(n *node, cost int64) {
	n.running += cost
	n.class.running += cost
	n.team.running += cost
	n.team.counts[n.class.kind].Running++
	q.counts[n.class.kind].Running++
	n.setActive()
	q.setIdle(n.team)
}

// setLate moves an expired entry out of the order.
func (q *Queue) setLate(e *entry) {
	e.list.remove(e)
	e.state = expired
	q.late.insertAfter(q.late.back, e)
	q.refresh(e.node)
}

// Done ends a running item.
func (q *Queue) Done(team string, class Class, cost int64) {
	q.stop(team, class, cost, true)
}

// stop takes a running item out of the counts; its service is settled when the time is next known.
func (q *Queue) stop(teamName string, kind Class, cost int64, ended bool) {
	q.init()
	t, ok := q.teams[teamName]
	if !ok || kind >= NumClasses || t.nodes[kind] == nil || t.counts[kind].Running == 0 {
		return
	}
	n := t.nodes[kind]
	cost = min(max(cost, 1), n.running)
	q.ended = append(q.ended, ending{n, cost, n.running, n.class.running, ended})
	n.running -= cost
	n.class.running -= cost
	t.running -= cost
	t.counts[kind].Running--
	q.counts[kind].Running--
	n.setActive()
	q.setIdle(t)
	q.refreshTeam(t)
}

// RestoreRunning counts work that runs already, as found at takeover.
func (q *Queue) RestoreRunning(it Item) {
	q.init()
	if it.Class >= NumClasses {
		return
	}
	n := q.nodeOf(q.newTeam(it.Team), it.Class)
	q.run(n, max(it.Cost, 1))
	q.refreshTeam(n.team)
}

// Requeue puts an item taken by Next back at its old place. It reports false when
// an item with this id has been pushed since.
func (q *Queue) Requeue(it Item) bool {
	q.stop(it.Team, it.Class, it.Cost, false)
	if _, ok := q.byID[it.ID]; ok {
		return false
	}
	n := q.nodeOf(q.newTeam(it.Team), it.Class)
	e := q.enter(it, n)
	q.steps += n.ready.insertFromFront(e)
	q.refresh(n)
	return true
}

// Suspend passes over a waiting item until ResumeAll; it keeps its place.
func (q *Queue) Suspend(id string) bool {
	e, ok := q.byID[id]
	if !ok || e.state != ready {
		return ok
	}
	n := e.node
	n.ready.remove(e)
	e.state = deferred
	q.steps += n.deferred.insert(e)
	q.delayed[n] = struct{}{}
	q.refresh(n)
	return true
}

// ResumeAll makes all deferred items eligible again.
func (q *Queue) ResumeAll() {
	for n := range q.delayed {
		for n.deferred.back != nil {
			e := n.deferred.back
			n.deferred.remove(e)
			e.state = ready
			q.steps += n.ready.insertFromFront(e)
		}
		q.refresh(n)
	}
	clear(q.delayed)
}

// Cancel removes a waiting item; it reports false when none has this id.
func (q *Queue) Cancel(id string) bool {
	e, ok := q.byID[id]
	if !ok {
		return false
	}
	q.count(e.node, func(c *Counts) { c.Cancelled++ })
	q.take(e)
	return true
}

// Expire removes the items whose deadline has passed and returns them. The
// deadline of an item counts in whole milliseconds here and exactly in Next.
func (q *Queue) Expire(now time.Time) []Item {
	q.advance(now)
	q.wheel.advance(now)
	var items []Item
	for q.wheel.due != nil {
		items = append(items, q.drop(q.wheel.due))
	}
	for q.late.front != nil {
		items = append(items, q.drop(q.late.front))
	}
	return items
}

func (q *Queue) drop(e *entry) Item {
	q.count(e.node, func(c *Counts) { c.Expired++ })
	q.take(e)
	return e.item
}

// advance settles the service up to now; time never goes back.
func (q *Queue) advance(now time.Time) {
	q.init()
	if q.wheel.start.IsZero() {
		q.wheel.start = now
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
	for _, e := range q.ended {
		q.settleEnding(now, e)
	}
	q.ended = q.ended[:0]
}

// settleEnding gives back what an ended item prepaid and did not use.
func (q *Queue) settleEnding(now time.Time, e ending) {
	e.node.settle(now)
	e.node.refund(e.cost, e.running)
	c := e.node.class
	back := refundOf(c.prepaid, e.cost, e.classRunning)
	c.prepaid -= back
	q.charge(c, -back)
	if e.countsAsEnded {
		c.ended(e.cost)
	}
	q.refresh(e.node)
}
