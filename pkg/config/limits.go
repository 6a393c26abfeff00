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
)

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
	return l
}
