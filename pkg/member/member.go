package member

import "time"

// The states of a member.
const (
	// StateLive members answer heartbeats.
	StateLive = "live"
	// StateSlow members answer, but with a round trip time far above the median of their failure domain.
	StateSlow = "slow"
	// StateSuspect members have not answered a heartbeat within the timeout, or have never been heard from.
	StateSuspect = "suspect"
	// StateLeaving members answer but accept no new work; the state lasts until the incarnation changes.
	StateLeaving = "leaving"
	// StateGone members have terminated.
	StateGone = "gone"
)

// Member describes an entry instance, as reported by that instance.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	HTTPAddress   string `json:"http_address"`
	FailureDomain string `json:"failure_domain"`
	// State is live, leaving or gone in reports; slow and suspect are determined by a View.
	State string `json:"state"`
	// Incarnation increases with each start of the instance.
	Incarnation    int64 `json:"incarnation"`
	ConfigRevision int64 `json:"config_revision"`
	// OwnedEpoch is the epoch under which the instance owns its failure domain, 0 for none.
	OwnedEpoch int64 `json:"owned_epoch"`
}

// Status is a member with the State that a View determined for it.
type Status struct {
	Member
	// Age is the time since the member was last heard from, or since it was added if it never was.
	Age time.Duration `json:"age"`
	// RTT is the smoothed round trip time; 0 if none was measured.
	RTT time.Duration `json:"rtt"`
}

// record is what a View knows about one member.
type record struct {
	member  Member
	addedAt time.Time
	// lastHeard is when the member itself last sent a call or an answer; zero if not in this incarnation.
	lastHeard time.Time
	rtt       time.Duration
	lastSent  time.Time
	// unansweredSince is the time of the first unanswered heartbeat after lastHeard; zero if there is none.
	unansweredSince time.Time
	leaving         bool
	gone            bool
	// reportedGone is set when the member itself reported its end; only a new incarnation revives it.
	reportedGone bool
	goneAt       time.Time
}

// lastActivity returns the time from which the age of the member counts.
func (r *record) lastActivity() time.Time {
	if r.lastHeard.IsZero() {
		return r.addedAt
	}
	return r.lastHeard
}

// setGone marks the member as gone; goneAt keeps the time of the first call.
func (r *record) setGone(now time.Time) {
	if !r.gone {
		r.goneAt = now
	}
	r.gone = true
}

// setAddresses copies the addresses and failure domain that a source other than the member reported.
func (r *record) setAddresses(m Member) {
	if m.Address != "" {
		r.member.Address = m.Address
	}
	if m.HTTPAddress != "" {
		r.member.HTTPAddress = m.HTTPAddress
	}
	if m.FailureDomain != "" {
		r.member.FailureDomain = m.FailureDomain
	}
}
