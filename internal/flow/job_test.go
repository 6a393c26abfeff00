package flow_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

var start = time.Unix(1_700_000_000, 0)

func step(count int, after ...int) flow.StepSpec {
	return flow.StepSpec{Count: count, Need: place.Resources{CPUMillis: 100}, Estimate: time.Second, DependsOn: after}
}

func task(step, index int) fleet.TaskID {
	return fleet.TaskID{Job: "a", Step: step, Index: index}
}

func TestStepWaitsForAllDependencies(t *testing.T) {
	j := flow.NewJob("a", flow.Spec{Steps: []flow.StepSpec{step(2), step(1), step(1, 0, 1)}}, 1)
	assert.Equal(t, len(j.OpenDue(start)), 2)
	assert.Equal(t, len(j.ApplyEnd(start, task(0, 0), 1, fleet.Done, "").Ready), 0)
	assert.Equal(t, len(j.ApplyEnd(start, task(1, 0), 1, fleet.Done, "").Ready), 0)
	ready := j.ApplyEnd(start, task(0, 1), 1, fleet.Done, "").Ready
	assert.DeepEqual(t, ready, []fleet.StepID{{Job: "a", Step: 2}})
	assert.Assert(t, j.ApplyEnd(start, task(2, 0), 1, fleet.Done, "").Final)
	assert.Equal(t, j.State, flow.Completed)
}

func TestGangCompletesWithFirstMember(t *testing.T) {
	s := step(3)
	s.Gang, s.SavesCheckpoints = true, true
	j := flow.NewJob("a", flow.Spec{Steps: []flow.StepSpec{s}}, 2)
	j.OpenDue(start)
	assert.Assert(t, j.ApplyEnd(start, task(0, 1), 1, fleet.GangBroken, "c1").Restart)
	assert.Equal(t, j.Task(task(0, 2)).Checkpoint, "c1")
	assert.Assert(t, j.ApplyEnd(start, task(0, 2), 2, fleet.Done, "").Final)
	assert.Equal(t, j.State, flow.Completed)
}

func TestLongRunningTaskRestartsAfterAnyEnd(t *testing.T) {
	s := step(1)
	s.LongRunning = true
	j := flow.NewJob("a", flow.Spec{Steps: []flow.StepSpec{s}}, 1)
	j.OpenDue(start)
	for i, kind := range []fleet.EndKind{fleet.Done, fleet.Failed, fleet.Failed, fleet.LeaseExpired, fleet.Stopped} {
		assert.Assert(t, j.ApplyEnd(start, task(0, 0), int64(i+1), kind, "").Restart, kind.String())
	}
	assert.Assert(t, j.Cancel(start))
	assert.Assert(t, !j.Cancel(start))
}

func TestOccurrencesOpenWhenDue(t *testing.T) {
	j := flow.NewJob("a", flow.Spec{
		Steps: []flow.StepSpec{step(1)}, Occurrences: 3, FirstDue: start.Add(time.Second), Period: 2 * time.Second,
	}, 1)
	assert.Equal(t, len(j.OpenDue(start)), 0)
	assert.Equal(t, len(j.OpenDue(start.Add(time.Second))), 1)
	assert.Equal(t, len(j.OpenDue(start.Add(5*time.Second))), 2)
	for k := range 3 {
		assert.Equal(t, j.State, flow.Pending)
		j.ApplyEnd(start, fleet.TaskID{Job: "a", Occurrence: k}, 1, fleet.Done, "")
	}
	assert.Equal(t, j.State, flow.Completed)
}

func TestValidateRejectsMalformedJobs(t *testing.T) {
	for name, spec := range map[string]flow.Spec{
		"no steps":        {},
		"no tasks":        {Steps: []flow.StepSpec{step(0)}},
		"later step":      {Steps: []flow.StepSpec{step(1, 1), step(1)}},
		"itself":          {Steps: []flow.StepSpec{step(1, 0)}},
		"long text":       {Text: string(make([]byte, flow.MaxTextBytes+1)), Steps: []flow.StepSpec{step(1)}},
		"negative need":   {Steps: []flow.StepSpec{{Count: 1, Need: place.Resources{CPUMillis: -1}}}},
		"negative period": {Steps: []flow.StepSpec{step(1)}, Occurrences: 2, Period: -time.Second},
	} {
		assert.ErrorIs(t, spec.Validate(), flow.ErrMalformed, name)
	}
}

// Guards against progress that is lost when a job is stored and restored: the restored job must
// have the same state, ready steps, checkpoints and failed runs as the original.
func TestRestoredJobEqualsOriginal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		spec := flow.Spec{Queue: "q", Text: "x", Accepted: time.UnixMilli(start.UnixMilli()), Occurrences: rapid.IntRange(0, 3).Draw(rt, "times")}
		if spec.Occurrences > 0 {
			spec.FirstDue, spec.Period = time.UnixMilli(start.UnixMilli()), 0
		}
		for i := range rapid.IntRange(1, 4).Draw(rt, "steps") {
			s := step(rapid.IntRange(1, 9).Draw(rt, "count"))
			s.SavesCheckpoints = rapid.Bool().Draw(rt, "checkpoints")
			s.Gang = rapid.Bool().Draw(rt, "gang")
			if i > 0 && rapid.Bool().Draw(rt, "follows") {
				s.DependsOn = []int{rapid.IntRange(0, i-1).Draw(rt, "after")}
			}
			spec.Steps = append(spec.Steps, s)
		}
		j := flow.NewJob("a", spec, 3)
		ready := j.OpenDue(start)
		for n := range rapid.IntRange(0, 40).Draw(rt, "ends") {
			if len(ready) == 0 || j.State.Final() {
				break
			}
			s := ready[rapid.IntRange(0, len(ready)-1).Draw(rt, "step")]
			kind := []fleet.EndKind{fleet.Done, fleet.Done, fleet.Failed, fleet.Stopped}[rapid.IntRange(0, 3).Draw(rt, "kind")]
			unfinished := j.UnfinishedTasks(s)
			if len(unfinished) == 0 {
				continue
			}
			t := fleet.TaskID{Job: "a", Occurrence: s.Occurrence, Step: s.Step, Index: unfinished[0]}
			ready = append(ready, j.ApplyEnd(start, t, int64(n+1), kind, "saved").Ready...)
		}
		restored, err := flow.Restore("a", j.Spec.Record(), storedProgress(rt, j), 3)
		assert.NilError(rt, err)
		if j.State.Final() {
			assert.Equal(rt, restored.State, j.State)
			return
		}
		restored.Resume(start)
		assert.DeepEqual(rt, restored.Spec, j.Spec)
		for k := range max(spec.Occurrences, 1) {
			for i := range spec.Steps {
				s := fleet.StepID{Job: "a", Occurrence: k, Step: i}
				assert.Equal(rt, restored.Ready(s), j.Ready(s))
				assert.DeepEqual(rt, restored.UnfinishedTasks(s), j.UnfinishedTasks(s))
				for _, index := range j.UnfinishedTasks(s) {
					t := fleet.TaskID{Job: "a", Occurrence: k, Step: i, Index: index}
					assert.Equal(rt, restored.Task(t).Checkpoint, j.Task(t).Checkpoint)
					assert.Equal(rt, len(restored.Task(t).FailedRuns), len(j.Task(t).FailedRuns))
				}
			}
		}
	})
}

// storedProgress returns the progress of a job as it is read from the store.
func storedProgress(t assert.TestingT, j *flow.Job) []*wire.ProgressRecord {
	var stored []*wire.ProgressRecord
	for _, part := range j.Progress() {
		b, err := proto.Marshal(part)
		assert.NilError(t, err)
		r := &wire.ProgressRecord{}
		assert.NilError(t, proto.Unmarshal(b, r))
		stored = append(stored, r)
	}
	return stored
}
