package share

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// bucketLength is for how long a team that was idle may send at twice its rate. Jobs arrive at random, and a short
	// bucket counts many of those of a team that sends at its rate as beyond it.
	bucketLength = 4 * time.Second

	// minBucket is the least number of jobs that a team which was idle may send at once, for the same reason.
	minBucket = 3
)

// Rate tells which jobs of a team are beyond the number a second that its weight entitles it to. The zero value knows no
// rate, and all jobs are within it.
type Rate struct {
	limiter *rate.Limiter
}

// Set sets the rate in jobs a second. The bucket of a new rate is full; another rate keeps its content.
func (r *Rate) Set(now time.Time, perSecond float64) {
	limit, burst := rate.Limit(perSecond), max(int(perSecond*bucketLength.Seconds()), minBucket)
	switch {
	case r.limiter == nil:
		r.limiter = rate.NewLimiter(limit, burst)
	case r.limiter.Limit() != limit:
		r.limiter.SetLimitAt(now, limit)
		r.limiter.SetBurstAt(now, burst)
	}
}

// Take counts a job and reports whether it is within the rate. One beyond it leaves no debt.
func (r *Rate) Take(now time.Time) bool {
	return r.limiter == nil || r.limiter.AllowN(now, 1)
}
