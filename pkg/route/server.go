package route

import "time"

const (
	// ejectThreshold is the number of consecutive failures after which a server is ejected.
	ejectThreshold = 5
	minEjection    = time.Second
	maxEjection    = 60 * time.Second

	// avoidPeriod is how long a server that refused or failed a request is avoided. Its refusals
	// are quick, so it would otherwise look like the fastest server.
	avoidPeriod  = 50 * time.Millisecond
	avoidPenalty = time.Second
)

// server is the state of one backend server. Router.mu guards it, except for pool.
type server struct {
	Backend
	router *Router
	pool   connPool

	listedState     State
	slotsFromHealth bool // the instance list has no number of slots, so that of health reports is used
	busy            int  // slots taken by all entry instances, from the last health report
	reportedLeaving bool
	polling         bool
	notifiedState   string // the state that was last queued for OnStateChange

	goneSince time.Time

	granted     int
	grantExpiry time.Time
	used        int
	peakUsed    int // highest value of used since the last CollectDemands

	latency    PeakEWMA
	avoidSince time.Time // when it last refused or failed

	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time
}

// applyListEntry applies an entry of the instance list, unless a later incarnation is known.
func (s *server) applyListEntry(b Backend) {
	if b.Incarnation == 0 {
		b.Incarnation = s.Incarnation
	}
	if b.Incarnation < s.Incarnation {
		return
	}
	if b.Incarnation > s.Incarnation {
		s.resetForIncarnation(b.Incarnation)
	}
	if b.Address != s.Address {
		go s.pool.retire()
	}
	s.slotsFromHealth = b.Slots == 0
	if s.slotsFromHealth {
		b.Slots = s.Slots
	}
	s.Backend, s.listedState = b, b.State
}

// resetForIncarnation discards what was known about the server's earlier incarnation.
func (s *server) resetForIncarnation(incarnation int64) {
	s.Incarnation = incarnation
	s.reportedLeaving = false
	s.listedState = Live
	s.consecutiveFailures, s.consecutiveEjections, s.ejectedUntil = 0, 0, time.Time{}
	s.latency = PeakEWMA{}
	go s.pool.retire()
}

func (s *server) gone() bool {
	return s.listedState == Gone
}

func (s *server) leaving() bool {
	return s.reportedLeaving || s.listedState == Leaving || s.listedState == Gone
}

// slotLimit returns the number of slots that this instance may use now.
func (s *server) slotLimit(now time.Time, peers int) int {
	n := baseShare(s.Slots, peers)
	if now.Before(s.grantExpiry) {
		n += s.granted
	}
	return min(n, s.Slots)
}

// requestPoll requests a health poll from Run before the next regular one.
func (s *server) requestPoll() {
	select {
	case s.router.pollRequestsLocked() <- s:
	default: // enough polls are queued
	}
}

func (s *server) cost(now time.Time) float64 {
	penalty := time.Duration(0)
	if now.Sub(s.avoidSince) < avoidPeriod {
		penalty = avoidPenalty
	}
	return s.latency.Cost(now, s.used, penalty)
}

// recordSuccess resets the consecutive failures and ejections.
func (s *server) recordSuccess() {
	s.consecutiveFailures, s.consecutiveEjections = 0, 0
}

// recordFailure counts a failure and reports whether the server was ejected because of it. Each
// consecutive ejection lasts twice as long as the one before, up to maxEjection.
func (s *server) recordFailure(now time.Time) bool {
	s.consecutiveFailures++
	s.avoidSince = now
	if s.consecutiveFailures < ejectThreshold || now.Before(s.ejectedUntil) || !s.router.mayEjectLocked(now) {
		return false
	}
	d := min(minEjection<<min(s.consecutiveEjections, 6), maxEjection)
	s.ejectedUntil = now.Add(d)
	s.consecutiveEjections++
	s.router.stats.Ejections++
	s.notifyState(now)
	time.AfterFunc(d, s.router.signalSlot)
	return true
}

func (s *server) status(now time.Time, peers int, ejected bool) Status {
	st := Status{
		Backend: s.Backend, Base: baseShare(s.Slots, peers), Used: s.used,
		Busy: s.busy, Ejected: ejected, ReportedLeaving: s.reportedLeaving, Failures: s.consecutiveFailures,
		LatencyMs: s.latency.seconds * 1000,
	}
	if now.Before(s.grantExpiry) {
		st.Granted = s.granted
	}
	return st
}
