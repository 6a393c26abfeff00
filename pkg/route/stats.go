package route

// Stats are counters since the start. Outcomes are counted once they are certain.
type Stats struct {
	Answered, Refused, Failed, Unknown uint64
	Attempts, Retries                  uint64
	RetriesOverBudget                  uint64
	LateAnswers                        uint64 // arrived after their request had its outcome
	WrongAnswers                       uint64 // Request-Id of another request
	TruncatedAnswers                   uint64
	NotRunRefusals                     uint64
	AbandonedRequests                  uint64 // cancelled after the linger time
	Ejections                          uint64
	SilentConnections                  uint64
	ConnectionsOpened                  uint64
	DialFailures                       uint64
	PollFailures                       uint64
}

// Stats returns the counters.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

func (r *Router) count(f func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.stats)
}

// Snapshot describes the backend servers.
func (r *Router) Snapshot() []Status {
	list, servers := r.statuses()
	for i, s := range servers {
		list[i].OpenConnections = s.links.count()
	}
	return list
}

func (r *Router) statuses() ([]Status, []*server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	n := r.peersLocked(now)
	list := make([]Status, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s.status(now, n, r.ejectedLocked(s, now)))
	}
	return list, r.servers
}
