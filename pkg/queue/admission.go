package queue

// admit decides whether the queue accepts one more item of f. If the limits require it, admit
// returns a waiting entry to be dropped in exchange.
func (q *Queue) admit(f *flow) (*entry, Reason) {
	c, t := f.class, f.team
	teamFull := t.waiting >= t.limits.MaxItems
	classFull := c.waiting >= c.limits.MaxItems
	switch {
	case teamFull && classFull:
		// No single item could be dropped to satisfy both limits and preserve the shares.
		return nil, TeamFull
	case teamFull:
		return q.admitToTeam(f)
	case classFull:
		return q.admitToClass(f, c, c.limits.MaxItems, ClassFull)
	case q.waiting >= q.limits.MaxTotal:
		return q.admitToQueue(f)
	}
	return nil, Admitted
}

// admitToTeam handles a team at its limit. A class below its share of that limit replaces an
// item of the class that exceeds its share the most.
func (q *Queue) admitToTeam(f *flow) (*entry, Reason) {
	limit := float64(f.team.limits.MaxItems)
	if float64(f.waiting+1) > f.class.limits.Share*limit {
		return nil, TeamFull
	}
	var largest *flow
	excess := 0.0
	for _, other := range f.team.flows {
		if other == nil {
			continue
		}
		surplus := float64(other.waiting) - other.class.limits.Share*limit
		if surplus > excess && other.newest() != nil {
			largest, excess = other, surplus
		}
	}
	if largest == nil {
		return nil, TeamFull
	}
	return largest.newest(), Admitted
}

// admitToClass handles a class, or the queue, at its limit. The item to drop belongs to the
// flow of victimClass with the largest backlog per weight. If victimClass is the class of f, the
// team of f must also be below its share of limit.
func (q *Queue) admitToClass(f *flow, victimClass *class, limit int, reason Reason) (*entry, Reason) {
	largest := victimClass.heaps[byBacklog].top()
	if largest == nil || largest == f {
		return nil, reason
	}
	if victimClass != f.class {
		return largest.newest(), Admitted
	}
	// Even with the new item, the team must not have more items per weight than the other team
	// keeps.
	if float64(f.waiting+1)*largest.team.limits.Weight > float64(largest.waiting-1)*f.team.limits.Weight {
		return nil, reason
	}
	if float64(f.waiting+1) > max(victimClass.teamShare(f)*float64(limit), 1) {
		return nil, reason
	}
	return largest.newest(), Admitted
}

// admitToQueue handles a queue at its total limit. A class below its share of the queue replaces
// an item of the class that exceeds its share the most; otherwise a team below its share of the
// class replaces an item of another team.
func (q *Queue) admitToQueue(f *flow) (*entry, Reason) {
	limit := float64(q.limits.MaxTotal)
	if float64(f.class.waiting+1) > f.class.limits.Share*limit {
		return q.admitToClass(f, f.class, f.class.waiting, QueueFull)
	}
	largest, excess := f.class, 0.0
	for i := range q.classes {
		c := &q.classes[i]
		surplus := float64(c.waiting) - c.limits.Share*limit
		if surplus > excess && c.heaps[byBacklog].top() != nil {
			largest, excess = c, surplus
		}
	}
	return q.admitToClass(f, largest, f.class.waiting, QueueFull)
}

// teamShare returns the guaranteed fraction of the class for the team of f.
func (c *class) teamShare(f *flow) float64 {
	weights := c.waitingWeight
	if f.waiting == 0 {
		weights += f.team.limits.Weight
	}
	return f.team.limits.Weight / weights
}
