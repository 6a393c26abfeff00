package flow_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// A record that no owner can restore would stop one owner after the other.
func TestDamagedRecordsAreRestoredOrRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Int64Range(-3, 5)
		spec := &wire.JobRecord{Queue: "q", Times: n.Draw(t, "times"), PeriodMs: n.Draw(t, "period")}
		for range rapid.IntRange(0, 3).Draw(t, "steps") {
			spec.Steps = append(spec.Steps, &wire.StepRecord{
				Count: n.Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), After: rapid.SliceOfN(n, 0, 2).Draw(t, "after"),
				Lasts: rapid.Bool().Draw(t, "lasts"),
			})
		}
		progress := &wire.ProgressRecord{State: rapid.SampledFrom([]string{"pending", "", "x", "failed"}).Draw(t, "state")}
		for range rapid.IntRange(0, 3).Draw(t, "progress") {
			p := &wire.StepProgress{Occurrence: n.Draw(t, "occurrence"), Step: n.Draw(t, "step"), Done: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "done")}
			for range rapid.IntRange(0, 2).Draw(t, "tasks") {
				p.Tasks = append(p.Tasks, &wire.TaskProgress{Index: n.Draw(t, "index"), Crashes: []*wire.CrashRecord{{Run: 1, Executor: "x"}, nil}})
			}
			progress.Steps = append(progress.Steps, p)
		}
		j, err := flow.Restore("a", spec, []*wire.ProgressRecord{progress}, 1)
		if err != nil {
			return
		}
		j.Resume(start)
		j.UnconfirmedCrashes()
		j.Progress()
	})
}
