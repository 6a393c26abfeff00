package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/ledger"
)

// leaseEnd returns the lease end that may be sent now, on the executor's clock.
func (c *Core) leaseEnd(ex *executor) time.Duration {
	l := c.Lease
	if ex.Draining {
		l = min(l, drainingLease)
	}
	return ex.clock + c.confirmedAt.Sub(ex.clockAt) + l
}

// estimatedClock estimates the current reading of the executor's clock.
func (ex *executor) estimatedClock(now time.Time) time.Duration {
	return ex.clock + now.Sub(ex.clockAt)
}

// leaseExpiry returns when the lease has certainly expired, on the owner's clock.
func (ex *executor) leaseExpiry() time.Time {
	left := float64(ex.leaseUntil-ex.clock) / (1 - clockDrift)
	return ex.clockAt.Add(time.Duration(left) + leaseExpiryMargin)
}

// extendLease records a lease end that is sent to the executor.
func (ex *executor) extendLease(until time.Duration) {
	ex.leaseUntil = max(ex.leaseUntil, until)
}

// checkLease gives up the runs of an unresponsive executor whose lease has expired, and drops
// executors that are no longer needed.
func (c *Core) checkLease(now time.Time, ex *executor) {
	if !ex.avoidUntil.IsZero() && !now.Before(ex.avoidUntil) {
		ex.avoidUntil = time.Time{}
		c.markFreed(ex)
	}
	if ex.claimed && ex.missedPolls == 0 {
		return
	}
	if !ex.claimed {
		c.dropUnclaimed(now, ex)
		return
	}
	if !ex.listed && len(ex.runs) == 0 && !ex.hasLateStarts(now) {
		c.dropExecutor(ex)
		return
	}
	if !c.hasExpired(now, ex.leaseExpiry()) || !c.hasExpired(now, c.priorLeaseExpiry(ex.ID)) {
		return
	}
	if len(ex.runs) > 0 {
		c.Log.WithField("executor", ex.ID).WithField("runs", len(ex.runs)).
			WithField("silent_ms", now.Sub(ex.clockAt).Milliseconds()).Warn("lease expired without a response; restarting tasks elsewhere")
	}
	runs := ex.sortedRuns()
	if !ex.listed {
		c.recordCrash(now, ex, runs, "neither responds nor has an entry in the instance list")
	}
	for _, r := range runs {
		if ex.listed {
			c.withdrawCrash(r.job, r.task, r.number)
		}
		c.markLost(now, r, "lease expired")
	}
	if !ex.listed {
		c.dropExecutor(ex)
	}
}

// hasExpired reports whether leases have expired that this owner and earlier ones have granted up to the given time, and
// no successor can have extended them before. Otherwise runs that are given up may go on under the successor.
func (c *Core) hasExpired(now, expiry time.Time) bool {
	// Only the wall clock counts the time in which the machine was suspended.
	suspended := max(now.Round(0).Sub(c.confirmedWall)-now.Sub(c.confirmedAt), 0)
	return !now.Before(expiry) && expiry.Sub(c.confirmedAt)+suspended < ledger.StaleAfter
}

// priorLeasesExpiry returns when all leases granted by earlier owners have expired, whatever the former owner has told.
func (c *Core) priorLeasesExpiry() time.Time {
	return c.TakeoverAt.Add(time.Duration(float64(c.Lease)/(1-clockDrift)) + leaseExpiryMargin)
}

// dropUnclaimed drops an executor that left the instance list before this owner reached it, once
// all leases of earlier owners have expired.
func (c *Core) dropUnclaimed(now time.Time, ex *executor) {
	if !ex.listed && now.After(c.priorLeaseExpiry(ex.ID)) {
		c.recordCrash(now, ex, nil, "left the instance list without responding")
		c.dropExecutor(ex)
	}
}
