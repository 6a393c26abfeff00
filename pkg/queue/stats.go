package queue

import "time"

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// retryPart is the part of the waiting items of the class that should have left before a retry.
	retryPart = 0.1
)

// Counts holds the figures of one class or of one team in a class; all but
// Waiting, Running, RunningCost and OldestWait only grow.
type Counts struct {
	Waiting int64 `json:"waiting"`
	// Running is in items, RunningCost in the unit of Item.Cost.
	Running     int64 `json:"running"`
	RunningCost int64 `json:"running_cost"`
	Refused     int64 `json:"refused"`
	// Dropped items were admitted and later refused to make room.
	Dropped   int64 `json:"dropped"`
	Expired   int64 `json:"expired"`
	Cancelled int64 `json:"cancelled"`
	// OldestWait is the waiting time of the first item at the latest time passed to the queue.
	OldestWait time.Duration `json:"oldest_wait"`
}

// Stats holds the figures of a Queue.
type Stats struct {
	Class [NumClasses]Counts            `json:"class"`
	Team  map[string][NumClasses]Counts `json:"team"`
	// Steps is the number of comparisons and list steps taken so far, the cost of the queue itself.
	Steps uint64 `json:"steps"`
}

// Stats returns the figures per class and team. A team that was idle when more
// than Limits.MaxTeams were seen starts again from 0.
func (q *Queue) Stats() Stats {
	q.init()
	s := Stats{Class: q.counts, Team: make(map[string][NumClasses]Counts, len(q.teams)), Steps: q.steps + q.wheel.moved}
	for name, t := range q.teams {
		counts := t.counts
		for kind, n := range t.nodes {
			if n == nil {
				continue
			}
			wait := q.oldestWait(n)
			counts[kind].Waiting = int64(n.waiting)
			counts[kind].RunningCost = n.running
			counts[kind].OldestWait = wait
			s.Class[kind].OldestWait = max(s.Class[kind].OldestWait, wait)
		}
		s.Team[name] = counts
	}
	for kind := range q.classes {
		s.Class[kind].Waiting = int64(q.classes[kind].waiting)
		s.Class[kind].RunningCost = q.classes[kind].running
	}
	return s
}

func (q *Queue) oldestWait(n *node) time.Duration {
	wait := time.Duration(0)
	for _, e := range []*entry{n.ready.front, n.deferred.front} {
		if e != nil {
			wait = max(wait, q.now.Sub(e.item.Enqueued))
		}
	}
	return wait
}

// count changes the counters of a node's class and team.
func (q *Queue) count(n *node, change func(*Counts)) {
	change(&q.counts[n.class.kind])
	change(&n.team.counts[n.class.kind])
}

// refuse counts a refusal and returns its verdict. Teams that are not known are
// counted in their class only, so that invented names take no memory.
func (q *Queue) refuse(it *Item, reason Reason) PushResult {
	v := PushResult{Reason: reason, ID: it.ID}
	if it.Class >= NumClasses {
		return v
	}
	q.counts[it.Class].Refused++
	if t, ok := q.teams[it.Team]; ok {
		t.counts[it.Class].Refused++
	}
	switch reason {
	case QueueFull, ClassFull, TeamFull, TooManyTeams:
		v.RetryAfter = q.retryAfter(&q.classes[it.Class])
	}
	return v
}

// retryAfter estimates when a tenth of the class has left the queue.
func (q *Queue) retryAfter(c *class) time.Duration {
	cost := c.meanCost()
	served := max(float64(c.running), c.limits.Share*float64(q.running()), cost)
	seconds := retryPart * float64(c.waiting) * cost * c.meanSeconds() / served
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
