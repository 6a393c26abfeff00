package sched

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// syncInterval is the interval of syncs that carry no command.
	syncInterval = 2 * time.Second

	// retryInterval is the pause after a call to a worker that failed.
	retryInterval = 500 * time.Millisecond

	// maxMisses is the number of failed calls in a row after which a worker
	// gets no new tasks.
	maxMisses = 2

	// roleWorker is the role of workers in the platform's list.
	roleWorker = "worker"

	stateLive    = "live"
	stateLeaving = "leaving"
	stateGone    = "gone"

	// drainBatch bounds the tasks stopped at once on a leaving worker.
	drainBatch = 4
)

// worker is a worker as seen by the present term.
type worker struct {
	member   fleetMember
	claimed  bool
	recorded bool
	leaving  bool
	gone     bool
	cordoned bool

	capacity place.Resources
	tasks    map[string]*task

	// pending is a clock reading of the worker not yet proven; base is the
	// newest proven one.
	pending   int64
	pendingAt time.Time
	base      int64
	baseAt    time.Time
	hasBase   bool

	out      agent.Sync
	calls    chan call
	inFlight bool
	sequence int64
	nextCall time.Time
	misses   int
	stop     context.CancelFunc
}

// usable tells whether a worker may get new tasks.
func (t *term) usable(w *worker, now time.Time) bool {
	ok, _ := t.health.Usable(now, w.member.Name)
	return ok && w.claimed && w.recorded && w.hasBase && !w.leaving && !w.gone && w.misses < maxMisses
}

// cordon keeps the placement index in step with usable.
func (t *term) cordon(now time.Time) {
	for _, w := range t.workers {
		if w.gone || w.capacity == (place.Resources{}) {
			continue
		}
		t.prove(w)
		closed := !t.usable(w, now)
		if closed == w.cordoned {
			continue
		}
		w.cordoned = closed
		t.cell.Cordon(w.member.Name, closed)
		t.wake = t.wake || !closed
	}
}

// checkLost restarts the tasks of unreachable workers once their leases have ended.
func (t *term) checkLost(now time.Time) {
	t.cordon(now)
	for _, w := range t.workers {
		if w.gone || w.claimed && w.misses < maxMisses {
			t.drain(w)
			continue
		}
		for _, tk := range w.tasks {
			if t.reach.MayRestart(w.member.Name, tk.job.cutOff(), now) && !w.claimed {
				t.lose(tk, "its lease ended on an unreachable worker")
			}
		}
		if w.claimed && t.lapsed(w, now) {
			w.claimed = false
		}
	}
}

// lapsed tells whether the tasks with the shorter limit have ended on a worker
// that no longer answers; it must be claimed again before it is used again.
func (t *term) lapsed(w *worker, now time.Time) bool {
	return w.misses >= maxMisses && t.reach.MayRestart(w.member.Name, lease.MoveOnCutOff, now)
}

// drain stops the tasks of a leaving worker, a few at a time.
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
		t.lose(tk, reason)
	}
}
