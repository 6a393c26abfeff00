package cell

import (
	"time"
)

// recordCrash records that an executor has crashed with the runs it had.
func (c *Core) recordCrash(now time.Time, ex *executor, evidence string) {
	if ex.Draining || len(ex.runs) == 0 {
		return
	}
	c.Stats.Crashes++
	var youngest *run
	for _, r := range ex.sortedRuns() {
		if youngest == nil || r.startedAt.After(youngest.startedAt) {
			youngest = r
		}
		r.job.crashes[r.task]++
		if r.job.crashes[r.task] > 1 {
			c.Stats.RepeatedCrashes++
		}
	}
	c.Log.WithField("executor", ex.ID).WithField("address", ex.Address).WithField("why", evidence).
		WithField("runs", len(ex.runs)).WithField("silent_ms", now.Sub(ex.silentSince).Milliseconds()).
		WithField("youngest_run", youngest.key).
		WithField("youngest_age_ms", ex.silentSince.Sub(youngest.startedAt).Milliseconds()).Warn("executor crashed")
}
