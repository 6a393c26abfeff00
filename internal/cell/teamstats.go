package cell

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// maxTeamStats is the number of teams that are told apart in the metrics, so that their number stays bounded.
const maxTeamStats = 50

// TeamStat is the state of a team at one time.
type TeamStat struct {
	// Name is empty for the sum of the teams that are not told apart.
	Name string
	// Used is what its runs need, Assumed what earlier owners may have running besides; Limit is its quota.
	Used, Assumed, Limit place.Resources
	Runs                 int64
	// TimesHeld is the number of times that it has reached its quota.
	TimesHeld int64
	// BeyondRate is the number of jobs that were accepted beyond its rate.
	BeyondRate int64
	// Share is its part of all weights. Debt is by how many core-seconds it is beyond its share where it is furthest,
	// while demand exceeds the capacity; a negative one is what it is owed.
	Share, Debt float64
}

// debt returns by how many core-seconds the team is beyond its share in the contest where it is furthest.
func (t *team) debt() float64 {
	debt := math.Inf(-1)
	for _, a := range t.accounts {
		if !math.IsInf(a.level, 1) {
			debt = max(debt, a.had-a.level*a.weight)
		}
	}
	if math.IsInf(debt, -1) {
		return 0
	}
	return debt
}

// Teams returns the states of the teams with the highest use, and the sum of the others.
func (c *Core) Teams() []TeamStat {
	stats := make([]TeamStat, 0, len(c.teams))
	weights := 0.0
	for _, t := range c.teams {
		weights += t.weight
	}
	for _, t := range c.teams {
		stats = append(stats, TeamStat{
			Name: t.Name, Used: t.quota.Used, Assumed: t.quota.Assumed, Limit: t.Limit, Runs: int64(t.quota.Runs), TimesHeld: t.held, BeyondRate: t.beyondRate,
			Share: t.weight / weights, Debt: t.debt(),
		})
	}
	slices.SortFunc(stats, func(a, b TeamStat) int {
		return cmp.Or(cmp.Compare(b.Used.CPUMillis, a.Used.CPUMillis), cmp.Compare(a.Name, b.Name))
	})
	if len(stats) <= maxTeamStats {
		return stats
	}
	var others TeamStat
	for _, s := range stats[maxTeamStats:] {
		others.Used, others.Assumed = others.Used.Add(s.Used), others.Assumed.Add(s.Assumed)
		others.Runs += s.Runs
		others.TimesHeld += s.TimesHeld
		others.BeyondRate += s.BeyondRate
		others.Share, others.Debt = others.Share+s.Share, others.Debt+s.Debt
	}
	return append(stats[:maxTeamStats], others)
}

// Teams returns the states of the teams with the highest use.
func (d *Driver) Teams(ctx context.Context) []TeamStat {
	out := make(chan []TeamStat, 1)
	if !d.waitRestored(ctx) || !d.post(func(time.Time) { out <- d.core.Teams() }) {
		return nil
	}
	select {
	case stats := <-out:
		return stats
	case <-d.done:
	case <-ctx.Done():
	}
	return nil
}
