package queue

// init prepares a zero Queue.
func (q *Queue) init() {
	if q.byID != nil {
		return
	}
	q.byID = make(map[string]*entry)
	q.teams = make(map[string]*team)
	q.delayed = make(map[*node]struct{})
	for i := range q.classes {
		c := &q.classes[i]
		c.kind = Class(i)
		for kind := range c.heaps {
			c.heaps[kind].kind = kind
			c.heaps[kind].steps = &q.steps
		}
	}
	q.Reconfigure(q.Limits)
	for i := range q.classes {
		q.classes[i].credit = q.classes[i].burst()
	}
}

// Reconfigure replaces the limits. Waiting items stay, even above a smaller
// bound; items that cost more than a smaller quota wait until it is raised.
func (q *Queue) Reconfigure(l Limits) {
	q.Limits = l
	q.limits = l.withDefaults()
	q.init()
	for i := range q.classes {
		q.classes[i].limits = q.limits.Class[i]
	}
	for name, t := range q.teams {
		limits := q.limits.team(name)
		for _, n := range t.nodes {
			if n != nil && n.waiting > 0 {
				n.class.weights += limits.Weight - t.limits.Weight
			}
		}
		t.limits = limits
		q.refreshNodes(t)
	}
}

// node returns the node of a team and class, or nil when there are too many teams.
func (q *Queue) node(name string, kind Class) *node {
	if _, ok := q.teams[name]; !ok && len(q.teams) >= q.limits.MaxTeams && !q.forgetOne() {
		return nil
	}
	return q.nodeOf(q.newTeam(name), kind)
}

// newTeam returns the team with the given name and makes it if needed.
func (q *Queue) newTeam(name string) *team {
	if t, ok := q.teams[name]; ok {
		return t
	}
	t := &team{name: name, limits: q.limits.team(name)}
	q.teams[name] = t
	q.setIdle(t)
	return t
}

func (q *Queue) nodeOf(t *team, kind Class) *node {
	if t.nodes[kind] == nil {
		t.nodes[kind] = &node{team: t, class: &q.classes[kind], last: q.now, place: [heapKinds]int{-1, -1, -1}}
	}
	return t.nodes[kind]
}

// setIdle keeps the list of teams that may be forgotten.
func (q *Queue) setIdle(t *team) {
	idle := t.waiting == 0 && t.running == 0
	switch {
	case idle && t.idle == nil:
		t.idle = q.idle.PushBack(t)
	case !idle && t.idle != nil:
		q.idle.Remove(t.idle)
		t.idle = nil
	}
}

// forgetOne forgets the team that has been idle for longest, with its counters.
func (q *Queue) forgetOne() bool {
	front := q.idle.Front()
	if front == nil {
		return false
	}
	t := front.Value.(*team)
	q.idle.Remove(front)
	delete(q.teams, t.name)
	return true
}
