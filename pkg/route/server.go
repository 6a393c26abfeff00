package route

import "time"

const (
	ejectAfter = 5
	minEject   = time.Second
	maxEject   = 60 * time.Second

	// avoidPause is how long a server that refused or failed is avoided. Its refusals are
	// quick, and without the pause it would look like the fastest server.
	avoidPause = 50 * time.Millisecond
	avoidCost  = time.Second
)

// server is the state of one backend server; Router.mu guards it except for links.
type server struct {
	Backend
	router *Router
	links  links

	listedState State
	noSlots     bool // the list does not say how many, so health reports do
	busy        int  // slots taken by all entry instances, from the last health report
	selfMarked  bool
	polling     bool
	noted       string // the state last reported

	goneSince time.Time

	granted  int
	grantEnd time.Time
	used     int
	peak     int // highest use since the last Demands

	latency   PeakEWMA
	avoidFrom time.Time // when it last refused or failed

	failures   int // in a row
	ejections  int // in a row
	ejectUntil time.Time
}

// list takes over an entry of the instance list, unless newer knowledge is present.
func (s *server) list(b Backend) {
	if b.Incarnation == 0 {
		b.Incarnation = s.Incarnation
	}
	if b.Incarnation < s.Incarnation {
		return
	}
	if b.Incarnation > s.Incarnation {
		s.restarted(b.Incarnation)
	}
	if b.Address != s.Address {
		go s.links.retire()
	}
	s.noSlots = b.Slots == 0
	if s.noSlots {
		b.Slots = s.Slots
	}
	s.Backend, s.listedState = b, b.State
}

// restarted forgets what was known of the server's earlier incarnation.
func (s *server) restarted(incarnation int64) {
	s.Incarnation = incarnation
	s.selfMarked = false
	s.listedState = Live
	s.failures, s.ejections, s.ejectUntil = 0, 0, time.Time{}
	s.latency = PeakEWMA{}
	go s.links.retire()
}

func (s *server) gone() bool {
	return s.listedState == Gone
}

func (s *server) leaving() bool {
	return s.selfMarked || s.listedState == Leaving || s.listedState == Gone
}

// limit returns the slots that this instance may use now.
func (s *server) limit(now time.Time, peers int) int {
	n := baseShare(s.Slots, peers)
	if now.Before(s.grantEnd) {
		n += s.granted
	}
	return min(n, s.Slots)
}

// pollSoon asks Run for a health poll before the next regular one.
func (s *server) pollSoon() {
	select {
	case s.router.wakeLocked() <- s:
	default: // enough polls are due
	}
}

func (s *server) cost(now time.Time) float64 {
	penalty := time.Duration(0)
	if now.Sub(s.avoidFrom) < avoidPause {
		penalty = avoidCost
	}
	return s.latency.Cost(now, s.used, penalty)
}

// succeeded ends a row of failures.
func (s *server) succeeded() {
	s.failures, s.ejections = 0, 0
}

// failed counts a failure and reports whether it ejected the server.
func (s *server) failed(now time.Time) bool {
	s.failures++
	s.avoidFrom = now
	if s.failures < ejectAfter || now.Before(s.ejectUntil) || !s.router.mayEjectLocked(now) {
		return false
	}
	d := min(minEject<<min(s.ejections, 6), maxEject)
	s.ejectUntil = now.Add(d)
	s.ejections++
	s.router.stats.Ejections++
	s.noteState(now)
	time.AfterFunc(d, s.router.signal)
	return true
}

func (s *server) status(now time.Time, peers int, ejected bool) Status {
	st := Status{
		Backend: s.Backend, Base: baseShare(s.Slots, peers), Used: s.used,
		Busy: s.busy, Ejected: ejected, SelfMarked: s.selfMarked, Failures: s.failures,
		LatencyMs: s.latency.seconds * 1000,
	}
	if now.Before(s.grantEnd) {
		st.Granted = s.granted
	}
	return st
}
