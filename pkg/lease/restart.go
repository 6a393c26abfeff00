package lease

import "time"

// RestartGuard decides at the owner whether a task may be restarted without running twice (design,
// section 4). It does no I/O, reads no clock and is not safe for concurrent use. The times passed
// in must come from the owner's own monotonic clock.
type RestartGuard struct {
	// epochStart is the time of the latest acquisition; zero before the first one.
	epochStart time.Time

	// lastUnclaimedSync is the time of the last sync with an unclaimed worker.
	lastUnclaimedSync time.Time

	workers   map[string]*workerState
	unclaimed int
}

// workerState is what the owner knows about a worker in the current epoch.
type workerState struct {
	claimed  bool
	gone     bool
	lastSync time.Time
}

// StartEpoch discards what was known in the previous epoch and starts a new one. The list must
// contain all workers of the failure domain as of a time after the acquisition.
func (g *RestartGuard) StartEpoch(now time.Time, workers []string) {
	g.epochStart = now
	g.lastUnclaimedSync = time.Time{}
	g.workers = make(map[string]*workerState, len(workers))
	g.unclaimed = 0
	for _, worker := range workers {
		g.AddWorker(worker)
	}
}

// AddWorker adds a worker that joined after the acquisition or came back.
func (g *RestartGuard) AddWorker(worker string) {
	state, ok := g.workers[worker]
	if ok && !state.gone {
		return
	}
	g.setWorker(worker, &workerState{})
	g.unclaimed++
}

// MarkClaimed records that a worker accepted the epoch and returned all tasks that it holds.
func (g *RestartGuard) MarkClaimed(worker string) {
	g.AddWorker(worker)
	state := g.workers[worker]
	if !state.claimed {
		state.claimed = true
		g.unclaimed--
	}
}

// MarkSynced records a sync that carried a renewal time. It must be called when the sync is sent,
// because the sync may take effect even if its response is lost.
func (g *RestartGuard) MarkSynced(worker string, now time.Time) {
	g.AddWorker(worker)
	state := g.workers[worker]
	state.lastSync = latest(state.lastSync, now)
	if !state.claimed {
		g.lastUnclaimedSync = latest(g.lastUnclaimedSync, now)
	}
}

// MarkGone records that a worker is gone according to the platform's instance list.
func (g *RestartGuard) MarkGone(worker string) {
	state, ok := g.workers[worker]
	if !ok {
		g.setWorker(worker, &workerState{gone: true})
		return
	}
	if !state.claimed && !state.gone {
		g.unclaimed--
	}
	state.gone = true
}

// MayRestart reports whether a task that may be running on this worker may be restarted: either the
// worker is gone, or it has stopped its tasks with this policy because its claim was not renewed.
// Tasks that a claimed worker reported as ended, or does not hold, may be restarted without this check.
func (g *RestartGuard) MayRestart(worker string, policy CutOffPolicy, now time.Time) bool {
	if g.epochStart.IsZero() {
		return false
	}
	state, ok := g.workers[worker]
	if !ok {
		return delayElapsed(g.epochStart, policy, now)
	}
	return state.gone || delayElapsed(latest(g.epochStart, state.lastSync), policy, now)
}

// MayRestartFromUnclaimed reports whether a task that may be running on any of the unclaimed
// workers may be restarted.
func (g *RestartGuard) MayRestartFromUnclaimed(policy CutOffPolicy, now time.Time) bool {
	if g.epochStart.IsZero() {
		return false
	}
	return g.unclaimed == 0 || delayElapsed(latest(g.epochStart, g.lastUnclaimedSync), policy, now)
}

// UnclaimedCount returns the number of known workers that are neither claimed nor gone.
func (g *RestartGuard) UnclaimedCount() int {
	return g.unclaimed
}

func (g *RestartGuard) setWorker(worker string, state *workerState) {
	if g.workers == nil {
		g.workers = make(map[string]*workerState)
	}
	g.workers[worker] = state
}

func delayElapsed(since time.Time, policy CutOffPolicy, now time.Time) bool {
	return now.Sub(since) >= policy.RestartDelay()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
