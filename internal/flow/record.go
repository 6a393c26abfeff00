package flow

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Record returns the spec as it is kept and sent between instances.
func (s *Spec) Record() *wire.JobRecord {
	r := &wire.JobRecord{
		Queue: s.Queue, Text: s.Text, PeriodMs: s.Period.Milliseconds(), Times: int64(s.Occurrences),
		AcceptedMs: s.Accepted.UnixMilli(),
	}
	if s.Occurrences > 0 {
		r.FirstDueMs = s.FirstDue.UnixMilli()
	}
	for i := range s.Steps {
		r.Steps = append(r.Steps, s.Steps[i].record())
	}
	return r
}

func (s *StepSpec) record() *wire.StepRecord {
	r := &wire.StepRecord{
		Count: int64(s.Count), CpuMillis: s.Need.CPUMillis, MemoryMb: s.Need.MemoryMB,
		Accelerators: s.Need.Accelerators, EstimateMs: s.Estimate.Milliseconds(),
		Checkpoints: s.SavesCheckpoints, Gang: s.Gang, SameRack: s.SameRack, Copies: s.AllowConcurrentRuns,
		Lasts: s.LongRunning, Filler: s.BestEffort, Label: s.RequiredLabel, Rack: s.DataRack,
		PerExecutor: int64(s.MaxPerExecutor), Image: s.Image, TargetMs: s.LatencyTarget.Milliseconds(),
		MayMiss: int64(s.MaxUnavailable),
	}
	for _, before := range s.DependsOn {
		r.After = append(r.After, int64(before))
	}
	return r
}

// SpecFromRecord is the inverse of Record.
func SpecFromRecord(r *wire.JobRecord) Spec {
	s := Spec{
		Queue: r.GetQueue(), Text: r.GetText(), Period: millis(r.GetPeriodMs()),
		Occurrences: int(r.GetTimes()), Accepted: time.UnixMilli(r.GetAcceptedMs()),
	}
	if s.Occurrences > 0 {
		s.FirstDue = time.UnixMilli(r.GetFirstDueMs())
	}
	for _, step := range r.GetSteps() {
		s.Steps = append(s.Steps, stepOf(step))
	}
	return s
}

func stepOf(r *wire.StepRecord) StepSpec {
	s := StepSpec{
		Count: int(r.GetCount()),
		Need: place.Resources{
			CPUMillis: r.GetCpuMillis(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators(),
		},
		Estimate:         millis(r.GetEstimateMs()),
		SavesCheckpoints: r.GetCheckpoints(), Gang: r.GetGang(), SameRack: r.GetSameRack(),
		AllowConcurrentRuns: r.GetCopies(), LongRunning: r.GetLasts(), BestEffort: r.GetFiller(), RequiredLabel: r.GetLabel(),
		DataRack: r.GetRack(), MaxPerExecutor: int(r.GetPerExecutor()), Image: r.GetImage(),
		LatencyTarget: millis(r.GetTargetMs()), MaxUnavailable: int(r.GetMayMiss()),
	}
	for _, before := range r.GetAfter() {
		s.DependsOn = append(s.DependsOn, int(before))
	}
	return s
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// Progress returns what has to be kept of the job besides its spec.
func (j *Job) Progress() *wire.ProgressRecord {
	r := &wire.ProgressRecord{Queue: j.Spec.Queue, State: j.keptState().String(), EndedOccurrences: int64(j.ended)}
	if j.State.Final() {
		r.EndedMs = j.Ended.UnixMilli()
	} else {
		r.Executors = j.places
	}
	for k, o := range j.open {
		for i := range o.steps {
			if p := o.steps[i].record(k, i); p != nil {
				r.Steps = append(r.Steps, p)
			}
		}
	}
	// Occurrences that end out of order are marked, so that they do not run again.
	if !j.State.Final() {
		for k := 0; k < j.next; k++ {
			if j.open[k] == nil {
				r.Steps = append(r.Steps, &wire.StepProgress{Occurrence: int64(k), Step: occurrenceEnded})
			}
		}
	}
	return r
}

// occurrenceEnded in place of a step number says that the whole occurrence has ended.
const occurrenceEnded = -1

// keptState is the state without Running, which follows from the executors' lists.
func (j *Job) keptState() State {
	if j.State == Running {
		return Pending
	}
	return j.State
}

func (p *progress) record(k, step int) *wire.StepProgress {
	r := &wire.StepProgress{Occurrence: int64(k), Step: int64(step), Done: make([]byte, (len(p.tasks)+7)/8)}
	some := false
	for i := range p.tasks {
		t := &p.tasks[i]
		if t.Done {
			r.Done[i/8] |= 1 << (i % 8)
			some = true
			continue
		}
		if len(t.FailedRuns) > 0 || t.Checkpoint != "" {
			r.Tasks = append(r.Tasks, &wire.TaskProgress{
				Index: int64(i), FailedRuns: t.FailedRuns, Checkpoint: t.Checkpoint,
			})
			some = true
		}
	}
	if !some {
		return nil
	}
	return r
}

// Restore returns a job from its records; spec is nil for jobs that have ended.
func Restore(id string, spec *wire.JobRecord, kept *wire.ProgressRecord, maxAttempts int) (*Job, error) {
	j := NewJob(id, Spec{Queue: kept.GetQueue()}, maxAttempts)
	if spec != nil {
		j.Spec = SpecFromRecord(spec)
	}
	state, ok := ParseState(kept.GetState())
	if kept != nil && !ok {
		return nil, errors.Newf("flow: job %s has unknown state %q", id, kept.GetState())
	}
	j.State = state
	if state.Final() {
		j.Ended = time.UnixMilli(kept.GetEndedMs())
		return j, nil
	}
	if spec == nil {
		return nil, errors.Newf("flow: job %s has progress but no text", id)
	}
	j.places = kept.GetExecutors()
	for _, s := range kept.GetSteps() {
		j.restoreStep(s)
	}
	return j, nil
}

func (j *Job) restoreStep(r *wire.StepProgress) {
	k := int(r.GetOccurrence())
	for j.next <= k {
		j.open[j.next] = j.newOccurrence()
		j.next++
	}
	if r.GetStep() == occurrenceEnded {
		delete(j.open, k)
		j.ended++
		return
	}
	o := j.open[k]
	if o == nil || int(r.GetStep()) >= len(o.steps) {
		return
	}
	p := &o.steps[r.GetStep()]
	for i := range p.tasks {
		if i/8 < len(r.GetDone()) && r.GetDone()[i/8]&(1<<(i%8)) != 0 {
			p.tasks[i].Done = true
			p.left--
		}
	}
	if p.left == 0 {
		o.left--
	}
	for _, t := range r.GetTasks() {
		if i := int(t.GetIndex()); i < len(p.tasks) {
			p.tasks[i].FailedRuns = t.GetFailedRuns()
			p.tasks[i].Checkpoint = t.GetCheckpoint()
		}
	}
}

// Resume opens what is due after a restore and returns all steps that may start.
func (j *Job) Resume(now time.Time) []fleet.StepID {
	j.OpenDue(now)
	var ready []fleet.StepID
	for k := range j.open {
		ready = append(ready, j.readySteps(k)...)
	}
	return ready
}
