package queue

// room finds out whether one more item of n may wait, and which entry must go for it.
func (q *Queue) room(n *node) (*entry, Reason) {
	c, t := n.class, n.team
	teamFull := t.waiting >= t.limits.MaxItems
	classFull := c.waiting >= c.limits.MaxItems
	switch {
	case teamFull && classFull:
		// No one item that goes would leave both below their bounds and keep the shares.
		return nil, TeamFull
	case teamFull:
		return q.roomInTeam(n)
	case classFull:
		return q.roomInClass(n, c, c.limits.MaxItems, ClassFull)
	case q.waiting >= q.limits.MaxTotal:
		return q.roomInSum(n)
	}
	return nil, Admitted
}

// roomInTeam makes room for a class below its share of the team's bound.
func (q *Queue) roomInTeam(n *node) (*entry, Reason) {
	bound := float64(n.team.limits.MaxItems)
	if float64(n.waiting+1) > n.class.limits.Share*bound {
		return nil, TeamFull
	}
	var most *node
	excess := 0.0
	for _, other := range n.team.nodes {
		if other == nil {
			continue
		}
		above := float64(other.waiting) - other.class.limits.Share*bound
		if above > excess && other.newest() != nil {
			most, excess = other, above
		}
	}
	if most == nil {
		return nil, TeamFull
	}
	return most.newest(), Admitted
}

// roomInClass makes room for a team below its share of the places of victimClass.
func (q *Queue) roomInClass(n *node, from *class, places int, reason Reason) (*entry, Reason) {
	most := from.heaps[byBacklog].top()
	if most == nil || most == n {
		return nil, reason
	}
	if from != n.class {
		return most.newest(), Admitted
	}
	// The new item must leave its team with less than the other one keeps.
	if float64(n.waiting+1)*most.team.limits.Weight > float64(most.waiting-1)*n.team.limits.Weight {
		return nil, reason
	}
	if float64(n.waiting+1) > max(from.teamShare(n)*float64(places), 1) {
		return nil, reason
	}
	return most.newest(), Admitted
}

// roomInSum makes room for a class below its share of the queue, or for a team below its share of the class.
func (q *Queue) roomInSum(n *node) (*entry, Reason) {
	sum := float64(q.limits.MaxTotal)
	if float64(n.class.waiting+1) > n.class.limits.Share*sum {
		return q.roomInClass(n, n.class, n.class.waiting, QueueFull)
	}
	most, excess := n.class, 0.0
	for i := range q.classes {
		c := &q.classes[i]
		above := float64(c.waiting) - c.limits.Share*sum
		if above > excess && c.heaps[byBacklog].top() != nil {
			most, excess = c, above
		}
	}
	return q.roomInClass(n, most, n.class.waiting, QueueFull)
}

// teamShare returns the guaranteed fraction of the class for the team of n.
func (c *class) teamShare(n *node) float64 {
	weights := c.weights
	if n.waiting == 0 {
		weights += n.team.limits.Weight
	}
	return n.team.limits.Weight / weights
}
