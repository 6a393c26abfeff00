package flow

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Record returns the spec in the form in which it is stored and sent between instances.
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
	for _, dep := range s.DependsOn {
		r.After = append(r.After, int64(dep))
	}
	return r
}

// SpecFromRecord is the inverse of Record.
func SpecFromRecord(r *wire.JobRecord) Spec {
	s := Spec{
		Queue: r.GetQueue(), Text: r.GetText(), Period: fleet.Millis(r.GetPeriodMs()),
		Occurrences: int(r.GetTimes()), Accepted: UnixMilli(r.GetAcceptedMs()),
	}
	if s.Occurrences > 0 {
		s.FirstDue = UnixMilli(r.GetFirstDueMs())
	}
	for _, step := range r.GetSteps() {
		s.Steps = append(s.Steps, stepFromRecord(step))
	}
	return s
}

func stepFromRecord(r *wire.StepRecord) StepSpec {
	s := StepSpec{
		Count: int(r.GetCount()),
		Need: place.Resources{
			CPUMillis: r.GetCpuMillis(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators(),
		}.Min(place.Resources{CPUMillis: place.MaxCPUMillis, MemoryMB: place.MaxMemoryMB, Accelerators: place.MaxAccelerators}),
		Estimate:         fleet.Millis(r.GetEstimateMs()),
		SavesCheckpoints: r.GetCheckpoints(), Gang: r.GetGang(), SameRack: r.GetSameRack(),
		AllowConcurrentRuns: r.GetCopies(), LongRunning: r.GetLasts(), BestEffort: r.GetFiller(), RequiredLabel: r.GetLabel(),
		DataRack: r.GetRack(), MaxPerExecutor: int(r.GetPerExecutor()), Image: r.GetImage(),
		LatencyTarget: fleet.Millis(r.GetTargetMs()), MaxUnavailable: int(r.GetMayMiss()),
	}
	for _, dep := range r.GetAfter() {
		s.DependsOn = append(s.DependsOn, int(dep))
	}
	return s
}

// Progress returns the part of the job's state that is stored besides its spec.
func (j *Job) Progress() *wire.ProgressRecord {
	r := &wire.ProgressRecord{Queue: j.Spec.Queue, State: j.persistedState().String(), EndedOccurrences: int64(j.endedOccurrences)}
	if j.State.Final() {
		r.EndedMs = j.Ended.UnixMilli()
	} else {
		r.Executors = j.executors
	}
	for k, o := range j.openOccurrences {
		for i := range o.steps {
			if p := o.steps[i].record(k, i); p != nil {
				r.Steps = append(r.Steps, p)
			}
		}
	}
	// Occurrences can end out of order, so each ended one is marked so that it does not run again.
	if !j.State.Final() {
		for k := 0; k < j.nextOccurrence; k++ {
			if j.openOccurrences[k] == nil {
				r.Steps = append(r.Steps, &wire.StepProgress{Occurrence: int64(k), Step: occurrenceEndedMarker})
			}
		}
	}
	return r
}

// occurrenceEndedMarker in place of a step number marks an occurrence that has ended.
const occurrenceEndedMarker = -1

// persistedState returns the state to store. Running is not stored, since a new owner learns from
// the executors what runs.
func (j *Job) persistedState() State {
	if j.State == Running {
		return Pending
	}
	return j.State
}

func (p *stepProgress) record(occ, step int) *wire.StepProgress {
	r := &wire.StepProgress{Occurrence: int64(occ), Step: int64(step), Done: make([]byte, (len(p.tasks)+7)/8)}
	hasProgress := false
	for i := range p.tasks {
		t := &p.tasks[i]
		if t.Done {
			r.Done[i/8] |= 1 << (i % 8)
			hasProgress = true
			continue
		}
		if len(t.FailedRuns) > 0 || t.Checkpoint != "" || len(t.Crashes) > 0 {
			stored := &wire.TaskProgress{Index: int64(i), FailedRuns: t.FailedRuns, Checkpoint: t.Checkpoint}
			for _, crash := range t.Crashes {
				stored.Crashes = append(stored.Crashes, crash.record())
			}
			r.Tasks = append(r.Tasks, stored)
			hasProgress = true
		}
	}
	if !hasProgress {
		return nil
	}
	return r
}

// Restore rebuilds a job from its records. spec may be nil if the job has ended.
func Restore(id string, spec *wire.JobRecord, progress *wire.ProgressRecord, maxAttempts int) (*Job, error) {
	j := NewJob(id, Spec{Queue: progress.GetQueue()}, maxAttempts)
	if spec != nil {
		j.Spec = SpecFromRecord(spec)
	}
	state, ok := ParseState(progress.GetState())
	if progress != nil && !ok {
		return nil, errors.Newf("flow: progress record of job %s has unknown state %q", id, progress.GetState())
	}
	j.State = state
	if state.Final() {
		j.Ended = UnixMilli(progress.GetEndedMs())
		return j, nil
	}
	if spec == nil {
		return nil, errors.Newf("flow: job %s has a progress record but no spec", id)
	}
	if err := j.Spec.validateStructure(); err != nil {
		return nil, errors.Wrapf(err, "spec of job %s", id)
	}
	j.executors = progress.GetExecutors()
	for _, s := range progress.GetSteps() {
		if err := j.restoreStep(s); err != nil {
			return nil, errors.Wrapf(err, "progress record of job %s", id)
		}
	}
	return j, nil
}

func (j *Job) restoreStep(r *wire.StepProgress) error {
	k := int(r.GetOccurrence())
	if k < 0 || k >= j.occurrenceCount() || r.GetStep() < occurrenceEndedMarker {
		return errors.Newf("flow: occurrence %d has no step %d", k, r.GetStep())
	}
	for j.nextOccurrence <= k {
		j.openOccurrences[j.nextOccurrence] = j.newOccurrence()
		j.nextOccurrence++
	}
	o := j.openOccurrences[k]
	if o == nil {
		return nil
	}
	if r.GetStep() == occurrenceEndedMarker {
		delete(j.openOccurrences, k)
		j.endedOccurrences++
		return nil
	}
	if r.GetStep() >= int64(len(o.steps)) {
		return nil
	}
	p := &o.steps[r.GetStep()]
	former := p.remaining
	for i := range p.tasks {
		if !p.tasks[i].Done && i/8 < len(r.GetDone()) && r.GetDone()[i/8]&(1<<(i%8)) != 0 {
			p.tasks[i].Done = true
			p.remaining--
		}
	}
	if p.remaining == 0 && former > 0 {
		o.remainingSteps--
	}
	for _, t := range r.GetTasks() {
		if i := int(t.GetIndex()); i >= 0 && i < len(p.tasks) {
			p.tasks[i].FailedRuns = t.GetFailedRuns()
			p.tasks[i].Checkpoint = t.GetCheckpoint()
			for _, crash := range t.GetCrashes() {
				p.tasks[i].Crashes = append(p.tasks[i].Crashes, crashFromRecord(crash))
				j.suspicious = true
			}
		}
	}
	return nil
}

// Resume opens the occurrences that are due in a restored job and returns all steps that may start.
func (j *Job) Resume(now time.Time) []fleet.StepID {
	j.OpenDue(now)
	var ready []fleet.StepID
	for k := range j.openOccurrences {
		ready = append(ready, j.readySteps(k)...)
	}
	return ready
}
