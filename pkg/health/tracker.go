package health

import (
	"container/list"
	"slices"
	"time"
)

const (
	defaultWorkerFailures = 5
	defaultWorkerJobs     = 3
	defaultQuarantine     = 10 * time.Second
	defaultMaxQuarantine  = 10 * time.Minute
	defaultProbeTimeout   = time.Minute
	defaultJobWorkers     = 3
	defaultJobFailures    = 10
	defaultBackoff        = time.Second
	defaultMaxBackoff     = 5 * time.Minute
	defaultMaxEntries     = 8192
)

// Tracker tells workers that fail everything from jobs that fail everywhere.
// The zero value is ready; one goroutine owns it. Set the fields before the first call;
// 0 means the default.
type Tracker struct {
	// WorkerFailureThreshold in a row, of at least WorkerDistinctJobs different jobs, quarantine a worker.
	// Defaults 5 and 3.
	WorkerFailureThreshold int
	WorkerDistinctJobs     int
	// InitialQuarantine is the first quarantine; it doubles with each failed probe up to
	// MaxQuarantine. Defaults 10 s and 10 min.
	InitialQuarantine time.Duration
	MaxQuarantine     time.Duration
	// ProbeTimeout is after what time without an outcome of a probe another one may start. Default 1 min.
	ProbeTimeout time.Duration

	// JobDistinctWorkers is on how many workers a job has to fail, without a success in between,
	// to be backed off. Default 3.
	JobDistinctWorkers int
	// JobFailureThreshold in a row back a job off on any number of workers, which bounds a crash loop
	// in a cell of fewer than JobDistinctWorkers workers. They count against workers all the same. Default 10.
	JobFailureThreshold int
	// InitialBackoff is the first delay of a job; it doubles with each failure after the delay
	// up to MaxBackoff. Defaults 1 s and 5 min.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration

	// MaxEntries bounds the workers and the jobs that are remembered, each; the one whose
	// last failure is the oldest is forgotten. Default 8,192.
	MaxEntries int

	workers table
	jobs    table
}

// record is the state of one worker or job that failed since its last success.
type record struct {
	name string
	// others has the counterpart of each failure in a row, oldest first: the jobs that
	// failed on a worker, or the workers on which a job failed.
	others []string
	// failures counts all failures of a job in a row.
	failures int
	// delay is the present quarantine or back-off; 0 means none.
	delay time.Duration
	until time.Time
	// probed is when the probe started; zero means that none is running.
	probed time.Time
}

// RecordFailure records that a task of the job failed on the worker. Once a job failed on
// JobDistinctWorkers workers its failures do not count against workers, the earlier ones included;
// once a worker is quarantined, failures on it do not count against jobs, the earlier ones included.
func (t *Tracker) RecordFailure(now time.Time, worker, job string) {
	w := t.workers.touch(worker, t.maxEntries())
	j := t.jobs.touch(job, t.maxEntries())
	if t.atFault(j) {
		t.delayJob(now, j)
		w.probed = time.Time{}
		return
	}
	if w.delay > 0 {
		t.failProbe(now, w)
		return
	}
	t.countJob(now, j, worker)
	if t.atFault(j) {
		t.forgive(j)
		return
	}
	t.countWorker(now, w, job)
}

// failProbe doubles the quarantine when a probe failed; late failures of older tasks change nothing.
func (t *Tracker) failProbe(now time.Time, w *record) {
	if now.Before(w.until) {
		return
	}
	w.delay = min(2*w.delay, orDuration(t.MaxQuarantine, defaultMaxQuarantine))
	w.until = now.Add(w.delay)
	w.probed = time.Time{}
}

// atFault reports whether the job failed on so many workers that they are not the cause.
func (t *Tracker) atFault(j *record) bool {
	return len(j.others) >= orInt(t.JobDistinctWorkers, defaultJobWorkers)
}

func (t *Tracker) countJob(now time.Time, j *record, worker string) {
	j.failures++
	if !slices.Contains(j.others, worker) {
		j.others = append(j.others, worker)
	}
	if t.atFault(j) || j.failures >= orInt(t.JobFailureThreshold, defaultJobFailures) {
		t.delayJob(now, j)
	}
}

// delayJob starts the back-off of a job, or doubles it when the job failed after its delay;
// failures during the delay are of tasks that started before.
func (t *Tracker) delayJob(now time.Time, j *record) {
	switch {
	case j.delay == 0:
		j.delay = orDuration(t.InitialBackoff, defaultBackoff)
	case now.Before(j.until):
		return
	default:
		j.delay = min(2*j.delay, orDuration(t.MaxBackoff, defaultMaxBackoff))
	}
	j.until = now.Add(j.delay)
}

// forgive takes the failures of a job that is at fault from the workers they were counted against.
func (t *Tracker) forgive(j *record) {
	for _, name := range j.others {
		if w := t.workers.look(name); w != nil && w.delay == 0 {
			w.others = slices.DeleteFunc(w.others, func(job string) bool { return job == j.name })
		}
	}
}

func (t *Tracker) countWorker(now time.Time, w *record, job string) {
	limit := orInt(t.WorkerFailureThreshold, defaultWorkerFailures)
	w.others = append(w.others, job)
	if len(w.others) < limit || distinct(w.others) < orInt(t.WorkerDistinctJobs, defaultWorkerJobs) {
		w.others = trim(w.others, limit)
		return
	}
	w.delay = orDuration(t.InitialQuarantine, defaultQuarantine)
	w.until = now.Add(w.delay)
	t.acquit(w)
}

// acquit takes the failures on a quarantined worker from the jobs they were counted against.
func (t *Tracker) acquit(w *record) {
	for _, name := range w.others {
		j := t.jobs.look(name)
		if j == nil || t.atFault(j) {
			continue
		}
		j.others = slices.DeleteFunc(j.others, func(worker string) bool { return worker == w.name })
		j.failures = max(j.failures-1, 0)
		if j.failures < orInt(t.JobFailureThreshold, defaultJobFailures) {
			j.delay = 0
		}
	}
}

// RecordSuccess records that a task of the job succeeded on the worker: both are healthy.
func (t *Tracker) RecordSuccess(_ time.Time, worker, job string) {
	t.workers.forget(worker)
	t.jobs.forget(job)
}

// Usable reports whether tasks may be placed on the worker. With probe set, one task may:
// the caller reports its start with RecordProbeStart and places no other until the outcome.
func (t *Tracker) Usable(now time.Time, worker string) (ok, probe bool) {
	w := t.workers.look(worker)
	if w == nil || w.delay == 0 {
		return true, false
	}
	if now.Before(w.until) {
		return false, false
	}
	if !w.probed.IsZero() && now.Before(w.probed.Add(orDuration(t.ProbeTimeout, defaultProbeTimeout))) {
		return false, false
	}
	return true, true
}

// RecordProbeStart records that the probe task of the worker started; it is ignored for other workers.
func (t *Tracker) RecordProbeStart(now time.Time, worker string) {
	if _, probe := t.Usable(now, worker); probe {
		t.workers.look(worker).probed = now
	}
}

// NextAttempt returns when a task of the job may be placed next: now, or the end of its back-off.
func (t *Tracker) NextAttempt(now time.Time, job string) time.Time {
	j := t.jobs.look(job)
	if j == nil || j.delay == 0 || j.until.Before(now) {
		return now
	}
	return j.until
}

// Quarantined returns the names of the workers that are quarantined or being probed, sorted.
func (t *Tracker) Quarantined() []string {
	return t.workers.delayed()
}

// BackedOff returns the names of the jobs that are backed off, sorted.
func (t *Tracker) BackedOff() []string {
	return t.jobs.delayed()
}

// Forget drops what is known of a worker, as after its replacement.
func (t *Tracker) Forget(worker string) {
	t.workers.forget(worker)
}

func (t *Tracker) maxEntries() int {
	return orInt(t.MaxEntries, defaultMaxEntries)
}

// distinct counts the different names.
func distinct(names []string) int {
	n := 0
	for i, name := range names {
		if !slices.Contains(names[:i], name) {
			n++
		}
	}
	return n
}

// trim bounds the failures of a worker on which too few different jobs failed. It drops
// the oldest failure of a job that failed more than once, so that different jobs stay.
func trim(names []string, limit int) []string {
	for len(names) >= 2*limit {
		drop := 0
		for i, name := range names {
			if slices.Contains(names[i+1:], name) {
				drop = i
				break
			}
		}
		names = slices.Delete(names, drop, drop+1)
	}
	return names
}

// table holds the records in the order of their last failure.
type table struct {
	byName map[string]*list.Element
	order  list.List
}

func (b *table) look(name string) *record {
	el, ok := b.byName[name]
	if !ok {
		return nil
	}
	return el.Value.(*record)
}

// touch returns the record of the name, a new one if need be, as the latest.
func (b *table) touch(name string, limit int) *record {
	if el, ok := b.byName[name]; ok {
		b.order.MoveToFront(el)
		return el.Value.(*record)
	}
	if b.byName == nil {
		b.byName = make(map[string]*list.Element)
	}
	for len(b.byName) >= limit {
		b.forget(b.order.Back().Value.(*record).name)
	}
	r := &record{name: name}
	b.byName[name] = b.order.PushFront(r)
	return r
}

func (b *table) forget(name string) {
	if el, ok := b.byName[name]; ok {
		b.order.Remove(el)
		delete(b.byName, name)
	}
}

func (b *table) delayed() []string {
	var names []string
	for name, el := range b.byName {
		if el.Value.(*record).delay > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func orInt(v, def int) int {
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
