package team

import "time"

const (
	// marginFraction is the part of a limit that is left unused, for what is not measured: clocks of callers and
	// instances that run at different rates (up to 2%), the rounding of the store's clock to milliseconds, and the time
	// between the reading of a request and of the clock. It is 250 ms of a limit of 5 s.
	marginFraction = 20

	// readinessLead is how long before a limit readiness is withdrawn: the load balancer needs two failed probes and
	// sends one per second.
	readinessLead = 2200 * time.Millisecond

	// maxReadInterval is the time between two reads of the owner, maxOwnReadAge the age of the confirmation at which
	// other instances read themselves. Owners pass confirmations on every 200 ms, so that the age is usually below
	// 0.9 s: 0.5 s + 0.2 s, and up to 0.15 s for the rates of clocks. With limits below 3 s both are shorter.
	maxReadInterval = 500 * time.Millisecond
	maxOwnReadAge   = 1200 * time.Millisecond

	// minReadInterval keeps a very short limit from flooding the store.
	minReadInterval = 50 * time.Millisecond

	// readsPerLimit and ownReadsPerLimit are the numbers of reads that fit into the shortest limit.
	readsPerLimit    = 6
	ownReadsPerLimit = 2.5
)

// Limits are the times within which changes of keys take effect.
type Limits struct {
	// Revocation is how long after the acknowledgement of its removal a key may be accepted on any instance; 0 if
	// there is no limit.
	Revocation time.Duration
	// Addition is how long after the acknowledgement of its addition a key may be rejected as unknown; 0 if there is
	// no limit.
	Addition time.Duration
}

// acceptsKeys reports whether a request with a known key may be served with a confirmation of the given age.
func (l Limits) acceptsKeys(age time.Duration) bool {
	return l.Revocation == 0 || age < withoutMargin(l.Revocation)
}

// rejectsKeys reports whether an unknown key may be rejected for good with a confirmation of the given age.
func (l Limits) rejectsKeys(age time.Duration) bool {
	return l.Addition == 0 || age < withoutMargin(l.Addition)
}

// Ready reports whether clients should use an instance whose confirmation has the given age.
func (l Limits) Ready(age time.Duration) bool {
	limit := withoutMargin(l.Revocation)
	return l.Revocation == 0 || age < max(limit/2, limit-readinessLead)
}

func withoutMargin(limit time.Duration) time.Duration { return limit - limit/marginFraction }

// readInterval returns the time between two reads of the owner, ownReadAge the age of the confirmation at which other
// instances read themselves.
func (l Limits) readInterval() time.Duration {
	return max(min(maxReadInterval, l.shortest()/readsPerLimit), minReadInterval)
}

func (l Limits) ownReadAge() time.Duration {
	return max(min(maxOwnReadAge, time.Duration(float64(l.shortest())/ownReadsPerLimit)), minReadInterval)
}

// shortest returns the shortest limit, or the one of maxReadInterval if there is none.
func (l Limits) shortest() time.Duration {
	s := maxReadInterval * readsPerLimit
	for _, limit := range []time.Duration{l.Revocation, l.Addition} {
		if limit > 0 {
			s = min(s, limit)
		}
	}
	return s
}
