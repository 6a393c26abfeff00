package lease

import "time"

// Reach decides whether a task may be started again without running twice (design, section 4).
// It is pure: times are passed in, and a single goroutine owns it. Times must come from the
// owner's own monotonic clock.
type RestartGuard struct {
	// acquiredAt is the time of the acquisition; zero before the first one.
	acquiredAt time.Time

	// syncedUnclaimed is the last sync with a worker that was not claimed.
	syncedUnclaimed time.Time

	workers   map[string]*reached
	unclaimed int
}

// reached is what the owner knows of a worker under its epoch.
type reached struct {
	claimed bool
	gone    bool
	synced  time.Time
}

// Acquired starts a new epoch: nothing that was known under an older one counts. The workers
// must be all of the failure domain, from an instance list as of a time after the acquisition.
func (r *RestartGuard) StartEpoch(now time.Time, workers []string) {
	r.acquiredAt = now
	r.syncedUnclaimed = time.Time{}
	r.workers = make(map[string]*reached, len(workers))
	r.unclaimed = 0
	for _, worker := range workers {
		r.AddWorker(worker)
	}
}

// Add makes a worker known that joined after the acquisition or came back.
func (r *RestartGuard) AddWorker(worker string) {
	known, ok := r.workers[worker]
	if ok && !known.gone {
		return
	}
	r.put(worker, &reached{})
	r.unclaimed++
}

// Claimed notes that a worker accepted the epoch and returned all tasks that it holds.
func (r *RestartGuard) MarkClaimed(worker string) {
	r.AddWorker(worker)
	known := r.workers[worker]
	if !known.claimed {
		known.claimed = true
		r.unclaimed--
	}
}

// Synced notes a sync that carried a proven base. It must be called when the sync is sent,
// because the sync may take effect although its answer is lost.
func (r *RestartGuard) MarkSynced(worker string, now time.Time) {
	r.AddWorker(worker)
	known := r.workers[worker]
	known.synced = latest(known.synced, now)
	if !known.claimed {
		r.syncedUnclaimed = latest(r.syncedUnclaimed, now)
	}
}

// Gone notes that the platform's list says that a worker is gone.
func (r *RestartGuard) MarkGone(worker string) {
	known, ok := r.workers[worker]
	if !ok {
		r.put(worker, &reached{gone: true})
		return
	}
	if !known.claimed && !known.gone {
		r.unclaimed--
	}
	known.gone = true
}

// Clear reports whether a task that may be running on this worker may be started again: the
// worker is gone, or has stopped its tasks of this kind because the owner did not reach it. A
// task that a claimed worker reported as ended, or does not hold, needs no such wait.
func (r *RestartGuard) MayRestart(worker string, kind CutOffPolicy, now time.Time) bool {
	if r.acquiredAt.IsZero() {
		return false
	}
	known, ok := r.workers[worker]
	if !ok {
		return passed(r.acquiredAt, kind, now)
	}
	return known.gone || passed(latest(r.acquiredAt, known.synced), kind, now)
}

// AllClear reports whether a task that may be running on any unclaimed worker may be started.
func (r *RestartGuard) MayRestartFromUnclaimed(kind CutOffPolicy, now time.Time) bool {
	if r.acquiredAt.IsZero() {
		return false
	}
	return r.unclaimed == 0 || passed(latest(r.acquiredAt, r.syncedUnclaimed), kind, now)
}

// Unclaimed is the number of known workers that are neither claimed nor gone.
func (r *RestartGuard) UnclaimedCount() int {
	return r.unclaimed
}

func (r *RestartGuard) put(worker string, known *reached) {
	if r.workers == nil {
		r.workers = make(map[string]*reached)
	}
	r.workers[worker] = known
}

func passed(since time.Time, kind CutOffPolicy, now time.Time) bool {
	return now.Sub(since) >= kind.RestartDelay()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
