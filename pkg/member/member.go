package member

import "time"

// The states of a member.
const (
	// StateLive members answer.
	StateLive = "live"
	// StateSlow members answer, but far more slowly than the others of their failure domain.
	StateSlow = "slow"
	// StateSuspect members have left a heartbeat unanswered, or were never heard.
	StateSuspect = "suspect"
	// StateLeaving members answer but take no new work; they stay so until their incarnation changes.
	StateLeaving = "leaving"
	// StateGone members have ended.
	StateGone = "gone"
)

// Member is what an entry instance says of itself.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	HTTPAddress   string `json:"http_address"`
	FailureDomain string `json:"failure_domain"`
	// State is live, leaving or gone when received; slow and suspect are set by a View.
	State string `json:"state"`
	// Incarnation grows with each start of the instance.
	Incarnation    int64 `json:"incarnation"`
	ConfigRevision int64 `json:"config_revision"`
	// OwnedEpoch is the epoch under which the instance owns its failure domain, 0 for none.
	OwnedEpoch int64 `json:"owned_epoch"`
}

// Status is a member as seen by a View; its State is the view's.
type Status struct {
	Member
	// Age is the time since the member was last heard, or since it was added when it never was.
	Age time.Duration `json:"age"`
	// RTT is the smoothed round trip time, 0 when none was measured.
	RTT time.Duration `json:"rtt"`
}

// record is what a View knows of one member.
type record struct {
	member Member
	added  time.Time
	// heard is the last proof of life; zero when there was none in this incarnation.
	heard time.Time
	rtt   time.Duration
	sent  time.Time
	// unanswered is the time of the first heartbeat since heard that was not answered; zero for none.
	unanswered time.Time
	leaving    bool
	gone       bool
	// goneByItself is set when the member said so; only a new incarnation revives it.
	goneByItself bool
	goneAt       time.Time
}

// lastSign is the time from which the age of the record counts.
func (r *record) lastSign() time.Time {
	if r.heard.IsZero() {
		return r.added
	}
	return r.heard
}

// setGone marks the member as ended.
func (r *record) setGone(now time.Time) {
	if !r.gone {
		r.goneAt = now
	}
	r.gone = true
}

// setAddresses takes over addresses from a source other than the member itself.
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
