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
	// defaultLeastCPU is in thousandths of a core, defaultLeastMemory in MB.
	defaultLeastCPU    = 50
	defaultLeastMemory = 32

	// runHalfLife is the number of runs after which a run time weighs half.
	runHalfLife = 32
)

// Estimator learns the sizes and run times of jobs from reports that may arrive late and out
// of order. The key is a job, or a family of jobs as Family names it. The zero value is
// ready; one goroutine owns it. Set the fields before the first call; 0 means the default.
type Estimator struct {
	// MaxJobs bounds the jobs that are remembered; the least recently used is forgotten.
	// Default 4,096, about 2.5 KB each.
	MaxJobs int
	// Percentile of the reports that an estimate covers, 0 to 1. Default 0.95.
	Percentile float64
	// Margin is added to the percentile as a fraction of it. Default 0.15.
	Margin float64
	// PeakDiscount is how far below the recent peak an estimate may be, as a fraction of
	// that peak. Default 0: not below it.
	PeakDiscount float64
	// PeakWindow is how long a peak counts as recent, at least; at most twice as long. Default 10 min.
	PeakWindow time.Duration
	// HalfLife is the age at which a report weighs half. Default 24 h.
	HalfLife time.Duration
	// MinReports is the number of reports from which the declared size no longer counts, when
	// they cover at least MinSpan: the first seconds of a task say little. Defaults 20 and 1 min.
	MinReports int
	MinSpan    time.Duration
	// MinRuns is the number of finished runs from which a run time is known. Default 3.
	MinRuns int
	// MaxSize is the largest size that a learned estimate has; 0 means no bound in that dimension.
	MaxSize Resources
	// MinSize is the smallest learned estimate, so that an idle job is not packed without bound.
	// Default 50 thousandths of a core and 32 MB.
	MinSize Resources

	jobs  map[string]*list.Element
	order list.List
}

// entry is what is known of one job.
type entry struct {
	job      string
	reports  int
	runs     int
	cpu      histogram
	mem      histogram
	run      histogram
	oldest   time.Time
	newest   time.Time
	peak     Resources
	previous Resources
	peakAt   time.Time
}

// Observe counts a report of what one task of the job used at the time at. Values below
// zero count as zero. A report that is older than the newest one weighs less by its age, so
// the order of arrival does not matter. The caller bounds at by its own clock: a report from
// the future would make all others count as old.
func (b *Estimator) Observe(job string, used Resources, at time.Time) {
	e := b.touch(job)
	used = used.Max(Resources{})
	if e.reports == 0 || at.Before(e.oldest) {
		e.oldest = at
	}
	late := 0.0
	if at.After(e.newest) {
		if e.reports > 0 {
			halvings := float64(at.Sub(e.newest)) / float64(orDuration(b.HalfLife, defaultHalfLife))
			e.cpu.age(halvings)
			e.mem.age(halvings)
		}
		e.newest = at
	} else {
		late = float64(e.newest.Sub(at)) / float64(orDuration(b.HalfLife, defaultHalfLife))
	}
	e.cpu.add(used.CPUMillis, late)
	e.mem.add(used.MemoryMB, late)
	e.reports++
	b.notePeak(e, used, at)
}

// notePeak keeps the peaks of the present and the previous window.
func (b *Estimator) notePeak(e *entry, used Resources, at time.Time) {
	window := orDuration(b.PeakWindow, defaultPeakWindow)
	switch age := at.Sub(e.peakAt); {
	case e.peakAt.IsZero() || age >= 2*window:
		e.previous, e.peak, e.peakAt = Resources{}, used, at
	case age >= window:
		e.previous, e.peak, e.peakAt = e.peak, used, at
	case age >= 0:
		e.peak = e.peak.Max(used)
	case age >= -window:
		e.previous = e.previous.Max(used)
	}
}

// ObserveRun counts the time from start to successful end of one task of the job.
func (b *Estimator) ObserveRun(job string, run time.Duration) {
	e := b.touch(job)
	e.run.age(1.0 / runHalfLife)
	e.run.add(int64((max(run, 0)+time.Second-1)/time.Second), 0)
	e.runs++
}

// EstimateSize returns what a new task of the job should be granted. Until enough reports it
// is the declared size, or the recent peak where that is larger; then it is the percentile
// plus the margin, not below the recent peak by more than PeakDiscount. The learned part never
// exceeds MaxSize; a declared size above it is returned as it is, so that it is reported
// as impossible instead of being placed too small.
func (b *Estimator) EstimateSize(job string, declared Resources) Resources {
	e := b.look(job)
	if e == nil || e.reports == 0 {
		return declared
	}
	floor := e.peak.Max(e.previous).times(1 - b.PeakDiscount)
	if !b.learned(e) {
		return declared.Max(floor.cap(b.MaxSize))
	}
	q := orFloat(b.Percentile, defaultPercentile)
	size := Resources{e.cpu.quantile(q), e.mem.quantile(q)}.times(1 + orFloat(b.Margin, defaultMargin))
	return size.Max(floor).Max(b.least()).cap(b.MaxSize)
}

// learned reports whether the reports are enough to replace the declared size.
func (b *Estimator) learned(e *entry) bool {
	return e.reports >= orInt(b.MinReports, defaultMinReports) &&
		e.newest.Sub(e.oldest) >= orDuration(b.MinSpan, defaultMinSpan)
}

func (b *Estimator) least() Resources {
	return Resources{
		CPUMillis: int64(orInt(int(b.MinSize.CPUMillis), defaultLeastCPU)),
		MemoryMB:  int64(orInt(int(b.MinSize.MemoryMB), defaultLeastMemory)),
	}
}

// EstimateRunTime returns how long a task of the job is expected to run: the percentile of its
// finished runs when at least MinRuns are known, otherwise the declared time and false.
// Estimates are whole seconds.
func (b *Estimator) EstimateRunTime(job string, declared time.Duration) (estimate time.Duration, known bool) {
	e := b.look(job)
	if e == nil || e.runs < orInt(b.MinRuns, defaultMinRuns) {
		return declared, false
	}
	return time.Duration(e.run.quantile(orFloat(b.Percentile, defaultPercentile))) * time.Second, true
}

// Len returns the number of jobs that are remembered.
func (b *Estimator) Len() int { return len(b.jobs) }

func (b *Estimator) look(job string) *entry {
	el, ok := b.jobs[job]
	if !ok {
		return nil
	}
	b.order.MoveToFront(el)
	return el.Value.(*entry)
}

// touch returns the entry of the job; a new one may push out the least recently used.
func (b *Estimator) touch(job string) *entry {
	if e := b.look(job); e != nil {
		return e
	}
	if b.jobs == nil {
		b.jobs = make(map[string]*list.Element)
	}
	for len(b.jobs) >= orInt(b.MaxJobs, defaultMaxJobs) {
		last := b.order.Back()
		delete(b.jobs, last.Value.(*entry).job)
		b.order.Remove(last)
	}
	e := &entry{job: job}
	b.jobs[job] = b.order.PushFront(e)
	return e
}

func orInt(v, def int) int {
	if v <= 0 {
		return def
	}
	return v
}

func orFloat(v, def float64) float64 {
	if v <= 0 {
		return def
	}
	return v
}

func orDuration(v, def time.Duration) time.Duration {
	if v <= 0 {
		return def
	}
	return v
}
