package config

// KindLimits is the kind of limits documents.
const KindLimits = "limits"

// Names of the limits documents.
const (
	LimitsRequests = "requests"
	LimitsJobs     = "jobs"
)

const (
	defaultMaxWaiting    = 10_000
	defaultAgeingSeconds = 600

	// defaultHeadroom keeps a few slots free for urgent requests, in percent of
	// the slots: without it urgent work waits for a slot to end under a flood of
	// deferrable work (docs/admission.md).
	defaultHeadroom = 6
)

var defaultClassShares = map[string]int{"urgent": 6, "normal": 3, "deferrable": 1}

// TeamLimits are the share and the quota of one team.
type TeamLimits struct {
	Weight int   `json:"weight,omitempty"`
	Quota  int64 `json:"quota,omitempty"`
}

// Limits is a document that bounds a queue and divides it.
type Limits struct {
	Kind               string                `json:"kind"`
	Name               string                `json:"name"`
	MaxWaiting         int                   `json:"max_waiting,omitempty"`
	MaxWaitingPerClass int                   `json:"max_waiting_per_class,omitempty"`
	MaxWaitingPerTeam  int                   `json:"max_waiting_per_team,omitempty"`
	ClassShares        map[string]int        `json:"class_shares,omitempty"`
	Teams              map[string]TeamLimits `json:"teams,omitempty"`
	AgeingSeconds      int64                 `json:"ageing_seconds,omitempty"`
	UrgentHeadroom     *int                  `json:"urgent_headroom_percent,omitempty"`
}

// WithDefaults returns the limits with their missing fields filled in.
func (l Limits) WithDefaults() Limits {
	if l.MaxWaiting == 0 {
		l.MaxWaiting = defaultMaxWaiting
	}
	if l.MaxWaitingPerClass == 0 {
		l.MaxWaitingPerClass = l.MaxWaiting
	}
	if l.MaxWaitingPerTeam == 0 {
		l.MaxWaitingPerTeam = l.MaxWaiting
	}
	if l.AgeingSeconds == 0 {
		l.AgeingSeconds = defaultAgeingSeconds
	}
	if l.ClassShares == nil {
		l.ClassShares = defaultClassShares
	}
	return l
}

// Headroom returns the part of the capacity that less urgent work leaves free,
// in percent; by default only requests have one, since the slots of backend
// servers cost nothing while they are free.
func (l Limits) Headroom() int {
	switch {
	case l.UrgentHeadroom != nil:
		return *l.UrgentHeadroom
	case l.Name == LimitsJobs:
		return 0
	default:
		return defaultHeadroom
	}
}
