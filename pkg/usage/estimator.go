package usage

import (
	"container/list"
	"time"
)

const (
	defaultMaxJobs    = 4096
	defaultPercentile = 0.95
	defaultMargin     = 0.15
	defaultMinReports = 20
	defaultMinSpan    = time.Minute
	defaultMinRuns    = 3
	defaultHalfLife   = 24 * time.Hour
	defaultPeakWindow = 10 * time.Minute
	// defaultMinCPU is in thousandths of a core, defaultMinMemory in MB.
	defaultMinCPU    = 50
	defaultMinMemory = 32

	// runHalfLife is the number of later runs after which the weight of a run time is halved.
	runHalfLife = 32
)

// Estimator estimates sizes and run times of jobs from reports that may arrive late and out
// of order. The key is the name of a job, or of a family of jobs as returned by Family. The
// zero value is ready to use; an Estimator must be used by one goroutine only. Set the fields
// before the first call; 0 means the default.
type Estimator struct {
	// MaxJobs limits the number of jobs; the least recently used one is evicted.
	// Default 4,096, about 2.5 KB each.
	MaxJobs int
	// Percentile is the fraction of the reports that an estimate covers, 0 to 1. Default 0.95.
	Percentile float64
	// Margin is added to the percentile as a fraction of it. Default 0.15.
	Margin float64
	// PeakDiscount is how far an estimate may be below the recent peak, as a fraction of that
	// peak. Default 0: not below it.
	PeakDiscount float64
	// PeakWindow is the minimum time for which a peak counts as recent; the maximum is twice
	// as long. Default 10 min.
	PeakWindow time.Duration
	// HalfLife is the age at which the weight of a report is halved. Default 24 h.
	HalfLife time.Duration
	// MinReports is the number of reports, covering at least MinSpan, from which the declared
	// size is no longer used. The first seconds of a task are not representative, hence
	// MinSpan. Defaults 20 and 1 min.
	MinReports int
	MinSpan    time.Duration
	// MinRuns is the number of finished runs from which a run time is estimated. Default 3.
	MinRuns int
	// MaxSize is the upper limit of estimates from reports; 0 means no limit in that dimension.
	MaxSize Resources
	// MinSize is the lower limit of estimates from reports, so that the number of idle tasks
	// packed onto a worker is limited. Default 50 thousandths of a core and 32 MB.
	MinSize Resources

	jobs map[string]*list.Element
	lru  list.List
}

// jobStats holds the reports and run times of one job.
type jobStats struct {
	job             string
	reports         int
	runs            int
	cpu             histogram
	mem             histogram
	runTimes        histogram
	oldestReport    time.Time
	newestReport    time.Time
	peak            Resources
	previousPeak    Resources
	peakWindowStart time.Time
}

// Observe adds a report of what one task of the job used at the time at. Negative values
// count as zero. The weight of a report that is older than the newest one is reduced by its
// age, so the order of arrival does not matter. The caller must limit at to its own clock: a
// report from the future would age all others.
func (e *Estimator) Observe(job string, used Resources, at time.Time) {
	js := e.getOrCreate(job)
	used = used.Max(Resources{})
	if js.reports == 0 || at.Before(js.oldestReport) {
		js.oldestReport = at
	}
	lateHalvings := 0.0
	if at.After(js.newestReport) {
		if js.reports > 0 {
			halvings := float64(at.Sub(js.newestReport)) / float64(durationOr(e.HalfLife, defaultHalfLife))
			js.cpu.decay(halvings)
			js.mem.decay(halvings)
		}
		js.newestReport = at
	} else {
		lateHalvings = float64(js.newestReport.Sub(at)) / float64(durationOr(e.HalfLife, defaultHalfLife))
	}
	js.cpu.add(used.CPUMillis, lateHalvings)
	js.mem.add(used.MemoryMB, lateHalvings)
	js.reports++
	e.updatePeak(js, used, at)
}

// updatePeak maintains the peaks of the current and the previous window.
func (e *Estimator) updatePeak(js *jobStats, used Resources, at time.Time) {
	window := durationOr(e.PeakWindow, defaultPeakWindow)
	switch age := at.Sub(js.peakWindowStart); {
	case js.peakWindowStart.IsZero() || age >= 2*window:
		js.previousPeak, js.peak, js.peakWindowStart = Resources{}, used, at
	case age >= window:
		js.previousPeak, js.peak, js.peakWindowStart = js.peak, used, at
	case age >= 0:
		js.peak = js.peak.Max(used)
	case age >= -window:
		js.previousPeak = js.previousPeak.Max(used)
	}
}

// ObserveRun adds the time from the start to the successful end of one task of the job.
func (e *Estimator) ObserveRun(job string, run time.Duration) {
	js := e.getOrCreate(job)
	js.runTimes.decay(1.0 / runHalfLife)
	js.runTimes.add(int64((max(run, 0)+time.Second-1)/time.Second), 0)
	js.runs++
}

// EstimateSize returns the resources to allocate for a new task of the job. As long as there
// are too few reports, it is the declared size, or the recent peak where that is larger. After
// that it is the percentile plus the margin, at most PeakDiscount below the recent peak.
// Estimates never exceed MaxSize, but a declared size above MaxSize is returned unchanged, so
// that the job is reported as impossible to place instead of being placed with too little.
func (e *Estimator) EstimateSize(job string, declared Resources) Resources {
	js := e.get(job)
	if js == nil || js.reports == 0 {
		return declared
	}
	floor := js.peak.Max(js.previousPeak).scale(1 - e.PeakDiscount)
	if !e.hasEnoughReports(js) {
		return declared.Max(floor.capAt(e.MaxSize))
	}
	percentile := floatOr(e.Percentile, defaultPercentile)
	size := Resources{js.cpu.quantile(percentile), js.mem.quantile(percentile)}.scale(1 + floatOr(e.Margin, defaultMargin))
	return size.Max(floor).Max(e.minSize()).capAt(e.MaxSize)
}

// hasEnoughReports reports whether there are enough reports to replace the declared size.
func (e *Estimator) hasEnoughReports(js *jobStats) bool {
	return js.reports >= intOr(e.MinReports, defaultMinReports) &&
		js.newestReport.Sub(js.oldestReport) >= durationOr(e.MinSpan, defaultMinSpan)
}

func (e *Estimator) minSize() Resources {
	return Resources{
		CPUMillis: int64(intOr(int(e.MinSize.CPUMillis), defaultMinCPU)),
		MemoryMB:  int64(intOr(int(e.MinSize.MemoryMB), defaultMinMemory)),
	}
}

// EstimateRunTime returns how long a task of the job is expected to run: the percentile of its
// finished runs in whole seconds if there are at least MinRuns, otherwise the declared time
// and false.
func (e *Estimator) EstimateRunTime(job string, declared time.Duration) (estimate time.Duration, known bool) {
	js := e.get(job)
	if js == nil || js.runs < intOr(e.MinRuns, defaultMinRuns) {
		return declared, false
	}
	return time.Duration(js.runTimes.quantile(floatOr(e.Percentile, defaultPercentile))) * time.Second, true
}

// Len returns the number of jobs that have reports or finished runs.
func (e *Estimator) Len() int { return len(e.jobs) }

func (e *Estimator) get(job string) *jobStats {
	el, ok := e.jobs[job]
	if !ok {
		return nil
	}
	e.lru.MoveToFront(el)
	return el.Value.(*jobStats)
}

// getOrCreate returns the statistics of the job. A new job evicts the least recently used one
// when MaxJobs is reached.
func (e *Estimator) getOrCreate(job string) *jobStats {
	if js := e.get(job); js != nil {
		return js
	}
	if e.jobs == nil {
		e.jobs = make(map[string]*list.Element)
	}
	for len(e.jobs) >= intOr(e.MaxJobs, defaultMaxJobs) {
		oldest := e.lru.Back()
		delete(e.jobs, oldest.Value.(*jobStats).job)
		e.lru.Remove(oldest)
	}
	js := &jobStats{job: job}
	e.jobs[job] = e.lru.PushFront(js)
	return js
}

func intOr(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}

func floatOr(v, def float64) float64 {
	if v <= 0 {
		return def
	}
	return v
}

func durationOr(v, def time.Duration) time.Duration {
	if v <= 0 {
		return def
	}
	return v
}
