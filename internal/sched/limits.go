package sched

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/queue"
)

// QueueLimits converts a limits document to queue limits. A positive maxWaiting replaces all limits
// on waiting items given by the document.
func QueueLimits(l config.Limits, maxWaiting int) queue.Limits {
	limits := queue.Limits{
		MaxTotal:      l.MaxWaiting,
		AgingInterval: time.Duration(l.AgeingSeconds) * time.Second,
		Team:          make(map[string]queue.TeamLimits),
	}
	classLimit, teamLimit := l.MaxWaitingPerClass, l.MaxWaitingPerTeam
	if maxWaiting > 0 {
		limits.MaxTotal, classLimit, teamLimit = maxWaiting, maxWaiting, maxWaiting
	}
	for _, c := range []queue.Class{queue.Urgent, queue.Normal, queue.Deferrable} {
		limits.Class[c] = queue.ClassLimits{MaxItems: classLimit, Share: float64(l.ClassShares[c.String()])}
	}
	limits.DefaultTeam = queue.TeamLimits{MaxItems: teamLimit, Weight: 1}
	for name, team := range l.Teams {
		limits.Team[name] = queue.TeamLimits{
			MaxItems: teamLimit,
			Weight:   float64(max(1, team.Weight)),
			Quota:    team.Quota,
		}
	}
	return limits
}
