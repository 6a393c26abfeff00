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

// Tracker distinguishes faulty workers, on which tasks of different jobs fail, from faulty
// jobs, whose tasks fail on different workers. The zero value is ready to use; a Tracker must
// be used by one goroutine only. Set the fields before the first call; 0 means the default.
type Tracker struct {
	// WorkerFailureThreshold is the number of consecutive failures, of at least
	// WorkerDistinctJobs different jobs, after which a worker is quarantined. Defaults 5 and 3.
	WorkerFailureThreshold int
	WorkerDistinctJobs     int
	// InitialQuarantine is the duration of the first quarantine; it doubles with each failed
	// probe up to MaxQuarantine. Defaults 10 s and 10 min.
	InitialQuarantine time.Duration
	MaxQuarantine     time.Duration
	// ProbeTimeout is the time without an outcome of a probe after which another one may start.
	// Default 1 min.
	ProbeTimeout time.Duration

	// JobDistinctWorkers is the number of workers on which a job has to fail, without a success
	// in between, to be backed off. Default 3.
	JobDistinctWorkers int
	// JobFailureThreshold is the number of consecutive failures after which a job is backed off
	// regardless of the number of workers. This limits a crash loop in a cell of fewer than
	// JobDistinctWorkers workers. These failures still count against workers. Default 10.
	JobFailureThreshold int
	// InitialBackoff is the first delay of a job; it doubles with each failure that occurs
	// after the delay, up to MaxBackoff. Defaults 1 s and 5 min.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration

	// MaxEntries limits the number of workers and, separately, of jobs that are tracked; the
	// one whose last failure is the oldest is evicted. Default 8,192.
	MaxEntries int

	workers recordTable
	jobs    recordTable
}

// record is the state of a worker or job that has failed since its last success.
type record struct {
	name string
	// counterparts holds, oldest first, the job of each consecutive failure on a worker, or
	// the different workers on which a job failed.
	counterparts []string
	// failures is the number of consecutive failures of a job.
	failures int
	// delay is the length of the current quarantine or backoff; 0 means none.
	delay      time.Duration
	delayUntil time.Time
	// probeStarted is when the running probe started; zero means that none is running.
	probeStarted time.Time
}

// RecordFailure records that a task of the job failed on the worker. Once a job has failed on
// JobDistinctWorkers workers, its failures, including earlier ones, do not count against
// workers. Once a worker is quarantined, failures on it, including earlier ones, do not count
// against jobs.
func (t *Tracker) RecordFailure(now time.Time, worker, job string) {
	w := t.workers.getOrCreate(worker, t.maxEntries())
	j := t.jobs.getOrCreate(job, t.maxEntries())
	if t.jobAtFault(j) {
		t.delayJob(now, j)
		w.probeStarted = time.Time{}
		return
	}
	if w.delay > 0 {
		t.extendQuarantine(now, w)
		return
	}
	t.countJobFailure(now, j, worker)
	if t.jobAtFault(j) {
		t.retractWorkerFailures(j)
		return
	}
	t.countWorkerFailure(now, w, job)
}

// extendQuarantine doubles the quarantine after a failed probe. Failures during the quarantine
// are ignored: they belong to tasks that started before it.
func (t *Tracker) extendQuarantine(now time.Time, w *record) {
	if now.Before(w.delayUntil) {
		return
	}
	w.delay = min(2*w.delay, durationOr(t.MaxQuarantine, defaultMaxQuarantine))
	w.delayUntil = now.Add(w.delay)
	w.probeStarted = time.Time{}
}

// jobAtFault reports whether the job failed on so many workers that the job must be the cause.
func (t *Tracker) jobAtFault(j *record) bool {
	return len(j.counterparts) >= intOr(t.JobDistinctWorkers, defaultJobWorkers)
}

func (t *Tracker) countJobFailure(now time.Time, j *record, worker string) {
	j.failures++
	if !slices.Contains(j.counterparts, worker) {
		j.counterparts = append(j.counterparts, worker)
	}
	if t.jobAtFault(j) || j.failures >= intOr(t.JobFailureThreshold, defaultJobFailures) {
		t.delayJob(now, j)
	}
}

// delayJob starts the backoff of a job, or doubles it if the job failed after its delay.
// Failures during the delay are ignored: they belong to tasks that started before it.
func (t *Tracker) delayJob(now time.Time, j *record) {
	switch {
	case j.delay == 0:
		j.delay = durationOr(t.InitialBackoff, defaultBackoff)
	case now.Before(j.delayUntil):
		return
	default:
		j.delay = min(2*j.delay, durationOr(t.MaxBackoff, defaultMaxBackoff))
	}
	j.delayUntil = now.Add(j.delay)
}

// retractWorkerFailures removes the failures of a job that is at fault from the workers that
// are not quarantined.
func (t *Tracker) retractWorkerFailures(j *record) {
	for _, name := range j.counterparts {
		if w := t.workers.get(name); w != nil && w.delay == 0 {
			w.counterparts = slices.DeleteFunc(w.counterparts, func(job string) bool { return job == j.name })
		}
	}
}

func (t *Tracker) countWorkerFailure(now time.Time, w *record, job string) {
	limit := intOr(t.WorkerFailureThreshold, defaultWorkerFailures)
	w.counterparts = append(w.counterparts, job)
	if len(w.counterparts) < limit || countDistinct(w.counterparts) < intOr(t.WorkerDistinctJobs, defaultWorkerJobs) {
		w.counterparts = trimFailures(w.counterparts, limit)
		return
	}
	w.delay = durationOr(t.InitialQuarantine, defaultQuarantine)
	w.delayUntil = now.Add(w.delay)
	t.retractJobFailures(w)
}

// retractJobFailures removes the failures on a quarantined worker from the jobs that are not at fault.
func (t *Tracker) retractJobFailures(w *record) {
	for _, name := range w.counterparts {
		j := t.jobs.get(name)
		if j == nil || t.jobAtFault(j) {
			continue
		}
		j.counterparts = slices.DeleteFunc(j.counterparts, func(worker string) bool { return worker == w.name })
		j.failures = max(j.failures-1, 0)
		if j.failures < intOr(t.JobFailureThreshold, defaultJobFailures) {
			j.delay = 0
		}
	}
}

// RecordSuccess records that a task of the job succeeded on the worker and clears the
// failures of both.
func (t *Tracker) RecordSuccess(_ time.Time, worker, job string) {
	t.workers.remove(worker)
	t.jobs.remove(job)
}

// Usable reports whether tasks may be placed on the worker. If probe is true, only one task
// may be placed as a probe: the caller reports its start with RecordProbeStart and places no
// other task until the outcome is known.
func (t *Tracker) Usable(now time.Time, worker string) (ok, probe bool) {
	w := t.workers.get(worker)
	if w == nil || w.delay == 0 {
		return true, false
	}
	if now.Before(w.delayUntil) {
		return false, false
	}
	if !w.probeStarted.IsZero() && now.Before(w.probeStarted.Add(durationOr(t.ProbeTimeout, defaultProbeTimeout))) {
		return false, false
	}
	return true, true
}

// RecordProbeStart records that a probe started on the worker; it does nothing if the worker
// is not due for a probe.
func (t *Tracker) RecordProbeStart(now time.Time, worker string) {
	if _, probe := t.Usable(now, worker); probe {
		t.workers.get(worker).probeStarted = now
	}
}

// NextAttempt returns when a task of the job may be placed next: now, or the end of its backoff.
func (t *Tracker) NextAttempt(now time.Time, job string) time.Time {
	j := t.jobs.get(job)
	if j == nil || j.delay == 0 || j.delayUntil.Before(now) {
		return now
	}
	return j.delayUntil
}

// Quarantined returns the names of the workers that are quarantined or being probed, sorted.
func (t *Tracker) Quarantined() []string {
	return t.workers.delayedNames()
}

// BackedOff returns the names of the jobs that are backed off, sorted.
func (t *Tracker) BackedOff() []string {
	return t.jobs.delayedNames()
}

// Forget drops the state of a worker, for example after its replacement.
func (t *Tracker) Forget(worker string) {
	t.workers.remove(worker)
}

func (t *Tracker) maxEntries() int {
	return intOr(t.MaxEntries, defaultMaxEntries)
}

// countDistinct returns the number of different names.
func countDistinct(names []string) int {
	n := 0
	for i, name := range names {
		if !slices.Contains(names[:i], name) {
			n++
		}
	}
	return n
}

// trimFailures limits the failures kept for a worker on which too few different jobs failed.
// It drops the oldest failure of a job that failed more than once, to keep as many different
// jobs as possible.
func trimFailures(names []string, limit int) []string {
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

// recordTable holds records by name and in the order of their last failure.
type recordTable struct {
	byName map[string]*list.Element
	order  list.List
}

func (t *recordTable) get(name string) *record {
	el, ok := t.byName[name]
	if !ok {
		return nil
	}
	return el.Value.(*record)
}

// getOrCreate returns the record of the name, creating it if necessary, and moves it to the
// front. A new record evicts those with the oldest failure beyond limit.
func (t *recordTable) getOrCreate(name string, limit int) *record {
	if el, ok := t.byName[name]; ok {
		t.order.MoveToFront(el)
		return el.Value.(*record)
	}
	if t.byName == nil {
		t.byName = make(map[string]*list.Element)
	}
	for len(t.byName) >= limit {
		t.remove(t.order.Back().Value.(*record).name)
	}
	r := &record{name: name}
	t.byName[name] = t.order.PushFront(r)
	return r
}

func (t *recordTable) remove(name string) {
	if el, ok := t.byName[name]; ok {
		t.order.Remove(el)
		delete(t.byName, name)
	}
}

func (t *recordTable) delayedNames() []string {
	var names []string
	for name, el := range t.byName {
		if el.Value.(*record).delay > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func intOr(v, def int) int {
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
