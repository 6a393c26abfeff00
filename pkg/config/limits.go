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

	// defaultHeadroomPercent is the percentage of the request slots that is kept free for urgent
	// requests. Without it, urgent requests wait for a running request to finish when deferrable
	// requests take all slots (docs/admission.md).
	defaultHeadroomPercent = 6
)

var defaultClassShares = map[string]int{"urgent": 6, "normal": 3, "deferrable": 1}

// TeamLimits holds the weight of a team's share and its quota.
type TeamLimits struct {
	Weight int   `json:"weight,omitempty"`
	Quota  int64 `json:"quota,omitempty"`
}

// Limits is a document with the limits of a queue and the shares of its classes and teams.
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

// WithDefaults returns the limits with defaults for missing fields.
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

// Headroom returns the percentage of the capacity that is reserved for urgent work. By default only
// the queue of requests reserves capacity, because a free slot of a backend server costs nothing.
func (l Limits) Headroom() int {
	switch {
	case l.UrgentHeadroom != nil:
		return *l.UrgentHeadroom
	case l.Name == LimitsJobs:
		return 0
	default:
		return defaultHeadroomPercent
	}
}
