package queue

import "time"

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// retryFraction is the fraction of the waiting items of the class that should have been
	// served before a retry.
	retryFraction = 0.1
)

// Counts holds the statistics of one class or of one team in a class. Waiting, Running,
// RunningCost and OldestWait are gauges, the others are counters.
type Counts struct {
	Waiting int64 `json:"waiting"`
	// Running is a number of items, RunningCost is in the unit of Item.Cost.
	Running     int64 `json:"running"`
	RunningCost int64 `json:"running_cost"`
	Refused     int64 `json:"refused"`
	// Dropped counts the items that were admitted and later dropped to make room for others.
	Dropped   int64 `json:"dropped"`
	Expired   int64 `json:"expired"`
	Cancelled int64 `json:"cancelled"`
	// OldestWait is the waiting time of the first item as of the latest time passed to the
	// queue.
	OldestWait time.Duration `json:"oldest_wait"`
}

// Stats holds the statistics of a Queue.
type Stats struct {
	Class [NumClasses]Counts            `json:"class"`
	Team  map[string][NumClasses]Counts `json:"team"`
	// Steps is the number of comparisons and list steps so far, a machine-independent measure
	// of the cost of the queue operations.
	Steps uint64 `json:"steps"`
}

// Stats returns the statistics by class and team. The counters of an idle team are lost when
// the team is evicted because of Limits.MaxTeams.
func (q *Queue) Stats() Stats {
	q.init()
	s := Stats{Class: q.counts, Team: make(map[string][NumClasses]Counts, len(q.teams)), Steps: q.steps + q.deadlines.cascaded}
	for name, t := range q.teams {
		counts := t.counts
		for kind, f := range t.flows {
			if f == nil {
				continue
			}
			wait := q.oldestWait(f)
			counts[kind].Waiting = int64(f.waiting)
			counts[kind].RunningCost = f.running
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

func (q *Queue) oldestWait(f *flow) time.Duration {
	wait := time.Duration(0)
	for _, e := range []*entry{f.ready.front, f.suspended.front} {
		if e != nil {
			wait = max(wait, q.now.Sub(e.item.Enqueued))
		}
	}
	return wait
}

// count applies change to the counters of the class and the team of a flow.
func (q *Queue) count(f *flow, change func(*Counts)) {
	change(&q.counts[f.class.kind])
	change(&f.team.counts[f.class.kind])
}

// refuse counts a refusal and returns the result for it. Refusals of unknown teams are
// counted only for the class, so that made-up team names take no memory.
func (q *Queue) refuse(it *Item, reason Reason) PushResult {
	res := PushResult{Reason: reason, ID: it.ID}
	if it.Class >= NumClasses {
		return res
	}
	q.counts[it.Class].Refused++
	if t, ok := q.teams[it.Team]; ok {
		t.counts[it.Class].Refused++
	}
	switch reason {
	case QueueFull, ClassFull, TeamFull, TooManyTeams:
		res.RetryAfter = q.retryAfter(&q.classes[it.Class])
	}
	return res
}

// retryAfter estimates the time until retryFraction of the waiting items of the class have
// been served.
func (q *Queue) retryAfter(c *class) time.Duration {
	cost := c.meanCost()
	served := max(float64(c.running), c.limits.Share*float64(q.running()), cost)
	seconds := retryFraction * float64(c.waiting) * cost * c.meanSeconds() / served
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
