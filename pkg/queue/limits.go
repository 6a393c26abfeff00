package queue

import "time"

const (
	defaultMaxTotal      = 100_000
	defaultMaxTeams      = 1_024
	defaultAgingInterval = 10 * time.Minute
)

// defaultShares apply when no class has a share.
var defaultShares = [NumClasses]float64{0.5, 0.3, 0.2}

// ClassLimits are the limits of one class.
type ClassLimits struct {
	// MaxItems is the maximum number of waiting items; 0 means Limits.MaxTotal.
	MaxItems int `json:"bound"`
	// Share is the guaranteed fraction of the service and of the waiting items, 0 to 1.
	// Shares that add up to more than 1 are scaled down to 1.
	Share float64 `json:"share"`
	// Headroom is the part of the capacity that less urgent classes leave free, in the unit
	// of Item.Cost, so that items of this class can start without delay while others flood
	// the queue. It applies only if Queue.Capacity is known; 0 means none.
	Headroom int64 `json:"headroom"`
}

// TeamLimits are the limits of one team over all classes.
type TeamLimits struct {
	// MaxItems is the maximum number of waiting items; 0 means Limits.MaxTotal.
	MaxItems int `json:"bound"`
	// Weight is the share of the team in each class relative to the other active teams; 0
	// means 1.
	Weight float64 `json:"weight"`
	// Quota is the maximum running cost, in the unit of Item.Cost; 0 means no limit.
	Quota int64 `json:"quota"`
}

// Limits configures a Queue.
type Limits struct {
	// MaxTotal is the maximum number of waiting items of all classes and teams; 0 means 100,000.
	MaxTotal int `json:"sum"`
	// MaxTeams is the maximum number of teams with waiting or running items; 0 means 1,024.
	MaxTeams int `json:"max_teams"`
	// Class holds the limits of each class. If all shares are 0 they default to 0.5, 0.3 and
	// 0.2.
	Class [NumClasses]ClassLimits `json:"class"`
	// Team holds the limits of individual teams by name.
	Team map[string]TeamLimits `json:"team"`
	// DefaultTeam holds the limits of teams that are not in Team.
	DefaultTeam TeamLimits `json:"default_team"`
	// AgingInterval is the waiting time, in nanoseconds, after which an item is promoted to
	// the next more urgent class; 0 means 10 minutes.
	AgingInterval time.Duration `json:"age_step"`
}

// withDefaults returns the limits with zero values replaced by their defaults and with the
// shares scaled down if they add up to more than 1.
func (l Limits) withDefaults() Limits {
	l.MaxTotal = positiveOr(l.MaxTotal, defaultMaxTotal)
	l.MaxTeams = positiveOr(l.MaxTeams, defaultMaxTeams)
	if l.AgingInterval <= 0 {
		l.AgingInterval = defaultAgingInterval
	}
	sum := 0.0
	for c := range l.Class {
		l.Class[c].MaxItems = positiveOr(l.Class[c].MaxItems, l.MaxTotal)
		l.Class[c].Share = max(l.Class[c].Share, 0)
		sum += l.Class[c].Share
	}
	for c := range l.Class {
		switch {
		case sum == 0:
			l.Class[c].Share = defaultShares[c]
		case sum > 1:
			l.Class[c].Share /= sum
		}
	}
	return l
}

// team returns the limits of one team, with defaults applied.
func (l *Limits) team(name string) TeamLimits {
	t, ok := l.Team[name]
	if !ok {
		t = l.DefaultTeam
	}
	t.MaxItems = positiveOr(t.MaxItems, l.MaxTotal)
	if t.Weight <= 0 {
		t.Weight = 1
	}
	return t
}

func positiveOr(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
