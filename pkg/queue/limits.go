package queue

import "time"

const (
	defaultSum      = 100_000
	defaultMaxTeams = 1_024
	defaultAgeStep  = 10 * time.Minute
)

// defaultShares apply when no class has a share.
var defaultShares = [NumClasses]float64{0.5, 0.3, 0.2}

// ClassLimits bounds one class.
type ClassLimits struct {
	// MaxItems is the maximum number of waiting items; 0 means Limits.MaxTotal.
	MaxItems int `json:"bound"`
	// Share is the guaranteed fraction of the running cost and of the queue, 0 to 1.
	// Shares that add up to more than 1 are scaled down to 1.
	Share float64 `json:"share"`
	// Headroom is running cost that less urgent classes leave free, in the unit of
	// Item.Cost, so that work of this class finds a free place while they flood.
	// It applies when Queue.Capacity is known; 0 means none.
	Headroom int64 `json:"headroom"`
}

// TeamLimits bounds one team over all classes.
type TeamLimits struct {
	// MaxItems is the maximum number of waiting items; 0 means Limits.MaxTotal.
	MaxItems int `json:"bound"`
	// Weight is the team's part of a class relative to the other active teams; 0 means 1.
	Weight float64 `json:"weight"`
	// Quota is the greatest running cost, in the unit of Item.Cost; 0 means none.
	Quota int64 `json:"quota"`
}

// Limits configures a Queue.
type Limits struct {
	// MaxTotal is the maximum number of waiting items of all classes and teams; 0 means 100,000.
	MaxTotal int `json:"sum"`
	// MaxTeams is the greatest number of teams with waiting or running items; 0 means 1,024.
	MaxTeams int `json:"max_teams"`
	// Class holds the limits of each class, by Class; all shares 0 means 0.5, 0.3 and 0.2.
	Class [NumClasses]ClassLimits `json:"class"`
	// Team holds the limits of the teams that differ from DefaultTeam.
	Team map[string]TeamLimits `json:"team"`
	// DefaultTeam holds the limits of all other teams.
	DefaultTeam TeamLimits `json:"default_team"`
	// AgingInterval is the waiting time in nanoseconds after which an item rises one class; 0 means 10 minutes.
	AgingInterval time.Duration `json:"age_step"`
}

// withDefaults returns the limits with every zero value replaced by its meaning.
func (l Limits) withDefaults() Limits {
	l.MaxTotal = orInt(l.MaxTotal, defaultSum)
	l.MaxTeams = orInt(l.MaxTeams, defaultMaxTeams)
	if l.AgingInterval <= 0 {
		l.AgingInterval = defaultAgeStep
	}
	sum := 0.0
	for c := range l.Class {
		l.Class[c].MaxItems = orInt(l.Class[c].MaxItems, l.MaxTotal)
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

// team returns the limits of one team with defaults applied.
func (l *Limits) team(name string) TeamLimits {
	t, ok := l.Team[name]
	if !ok {
		t = l.DefaultTeam
	}
	t.MaxItems = orInt(t.MaxItems, l.MaxTotal)
	if t.Weight <= 0 {
		t.Weight = 1
	}
	return t
}

func orInt(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
