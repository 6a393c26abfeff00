package host

import (
	"fmt"
	"io"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// writeTeams writes the metrics of teams.
func writeTeams(w io.Writer, teams []cell.TeamStat) {
	for _, t := range teams {
		for _, l := range []struct {
			name string
			r    place.Resources
		}{{"team_used", t.Used}, {"team_assumed", t.Assumed}, {"team_limit", t.Limit}} {
			_, _ = fmt.Fprintf(w, "%s_cpu_millis{team=%q} %d\n", l.name, t.Name, l.r.CPUMillis)
			_, _ = fmt.Fprintf(w, "%s_memory_mb{team=%q} %d\n", l.name, t.Name, l.r.MemoryMB)
			_, _ = fmt.Fprintf(w, "%s_accelerators{team=%q} %d\n", l.name, t.Name, l.r.Accelerators)
		}
		_, _ = fmt.Fprintf(w, "team_share{team=%q} %g\n", t.Name, t.Share)
		_, _ = fmt.Fprintf(w, "team_debt_core_seconds{team=%q} %g\n", t.Name, t.Debt)
		_, _ = fmt.Fprintf(w, "team_runs{team=%q} %d\n", t.Name, t.Runs)
		_, _ = fmt.Fprintf(w, "team_jobs_beyond_rate_total{team=%q} %d\n", t.Name, t.BeyondRate)
		_, _ = fmt.Fprintf(w, "team_quota_reached_total{team=%q} %d\n", t.Name, t.TimesHeld)
	}
}
