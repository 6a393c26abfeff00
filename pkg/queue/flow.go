package queue

import (
	"container/heap"
	"container/list"
	"time"
)

// The heaps of each class.
const (
	// byService orders eligible flows by the weighted service they received, least first.
	byService = iota
	// byAge orders eligible flows by the enqueueing time of their first item, oldest first.
	byAge
	// byBacklog orders flows with waiting items by the number of items per weight, most first.
	byBacklog

	numHeaps
)

// flow holds the items of one team in one class, the unit of fair queueing.
type flow struct {
	team  *team
	class *class

	ready, suspended entryList
	waiting          int
	running          int64
	// activeWeight is the weight included in class.activeWeight, 0 while no items wait or run.
	activeWeight float64

	// weightedService is the service received, in cost x seconds / weight. It includes the
	// expected service of each item from the start of the item on.
	weightedService float64
	// shareUsed is the same service, compared with class.shareAccrued: the team is owed
	// service while shareUsed is lower.
	shareUsed float64
	// prepaid is the service charged for running items that they have not used yet.
	prepaid float64
	// rate is the running cost since settledAt. That service has not been accounted for.
	rate      int64
	settledAt time.Time

	// heapIndex is the index in each heap of the class, or -1.
	heapIndex [numHeaps]int
}

// team holds the flows of a team and its counters over all classes.
type team struct {
	name    string
	limits  TeamLimits
	flows   [NumClasses]*flow
	waiting int
	running int64
	counts  [NumClasses]Counts
	// idleElement is the element in Queue.idleTeams, or nil while items wait or run.
	idleElement *list.Element
}

// settle accounts for the service of the running items up to now.
func (f *flow) settle(now time.Time) {
	used := float64(f.rate) * max(now.Sub(f.settledAt).Seconds(), 0)
	f.settledAt = now
	f.rate = f.running
	paid := min(used, f.prepaid)
	f.prepaid -= paid
	f.addService(used - paid)
	// Limit the lead, so that a team that used idle capacity for long gets its share later.
	f.weightedService = min(f.weightedService, f.class.virtualTime+f.class.burst()/f.team.limits.Weight)
	// Limit the arrears as well, so that a team that waited for long does not take all slots.
	f.shareUsed = max(f.shareUsed, f.class.shareAccrued-burstItems*f.class.itemService()/f.team.limits.Weight)
}

// refund returns the unused prepaid service of an ended item. running is the running cost
// including that item.
func (f *flow) refund(cost, running int64) {
	unused := refundOf(f.prepaid, cost, running)
	f.prepaid -= unused
	f.addService(-unused)
}

// addService adds service, given in cost x seconds.
func (f *flow) addService(amount float64) {
	f.weightedService += amount / f.team.limits.Weight
	f.shareUsed += amount / f.team.limits.Weight
}

// refundOf returns the part of prepaid that is proportional to cost out of running.
func refundOf(prepaid float64, cost, running int64) float64 {
	if running <= cost {
		return prepaid
	}
	return prepaid * float64(cost) / float64(running)
}

// updateActive includes the weight of the team in class.activeWeight while the flow has
// waiting or running items.
func (f *flow) updateActive() {
	weight := 0.0
	if f.waiting > 0 || f.running > 0 {
		weight = f.team.limits.Weight
	}
	f.class.activeWeight += weight - f.activeWeight
	f.activeWeight = weight
}

// eligible reports whether there is a ready item and the quota of the team allows the first
// one to run.
func (f *flow) eligible() bool {
	front := f.ready.front
	if front == nil {
		return false
	}
	quota := f.team.limits.Quota
	return quota <= 0 || f.team.running+front.item.Cost <= quota
}

// newest returns the waiting item that arrived last.
func (f *flow) newest() *entry {
	a, b := f.ready.back, f.suspended.back
	if a == nil || b != nil && b.item.seq > a.item.seq {
		return b
	}
	return a
}

// flowHeap is a heap of flows; flow.heapIndex tracks their positions.
type flowHeap struct {
	kind  int
	steps *uint64
	flows []*flow
}

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(i, j int) bool {
	*h.steps++
	a, b := h.flows[i], h.flows[j]
	switch h.kind {
	case byService:
		if a.weightedService != b.weightedService {
			return a.weightedService < b.weightedService
		}
		return a.ready.front.item.seq < b.ready.front.item.seq
	case byAge:
		return a.ready.front.item.Enqueued.Before(b.ready.front.item.Enqueued)
	default:
		return float64(a.waiting)*b.team.limits.Weight > float64(b.waiting)*a.team.limits.Weight
	}
}

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex[h.kind] = i
	h.flows[j].heapIndex[h.kind] = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex[h.kind] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.heapIndex[h.kind] = -1
	return f
}

// update adds f to the heap, moves it to its new position or removes it, so that it is in the
// heap if and only if in is set.
func (h *flowHeap) update(f *flow, in bool) {
	at := f.heapIndex[h.kind]
	switch {
	case in && at < 0:
		heap.Push(h, f)
	case in:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}

func (h *flowHeap) top() *flow {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}
