package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/lease"
)

var epochStart = time.Unix(1_000_000, 0)

// Guards against a task that is started again too early, or never, for each rule of section 4.
func TestReach(t *testing.T) {
	const move, stay = 22 * time.Second, 4096 * time.Second
	synced := epochStart.Add(10 * time.Second)
	claimAll := func(r *lease.RestartGuard) { r.MarkClaimed("a"); r.MarkClaimed("b") }
	cases := []struct {
		name string
		act  func(r *lease.RestartGuard)
		// When a task of each kind on worker a, or on any unclaimed worker, may be started again,
		// counted from the acquisition; -1 means at once.
		move, stay, allMove, allStay time.Duration
	}{
		{"never reached", func(*lease.RestartGuard) {}, move, stay, move, stay},
		{"claimed", func(r *lease.RestartGuard) { r.MarkClaimed("a") }, move, stay, move, stay},
		{"all claimed", claimAll, move, stay, -1, -1},
		{"claimed twice", func(r *lease.RestartGuard) { r.MarkClaimed("a"); r.MarkClaimed("a") }, move, stay, move, stay},
		{"synced", func(r *lease.RestartGuard) { claimAll(r); r.MarkSynced("a", synced) }, 10*time.Second + move, 10*time.Second + stay, -1, -1},
		{"synced without claim", func(r *lease.RestartGuard) { r.MarkSynced("a", synced) }, 10*time.Second + move, 10*time.Second + stay, 10*time.Second + move, 10*time.Second + stay},
		{"gone", func(r *lease.RestartGuard) { r.MarkGone("a") }, -1, -1, move, stay},
		{"all gone or claimed", func(r *lease.RestartGuard) { r.MarkGone("a"); r.MarkClaimed("b") }, -1, -1, -1, -1},
		{"synced and gone", func(r *lease.RestartGuard) { claimAll(r); r.MarkSynced("a", synced); r.MarkGone("a") }, -1, -1, -1, -1},
		{"gone and back", func(r *lease.RestartGuard) { claimAll(r); r.MarkGone("a"); r.AddWorker("a") }, move, stay, move, stay},
		{"joined", func(r *lease.RestartGuard) { claimAll(r); r.AddWorker("c") }, move, stay, move, stay},
		{"new epoch", func(r *lease.RestartGuard) {
			claimAll(r)
			r.StartEpoch(epochStart, []string{"a", "b"})
		}, move, stay, move, stay},
		{"new epoch, gone before", func(r *lease.RestartGuard) {
			claimAll(r)
			r.MarkGone("a")
			r.StartEpoch(epochStart, []string{"a", "b"})
		}, move, stay, move, stay},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var r lease.RestartGuard
			assert.Assert(t, !r.MayRestart("a", lease.MoveOnCutOff, epochStart) && !r.MayRestartFromUnclaimed(lease.MoveOnCutOff, epochStart))
			r.StartEpoch(epochStart, []string{"a", "b"})
			tc.act(&r)
			one := func(kind lease.CutOffPolicy, now time.Time) bool { return r.MayRestart("a", kind, now) }
			check(t, "Clear move", one, lease.MoveOnCutOff, tc.move)
			check(t, "Clear stay", one, lease.StayOnCutOff, tc.stay)
			check(t, "AllClear move", r.MayRestartFromUnclaimed, lease.MoveOnCutOff, tc.allMove)
			check(t, "AllClear stay", r.MayRestartFromUnclaimed, lease.StayOnCutOff, tc.allStay)
		})
	}
}

func check(t *testing.T, name string, isClear func(lease.CutOffPolicy, time.Time) bool, kind lease.CutOffPolicy, from time.Duration) {
	t.Helper()
	if from < 0 {
		assert.Check(t, isClear(kind, epochStart), name)
		return
	}
	assert.Check(t, !isClear(kind, epochStart.Add(from-1)), name)
	assert.Check(t, isClear(kind, epochStart.Add(from)), name)
}

// worker models the fence: it runs tasks until its base and the limit have passed on its clock.
type worker struct {
	rate float64 // its seconds per second of the owner
	base time.Duration
	gone bool
}

// runs reports whether the worker may still run a task of this kind; it takes up to one second
// to stop it.
func (w *worker) runs(kind lease.CutOffPolicy, now time.Duration) bool {
	return !w.gone && float64(now-w.base-lease.StopMargin)*w.rate < float64(kind.Timeout())
}

// Guards against a task in two places (I2): whatever is claimed, synced with and lost, a task is
// clear only when its worker has stopped it, on clocks up to the assumed drift apart.
func TestReachNeverClearsARunningTask(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var r lease.RestartGuard
		workers := map[string]*worker{}
		claimed := map[string]bool{}
		// Bases that the older owner sent are older than the acquisition at time 0.
		for _, name := range names {
			workers[name] = &worker{
				rate: rapid.Float64Range(1/lease.MaxClockDrift, lease.MaxClockDrift).Draw(t, "rate"),
				base: -time.Duration(rapid.IntRange(0, 10).Draw(t, "base")) * time.Second,
			}
		}
		r.StartEpoch(epochStart, names)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			seconds := rapid.OneOf(rapid.IntRange(0, 25), rapid.IntRange(0, 4500)).Draw(t, "pause")
			now += time.Duration(seconds) * time.Second
			at := epochStart.Add(now)
			name := rapid.SampledFrom(names).Draw(t, "worker")
			w := workers[name]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				r.MarkClaimed(name)
				claimed[name] = true
			case 1, 2:
				if !claimed[name] {
					break
				}
				r.MarkSynced(name, at)
				arrives := rapid.Bool().Draw(t, "arrives")
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				if arrives {
					w.base = max(w.base, now-age)
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
					w.gone = true
					r.MarkGone(name)
				}
			}
			for _, kind := range []lease.CutOffPolicy{lease.MoveOnCutOff, lease.StayOnCutOff} {
				allStopped := true
				for name, w := range workers {
					if r.MayRestart(name, kind, at) && w.runs(kind, now) {
						t.Fatalf("%s task on %s is clear but runs at %v", kind, name, now)
					}
					allStopped = allStopped && (claimed[name] || !w.runs(kind, now))
				}
				if r.MayRestartFromUnclaimed(kind, at) && !allStopped {
					t.Fatalf("%s tasks are clear but an unclaimed worker runs them at %v", kind, now)
				}
			}
		}
	})
}
