package sched

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/queue"
)

// QueueLimits turns a limits document into the limits of a queue; sum replaces
// the document's bounds when it is above 0.
func QueueLimits(l config.Limits, sum int) queue.Limits {
	limits := queue.Limits{
		MaxTotal:      l.MaxWaiting,
		AgingInterval: time.Duration(l.AgeingSeconds) * time.Second,
		Team:          make(map[string]queue.TeamLimits),
	}
	bound, teamBound := l.MaxWaitingPerClass, l.MaxWaitingPerTeam
	if sum > 0 {
		limits.MaxTotal, bound, teamBound = sum, sum, sum
	}
	for _, c := range []queue.Class{queue.Urgent, queue.Normal, queue.Deferrable} {
		limits.Class[c] = queue.ClassLimits{MaxItems: bound, Share: float64(l.ClassShares[c.String()])}
	}
	limits.DefaultTeam = queue.TeamLimits{MaxItems: teamBound, Weight: 1}
	for name, team := range l.Teams {
		limits.Team[name] = queue.TeamLimits{
			MaxItems: teamBound,
			Weight:   float64(max(1, team.Weight)),
			Quota:    team.Quota,
		}
	}
	return limits
}
