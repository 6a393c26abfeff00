package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// minUrgentReserve is the minimum share of a pool's CPU reserved for urgent work, so that it
	// finds capacity at once while long tasks fill the pool. maxUrgentReserve is the maximum
	// share.
	minUrgentReserve = 0.12
	maxUrgentReserve = 0.4

	// peakFactor times the recent peak of urgent work is reserved for it. peakDecay is the fraction
	// by which the peak decays per second.
	peakFactor = 1.0
	peakDecay  = 0.25
)

// pool is the CPU of the executors of one service, in millicores.
type pool struct {
	capacity int64
	// urgent and other are reserved by runs of urgent and of other queues.
	urgent, other int64
	// urgentPeak is the highest recent value of urgent.
	urgentPeak float64
	// servesUrgent is set if an urgent queue uses the service.
	servesUrgent bool
}

// pool returns the pool of a service.
func (c *Core) pool(service string) *pool {
	p := c.pools[service]
	if p == nil {
		p = &pool{servesUrgent: c.config.ServesUrgent(service)}
		c.pools[service] = p
	}
	return p
}

// add adds CPU that runs of a job reserve; millis is negative if they reserve it no longer.
func (p *pool) add(j *job, millis int64) {
	if j.priority == 0 {
		p.urgent += millis
	} else {
		p.other += millis
	}
}

// countRun counts the CPU that a run reserves in the pool of its executor, times sign.
func (c *Core) countRun(r *run, sign int64) {
	c.pool(r.ex.Service).add(r.job, sign*r.spec().Reserved().CPUMillis)
}

// countExecutor counts an executor and its runs in its pool, times sign.
func (c *Core) countExecutor(ex *executor, sign int64) {
	c.pool(ex.Service).capacity += sign * ex.poolCPU()
	for _, r := range ex.runs {
		c.countRun(r, sign)
	}
}

// poolCPU returns what the executor adds to its pool: its capacity, or the nearest that the allocator accepts.
func (ex *executor) poolCPU() int64 {
	return min(max(ex.Capacity.CPUMillis, 0), place.MaxCPUMillis)
}

// hasUrgentRuns reports whether any urgent work runs.
func (c *Core) hasUrgentRuns() bool {
	for _, p := range c.pools {
		if p.urgent > 0 {
			return true
		}
	}
	return false
}

// hasRoom reports whether so little of the pool's CPU is in use that no step should have to wait.
func (p *pool) hasRoom() bool {
	return float64(p.urgent+p.other) < roomyShare*float64(p.capacity)
}

// leavesReserve reports whether the step may start more tasks without using the CPU reserved for urgent
// work in its pool, or processor time of the owner that urgent work needs. Steps of the urgent priority
// always may, and long-running ones, since callers notice at once when they are missing. An owner that is
// behind holds back the others beside urgent work, for a bounded time.
func (c *Core) leavesReserve(st *stepState, tasks int) bool {
	if st.queue.Priority == 0 || st.spec.LongRunning {
		return true
	}
	if c.holdsBack && !st.heldTooLong && c.hasUrgentRuns() {
		return false
	}
	p := c.pool(st.queue.Service)
	return p.other+st.spec.Reserved().CPUMillis*int64(tasks) <= p.capacity-p.urgentReserve()
}

// urgentReserve returns the CPU reserved for urgent work. It protects an ordinary load of urgent
// jobs against bursts of long ones.
func (p *pool) urgentReserve() int64 {
	least := 0.0
	if p.servesUrgent {
		least = minUrgentReserve * float64(p.capacity)
	}
	return int64(min(max(peakFactor*p.urgentPeak, least), maxUrgentReserve*float64(p.capacity)))
}

// updateUrgentPeaks updates the decaying peaks of CPU use by urgent work.
func (c *Core) updateUrgentPeaks(now time.Time) {
	for _, p := range c.pools {
		if !c.peaksUpdatedAt.IsZero() {
			p.urgentPeak *= 1 - peakDecay*min(now.Sub(c.peaksUpdatedAt).Seconds(), 1)
		}
		p.urgentPeak = max(p.urgentPeak, float64(p.urgent))
	}
	c.peaksUpdatedAt = now
}
