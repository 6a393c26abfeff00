package sched

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// syncInterval is the interval between syncs without commands.
	syncInterval = 2 * time.Second

	// callRetryDelay is the delay after a failed call to a worker.
	callRetryDelay = 500 * time.Millisecond

	// maxFailedCalls is the number of consecutive failed calls after which a worker counts as
	// unreachable and gets no new tasks.
	maxFailedCalls = 2

	// roleWorker is the role of workers in the platform's instance list.
	roleWorker = "worker"

	stateLive    = "live"
	stateLeaving = "leaving"
	stateGone    = "gone"

	// drainBatch limits the tasks that a leaving worker stops at the same time.
	drainBatch = 4
)

// worker is the state of a worker during the term.
type worker struct {
	info    workerInfo
	claimed bool
	// recorded is set once the fleet row names the worker. It gets no tasks before that, because a
	// later owner would not know of them.
	recorded bool
	leaving  bool
	gone     bool
	cordoned bool

	capacity place.Resources
	tasks    map[string]*task

	// unconfirmedMS is a reading of the worker's clock that no later lease renewal has confirmed
	// yet, and confirmedMS is the latest confirmed one. The times are when the owner received them.
	unconfirmedMS  int64
	unconfirmedAt  time.Time
	confirmedMS    int64
	confirmedAt    time.Time
	clockConfirmed bool

	commands    agent.Sync
	calls       chan call
	inFlight    bool
	sequence    int64
	nextCall    time.Time
	failedCalls int
	stop        context.CancelFunc
}

// usable reports whether a worker may get new tasks.
func (t *term) usable(w *worker, now time.Time) bool {
	ok, _ := t.health.Usable(now, w.info.Name)
	return ok && w.claimed && w.recorded && w.clockConfirmed && !w.leaving && !w.gone && w.failedCalls < maxFailedCalls
}

// updateCordons cordons the workers that are not usable in the placement index, and uncordons the
// others.
func (t *term) updateCordons(now time.Time) {
	for _, w := range t.workers {
		if w.gone || w.capacity == (place.Resources{}) {
			continue
		}
		t.confirmClock(w)
		cordon := !t.usable(w, now)
		if cordon == w.cordoned {
			continue
		}
		w.cordoned = cordon
		t.cell.Cordon(w.info.Name, cordon)
		t.resumeSuspended = t.resumeSuspended || !cordon
	}
}

// checkUnreachable restarts the tasks of unreachable workers once the workers must have stopped
// them.
func (t *term) checkUnreachable(now time.Time) {
	t.updateCordons(now)
	for _, w := range t.workers {
		if w.gone || w.claimed && w.failedCalls < maxFailedCalls {
			t.drain(w)
			continue
		}
		for _, tk := range w.tasks {
			if t.restartGuard.MayRestart(w.info.Name, tk.job.cutOffPolicy(), now) && !w.claimed {
				t.loseTask(tk, "its lease ended on an unreachable worker")
			}
		}
		if w.claimed && t.claimExpired(w, now) {
			w.claimed = false
		}
	}
}

// claimExpired reports whether an unreachable worker has been out of contact for so long that it
// has stopped the tasks that move when cut off. It must be claimed again before it gets new tasks.
func (t *term) claimExpired(w *worker, now time.Time) bool {
	return w.failedCalls >= maxFailedCalls && t.restartGuard.MayRestart(w.info.Name, lease.MoveOnCutOff, now)
}

// drain stops the tasks of a leaving worker, at most drainBatch at a time.
func (t *term) drain(w *worker) {
	if !w.leaving || w.gone {
		return
	}
	stopping := 0
	for _, tk := range w.tasks {
		if tk.state == taskStopping {
			stopping++
		}
	}
	for _, tk := range w.tasks {
		if stopping >= drainBatch {
			return
		}
		if tk.state == taskRunning {
			t.stop(tk, "its worker is leaving")
			stopping++
		}
	}
}

func (t *term) loseTasks(w *worker, reason string) {
	for _, tk := range w.tasks {
		t.loseTask(tk, reason)
	}
}
