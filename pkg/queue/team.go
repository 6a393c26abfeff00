package queue

// init initializes a zero Queue.
func (q *Queue) init() {
	if q.byID != nil {
		return
	}
	q.byID = make(map[string]*entry)
	q.teams = make(map[string]*team)
	q.suspendedFlows = make(map[*flow]struct{})
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

// Reconfigure replaces the limits. Waiting items stay in the queue even if they exceed a
// lowered limit. Items that cost more than a lowered quota wait until it is raised.
func (q *Queue) Reconfigure(l Limits) {
	q.Limits = l
	q.limits = l.withDefaults()
	q.init()
	for i := range q.classes {
		q.classes[i].limits = q.limits.Class[i]
	}
	for name, t := range q.teams {
		limits := q.limits.team(name)
		for _, f := range t.flows {
			if f != nil && f.waiting > 0 {
				f.class.waitingWeight += limits.Weight - t.limits.Weight
			}
		}
		t.limits = limits
		for _, f := range t.flows {
			if f != nil {
				f.updateActive()
			}
		}
		q.updateTeamHeaps(t)
	}
}

// flowFor returns the flow of a team and class, or nil if there are too many teams.
func (q *Queue) flowFor(name string, kind Class) *flow {
	if _, ok := q.teams[name]; !ok && len(q.teams) >= q.limits.MaxTeams && !q.evictIdleTeam() {
		return nil
	}
	return q.ensureFlow(q.ensureTeam(name), kind)
}

// ensureTeam returns the team with the given name and creates it if needed.
func (q *Queue) ensureTeam(name string) *team {
	if t, ok := q.teams[name]; ok {
		return t
	}
	t := &team{name: name, limits: q.limits.team(name)}
	q.teams[name] = t
	q.updateIdle(t)
	return t
}

func (q *Queue) ensureFlow(t *team, kind Class) *flow {
	if t.flows[kind] == nil {
		t.flows[kind] = &flow{team: t, class: &q.classes[kind], settledAt: q.now, heapIndex: [numHeaps]int{-1, -1, -1}}
	}
	return t.flows[kind]
}

// updateIdle adds the team to idleTeams or removes it from there.
func (q *Queue) updateIdle(t *team) {
	idle := t.waiting == 0 && t.running == 0
	switch {
	case idle && t.idleElement == nil:
		t.idleElement = q.idleTeams.PushBack(t)
	case !idle && t.idleElement != nil:
		q.idleTeams.Remove(t.idleElement)
		t.idleElement = nil
	}
}

// evictIdleTeam removes the team that has been idle the longest, including its counters, and
// reports whether there was one.
func (q *Queue) evictIdleTeam() bool {
	front := q.idleTeams.Front()
	if front == nil {
		return false
	}
	t := front.Value.(*team)
	q.idleTeams.Remove(front)
	delete(q.teams, t.name)
	return true
}
