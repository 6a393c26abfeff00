package host

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/daisyrack/daisyrack/internal/team"
)

// metricsTimeout is how long to wait for the owner's event loop to return its counters.
const metricsTimeout = 300 * time.Millisecond

// WriteMetrics writes the metrics of this instance as text, one per line. The counters are written
// only while the instance is the owner.
func (h *Host) WriteMetrics(ctx context.Context, w io.Writer) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	_, lastHealthy, _ := h.currentOwner()
	version := int64(0)
	if config := h.Config(); config != nil {
		version = config.Version
	}
	teams, keys := 0, 0
	if a := h.active.Load(); a != nil {
		teams, keys = len(a.config.Teams), a.directory.Len()
	}
	age := math.Inf(1)
	if d := h.freshness.Confirmation().Age(h.BootTime()); d != team.NeverConfirmed {
		age = d.Seconds()
	}
	lines := []struct {
		name  string
		value float64
	}{
		{"config_version", float64(version)},
		{"config_confirmed_age_seconds", age},
		{"teams", float64(teams)},
		{"team_keys", float64(keys)},
		{"owner_heard_seconds", time.Since(lastHealthy).Seconds()},
	}
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "%s %g\n", l.name, l.value)
	}
	d := h.driver.Load()
	if d == nil {
		_, _ = fmt.Fprintln(w, "owner 0")
		return
	}
	n := d.Counters(ctx)
	_, _ = fmt.Fprintln(w, "owner 1")
	counters := []struct {
		name  string
		value int64
	}{
		{"jobs_accepted_total", n.Accepted},
		{"jobs_rejected_total", n.Rejected},
		{"jobs_completed_total", n.Completed},
		{"jobs_failed_total", n.Failed},
		{"jobs_cancelled_total", n.Cancelled},
		{"runs_started_total", n.Starts},
		{"runs_stopped_total", n.Stops},
		{"runs_ended_total", n.Ends},
		{"runs_lost_total", n.Lost},
		{"runs_adopted_total", n.Adopted},
		{"orders_resent_total", n.Resent},
		{"advice_asked_total", n.AdviceAsked},
		{"advice_good_total", n.AdviceAllowed},
		{"looks_total", n.Polls},
		{"looks_silent_total", n.MissedPolls},
		{"fillers_paced_total", n.Throttled},
		{"runs_stalled_total", n.StalledRuns},
		{"executors_crashed_total", n.Crashes},
		{"runs_crashed_again_total", n.RepeatedCrashes},
		{"runs_tried_total", n.Trials},
		{"jobs_given_up_total", n.GivenUp},
		{"steps_waited_total", n.StepsWaited},
		{"runs_copied_total", n.SpeculativeRuns},
	}
	for _, c := range counters {
		_, _ = fmt.Fprintf(w, "%s %d\n", c.name, c.value)
	}
	writeTeams(w, d.Teams(ctx))
}
