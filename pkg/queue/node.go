package queue

import (
	"container/heap"
	teamlist "container/list"
	"time"
)

// The heaps in which a node has a place.
const (
	// byService orders eligible nodes by the weighted service they received.
	byService = iota
	// byAge orders eligible nodes by the time of their first item.
	byAge
	// byBacklog orders nodes with waiting items by their weighted number.
	byBacklog

	heapKinds
)

// node is one team within one class.
type node struct {
	team  *team
	class *class

	ready, deferred list
	waiting         int
	running         int64
	// active is the weight counted in the class while items wait or run.
	active float64

	// service is the weighted service received, in cost x seconds / weight. It
	// counts the expected service of an item when the item starts; prepaid is the
	// part of it that has not been used yet.
	service float64
	// claimed counts the same service against the clock of the class: the team is
	// owed service while it is behind.
	claimed float64
	prepaid float64
	// rate is the running cost since last, in which service was not counted yet.
	rate int64
	last time.Time

	place [heapKinds]int
}

// team holds what is counted over all classes.
type team struct {
	name    string
	limits  TeamLimits
	nodes   [NumClasses]*node
	waiting int
	running int64
	counts  [NumClasses]Counts
	// idle is the place among the teams without waiting or running items.
	idle *teamlist.Element
}

// settle counts the service of the running items up to now.
func (n *node) settle(now time.Time) {
	used := float64(n.rate) * max(now.Sub(n.last).Seconds(), 0)
	n.last = now
	n.rate = n.running
	paid := min(used, n.prepaid)
	n.prepaid -= paid
	n.add(used - paid)
	// A long use of idle capacity must not keep a team from its share later.
	n.service = min(n.service, n.class.served+n.class.burst()/n.team.limits.Weight)
	// Nor may a long wait for a free place make up for it by taking all of them.
	n.claimed = max(n.claimed, n.class.clock-burstItems*n.class.itemService()/n.team.limits.Weight)
}

// refund takes back what an ended item prepaid and did not use; running still counts the item.
func (n *node) refund(cost, running int64) {
	back := refundOf(n.prepaid, cost, running)
	n.prepaid -= back
	n.add(-back)
}

// add counts service, given in cost x seconds.
func (n *node) add(amount float64) {
	n.service += amount / n.team.limits.Weight
	n.claimed += amount / n.team.limits.Weight
}

// refundOf returns the part of prepaid that belongs to cost out of running.
func refundOf(prepaid float64, cost, running int64) float64 {
	if running <= cost {
		return prepaid
	}
	return prepaid * float64(cost) / float64(running)
}

// setActive counts the weight of the team in the class while it has items.
func (n *node) setActive() {
	weight := 0.0
	if n.waiting > 0 || n.running > 0 {
		weight = n.team.limits.Weight
	}
	n.class.active += weight - n.active
	n.active = weight
}

// eligible reports whether the first ready item may run as far as the quota goes.
func (n *node) eligible() bool {
	front := n.ready.front
	if front == nil {
		return false
	}
	quota := n.team.limits.Quota
	return quota <= 0 || n.team.running+front.item.Cost <= quota
}

// newest returns the waiting item that arrived last.
func (n *node) newest() *entry {
	a, b := n.ready.back, n.deferred.back
	if a == nil || b != nil && b.item.seq > a.item.seq {
		return b
	}
	return a
}

// nodeHeap is a heap of nodes that know their place in it.
type nodeHeap struct {
	kind  int
	steps *uint64
	nodes []*node
}

func (h *nodeHeap) Len() int { return len(h.nodes) }

func (h *nodeHeap) Less(i, j int) bool {
	*h.steps++
	a, b := h.nodes[i], h.nodes[j]
	switch h.kind {
	case byService:
		if a.service != b.service {
			return a.service < b.service
		}
		return a.ready.front.item.seq < b.ready.front.item.seq
	case byAge:
		return a.ready.front.item.Enqueued.Before(b.ready.front.item.Enqueued)
	default:
		return float64(a.waiting)*b.team.limits.Weight > float64(b.waiting)*a.team.limits.Weight
	}
}

func (h *nodeHeap) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].place[h.kind] = i
	h.nodes[j].place[h.kind] = j
}

// Push is called by container/heap only.
func (h *nodeHeap) Push(x any) {
	n := x.(*node)
	n.place[h.kind] = len(h.nodes)
	h.nodes = append(h.nodes, n)
}

// Pop is called by container/heap only.
func (h *nodeHeap) Pop() any {
	last := len(h.nodes) - 1
	n := h.nodes[last]
	h.nodes[last] = nil
	h.nodes = h.nodes[:last]
	n.place[h.kind] = -1
	return n
}

// update puts n in, out of or to its new place of the heap.
func (h *nodeHeap) update(n *node, in bool) {
	at := n.place[h.kind]
	switch {
	case in && at < 0:
		heap.Push(h, n)
	case in:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}

func (h *nodeHeap) top() *node {
	if len(h.nodes) == 0 {
		return nil
	}
	return h.nodes[0]
}
