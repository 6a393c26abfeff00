package route

// Stats are counters since the start. Outcomes are counted once they are final. The names of the
// metrics derive from the field names.
type Stats struct {
	Answered, Refused, Failed, Unknown uint64
	Attempts, Retries                  uint64
	RetriesOverBudget                  uint64
	LateAnswers                        uint64 // responses after the outcome of their request was decided
	WrongAnswers                       uint64 // responses with the Request-Id of another request
	TruncatedAnswers                   uint64
	NotRunRefusals                     uint64
	AbandonedRequests                  uint64 // cancelled after the grace period
	Ejections                          uint64
	SilentConnections                  uint64
	ConnectionsOpened                  uint64
	DialFailures                       uint64
	PollFailures                       uint64
	ChangesDropped                     uint64 // not reported to OnStateChange because it is too slow
}

// Stats returns the counters.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

func (r *Router) updateStats(f func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.stats)
}

// Snapshot returns the status of each backend server.
func (r *Router) Snapshot() []Status {
	list, servers := r.statuses()
	for i, s := range servers {
		list[i].OpenConnections = s.pool.openConns()
	}
	return list
}

func (r *Router) statuses() ([]Status, []*server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	n := r.peerCountLocked(now)
	list := make([]Status, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s.status(now, n, r.ejectedLocked(s, now)))
	}
	return list, r.servers
}
