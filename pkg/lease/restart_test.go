package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/lease"
)

var epochStart = time.Unix(1_000_000, 0)

// For each rule of section 4 of the design, a task must be restartable neither too early nor too
// late.
func TestRestartGuard(t *testing.T) {
	const move, stay = 22 * time.Second, 4096 * time.Second
	synced := epochStart.Add(10 * time.Second)
	claimAll := func(g *lease.RestartGuard) { g.MarkClaimed("a"); g.MarkClaimed("b") }
	cases := []struct {
		name  string
		apply func(g *lease.RestartGuard)
		// When a task with each policy on worker a, or on any unclaimed worker, may be restarted,
		// counted from the acquisition; -1 means immediately.
		move, stay, allMove, allStay time.Duration
	}{
		{"never contacted", func(*lease.RestartGuard) {}, move, stay, move, stay},
		{"claimed", func(g *lease.RestartGuard) { g.MarkClaimed("a") }, move, stay, move, stay},
		{"all claimed", claimAll, move, stay, -1, -1},
		{"claimed twice", func(g *lease.RestartGuard) { g.MarkClaimed("a"); g.MarkClaimed("a") }, move, stay, move, stay},
		{"synced", func(g *lease.RestartGuard) { claimAll(g); g.MarkSynced("a", synced) }, 10*time.Second + move, 10*time.Second + stay, -1, -1},
		{"synced without claim", func(g *lease.RestartGuard) { g.MarkSynced("a", synced) }, 10*time.Second + move, 10*time.Second + stay, 10*time.Second + move, 10*time.Second + stay},
		{"gone", func(g *lease.RestartGuard) { g.MarkGone("a") }, -1, -1, move, stay},
		{"all gone or claimed", func(g *lease.RestartGuard) { g.MarkGone("a"); g.MarkClaimed("b") }, -1, -1, -1, -1},
		{"synced and gone", func(g *lease.RestartGuard) { claimAll(g); g.MarkSynced("a", synced); g.MarkGone("a") }, -1, -1, -1, -1},
		{"gone and back", func(g *lease.RestartGuard) { claimAll(g); g.MarkGone("a"); g.AddWorker("a") }, move, stay, move, stay},
		{"joined", func(g *lease.RestartGuard) { claimAll(g); g.AddWorker("c") }, move, stay, move, stay},
		{"new epoch", func(g *lease.RestartGuard) {
			claimAll(g)
			g.StartEpoch(epochStart, []string{"a", "b"})
		}, move, stay, move, stay},
		{"new epoch, gone before", func(g *lease.RestartGuard) {
			claimAll(g)
			g.MarkGone("a")
			g.StartEpoch(epochStart, []string{"a", "b"})
		}, move, stay, move, stay},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var guard lease.RestartGuard
			assert.Assert(t, !guard.MayRestart("a", lease.MoveOnCutOff, epochStart) && !guard.MayRestartFromUnclaimed(lease.MoveOnCutOff, epochStart))
			guard.StartEpoch(epochStart, []string{"a", "b"})
			tc.apply(&guard)
			mayRestart := func(policy lease.CutOffPolicy, now time.Time) bool { return guard.MayRestart("a", policy, now) }
			checkRestartableFrom(t, "MayRestart move", mayRestart, lease.MoveOnCutOff, tc.move)
			checkRestartableFrom(t, "MayRestart stay", mayRestart, lease.StayOnCutOff, tc.stay)
			checkRestartableFrom(t, "MayRestartFromUnclaimed move", guard.MayRestartFromUnclaimed, lease.MoveOnCutOff, tc.allMove)
			checkRestartableFrom(t, "MayRestartFromUnclaimed stay", guard.MayRestartFromUnclaimed, lease.StayOnCutOff, tc.allStay)
		})
	}
}

func checkRestartableFrom(t *testing.T, name string, mayRestart func(lease.CutOffPolicy, time.Time) bool, policy lease.CutOffPolicy, from time.Duration) {
	t.Helper()
	if from < 0 {
		assert.Check(t, mayRestart(policy, epochStart), name)
		return
	}
	assert.Check(t, !mayRestart(policy, epochStart.Add(from-1)), name)
	assert.Check(t, mayRestart(policy, epochStart.Add(from)), name)
}

// worker models the fence: it runs tasks until the timeout after its renewal time has passed on its
// clock.
type worker struct {
	rate        float64 // seconds of its clock per second of the owner's
	renewalTime time.Duration
	gone        bool
}

// mayRun reports whether the worker may still run a task with this policy. It takes up to one second
// to stop the task.
func (w *worker) mayRun(policy lease.CutOffPolicy, now time.Duration) bool {
	return !w.gone && float64(now-w.renewalTime-lease.StopMargin)*w.rate < float64(policy.Timeout())
}

// No task may run in two places (invariant I2): whatever workers are claimed, synced or lost, a task
// may be restarted only after its worker has stopped it, with clocks that differ by up to the assumed
// drift.
func TestRestartGuardNeverRestartsRunningTask(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var guard lease.RestartGuard
		workers := map[string]*worker{}
		claimed := map[string]bool{}
		// Renewal times that the former owner sent are older than the acquisition at time 0.
		for _, name := range names {
			workers[name] = &worker{
				rate:        rapid.Float64Range(1/lease.MaxClockDrift, lease.MaxClockDrift).Draw(t, "rate"),
				renewalTime: -time.Duration(rapid.IntRange(0, 10).Draw(t, "renewal time")) * time.Second,
			}
		}
		guard.StartEpoch(epochStart, names)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			seconds := rapid.OneOf(rapid.IntRange(0, 25), rapid.IntRange(0, 4500)).Draw(t, "pause")
			now += time.Duration(seconds) * time.Second
			at := epochStart.Add(now)
			name := rapid.SampledFrom(names).Draw(t, "worker")
			w := workers[name]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				guard.MarkClaimed(name)
				claimed[name] = true
			case 1, 2:
				if !claimed[name] {
					break
				}
				guard.MarkSynced(name, at)
				arrives := rapid.Bool().Draw(t, "arrives")
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				if arrives {
					w.renewalTime = max(w.renewalTime, now-age)
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
					w.gone = true
					guard.MarkGone(name)
				}
			}
			for _, policy := range []lease.CutOffPolicy{lease.MoveOnCutOff, lease.StayOnCutOff} {
				allStopped := true
				for name, w := range workers {
					if guard.MayRestart(name, policy, at) && w.mayRun(policy, now) {
						t.Fatalf("%s task on %s may be restarted but still runs at %v", policy, name, now)
					}
					allStopped = allStopped && (claimed[name] || !w.mayRun(policy, now))
				}
				if guard.MayRestartFromUnclaimed(policy, at) && !allStopped {
					t.Fatalf("%s tasks may be restarted but still run on an unclaimed worker at %v", policy, now)
				}
			}
		}
	})
}
