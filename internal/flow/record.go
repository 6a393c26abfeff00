package flow

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Record returns the spec in the form in which it is stored and sent between instances.
func (s *Spec) Record() *wire.JobRecord {
	r := &wire.JobRecord{
		Queue: s.Queue, Team: s.Team, Text: s.Text, PeriodMs: s.Period.Milliseconds(), Times: int64(s.Occurrences),
		AcceptedMs: s.Accepted.UnixMilli(),
	}
	if s.Occurrences > 0 {
		r.FirstDueMs = s.FirstDue.UnixMilli()
	}
	for i := range s.Steps {
		r.Steps = append(r.Steps, s.Steps[i].record())
	}
	if s.AcceptedBy != nil {
		r.QueueSettings = queueRecord(s.AcceptedBy)
	}
	return r
}

func queueRecord(a *Acceptance) *wire.QueueRecord {
	q := &a.Queue
	r := &wire.QueueRecord{
		Service: q.Service, Priority: int64(q.Priority), MaxAttempts: int64(q.MaxAttempts), Stretch: q.Stretch,
		SlackUs: q.Slack.Microseconds(), ConfigVersion: a.ConfigVersion,
	}
	if q.Advice != nil {
		r.Advice = &wire.AdviceRecord{
			BaseLatencyUs: q.Advice.BaseLatency.Microseconds(), LatencyPerExecutorUs: q.Advice.LatencyPerExecutor.Microseconds(),
			TicketTtlUs: q.Advice.TicketTTL.Microseconds(),
		}
	}
	return r
}

// AcceptedBy returns the queue of a job as it was configured when the job was accepted; nil if the record does not tell.
func AcceptedBy(job *wire.JobRecord) *Acceptance {
	r := job.GetQueueSettings()
	if r == nil {
		return nil
	}
	q := fleet.Queue{
		Name: job.GetQueue(), Service: r.GetService(), Priority: int(r.GetPriority()), MaxAttempts: int(r.GetMaxAttempts()),
		Stretch: r.GetStretch(), Slack: micros(r.GetSlackUs()),
	}
	if a := r.GetAdvice(); a != nil {
		q.Advice = &fleet.Advice{
			BaseLatency: micros(a.GetBaseLatencyUs()), LatencyPerExecutor: micros(a.GetLatencyPerExecutorUs()),
			TicketTTL: micros(a.GetTicketTtlUs()),
		}
	}
	return &Acceptance{Queue: q, ConfigVersion: r.GetConfigVersion()}
}

// micros returns n microseconds, limited to fleet.MaxDuration.
func micros(n int64) time.Duration { return fleet.Times(float64(n), time.Microsecond) }

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
		Queue: r.GetQueue(), Team: r.GetTeam(), Text: r.GetText(), Period: fleet.Millis(r.GetPeriodMs()),
		Occurrences: int(r.GetTimes()), Accepted: UnixMilli(r.GetAcceptedMs()),
		AcceptedBy: AcceptedBy(r),
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

// Progress returns the part of the job's state that is stored besides its spec, in parts of at most
// MaxProgressBytes. Each part holds other tasks; one is enough for most jobs.
func (j *Job) Progress() []*wire.ProgressRecord {
	r := &wire.ProgressRecord{Queue: j.Spec.Queue, State: j.persistedState().String(), EndedOccurrences: int64(j.endedOccurrences)}
	if j.State.Final() {
		r.EndedMs = j.Ended.UnixMilli()
		return []*wire.ProgressRecord{r}
	}
	for k, o := range j.openOccurrences {
		for i := range o.steps {
			if p := o.steps[i].record(k, i); p != nil {
				r.Steps = append(r.Steps, p)
			}
		}
	}
	r.Steps = append(r.Steps, j.endedMarkers()...)
	if len(r.GetSteps()) > 0 && proto.Size(r) > MaxProgressBytes {
		return split(r)
	}
	return []*wire.ProgressRecord{r}
}

// split splits a record into parts of at most MaxProgressBytes.
func split(r *wire.ProgressRecord) []*wire.ProgressRecord {
	var parts []*wire.ProgressRecord
	var part *wire.ProgressRecord
	size := 0
	// fits adds to the size of the last part; with false, it has begun a new one for what has n bytes.
	fits := func(n int) bool {
		n += entryOverhead
		if part != nil && size+n <= MaxProgressBytes {
			size += n
			return true
		}
		part = &wire.ProgressRecord{
			Queue: r.GetQueue(), State: r.GetState(), EndedOccurrences: r.GetEndedOccurrences(), EndedMs: r.GetEndedMs(),
		}
		parts = append(parts, part)
		size = proto.Size(part) + n
		return false
	}
	for _, s := range r.GetSteps() {
		piece := &wire.StepProgress{Occurrence: s.GetOccurrence(), Step: s.GetStep(), Done: s.GetDone()}
		fits(proto.Size(piece))
		part.Steps = append(part.Steps, piece)
		for _, t := range s.GetTasks() {
			if !fits(proto.Size(t)) {
				piece = &wire.StepProgress{Occurrence: s.GetOccurrence(), Step: s.GetStep()}
				size += proto.Size(piece) + entryOverhead
				part.Steps = append(part.Steps, piece)
			}
			piece.Tasks = append(piece.Tasks, t)
		}
	}
	return parts
}

const (
	// MaxProgressBytes is the maximum size of one part of the progress of a job, which has to fit into a row
	// of the store together with the ID of its job.
	MaxProgressBytes = 36 << 10

	// entryOverhead is the maximum size of the tag and the length of an entry of a part.
	entryOverhead = 4

	// maxKnownFailedRuns is the number of failed runs of one task that are kept by number, so that the size of
	// its record does not grow with the attempts that its queue allows.
	maxKnownFailedRuns = 16

	// occurrenceEndedMarker in place of a step number marks an occurrence that has ended.
	occurrenceEndedMarker = -1

	// maxEndedMarkers is the number of ended occurrences that are marked one by one, with 16 bytes each.
	// Earlier versions know only such markers; with some 3,000 of them the row exceeds the store's limit.
	maxEndedMarkers = 1000

	// stepRecordBytes is the size of the progress record of a step besides one bit for each task.
	stepRecordBytes = 12
)

// endedMarkers marks the occurrences that have ended, so that they do not run again. They can end out of
// order. Many of them share one marker: it names the last one, and its done bits are those of all from the
// first one on.
func (j *Job) endedMarkers() []*wire.StepProgress {
	if j.endedOccurrences > maxEndedMarkers {
		marker := &wire.StepProgress{Step: occurrenceEndedMarker, Done: make([]byte, (j.nextOccurrence+7)/8)}
		for k := range j.nextOccurrence {
			if j.openOccurrences[k] == nil {
				marker.Occurrence = int64(k)
				marker.Done[k/8] |= 1 << (k % 8)
			}
		}
		return []*wire.StepProgress{marker}
	}
	var markers []*wire.StepProgress
	for k := range j.nextOccurrence {
		if j.openOccurrences[k] == nil {
			markers = append(markers, &wire.StepProgress{Occurrence: int64(k), Step: occurrenceEndedMarker})
		}
	}
	return markers
}

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
			stored := &wire.TaskProgress{
				Index: int64(i), FailedRuns: slices.Clone(t.FailedRuns), EarlierFailedRuns: t.EarlierFailedRuns, Checkpoint: t.Checkpoint,
			}
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

// Restore rebuilds a job from its records. spec may be nil if the job has ended, and progress empty if it has
// made none.
func Restore(id string, spec *wire.JobRecord, progress []*wire.ProgressRecord, maxAttempts int) (*Job, error) {
	head := &wire.ProgressRecord{Queue: spec.GetQueue(), State: Pending.String()}
	if len(progress) > 0 {
		head = progress[0]
	}
	j := NewJob(id, Spec{Queue: head.GetQueue()}, maxAttempts)
	if spec != nil {
		j.Spec = SpecFromRecord(spec)
	}
	state, ok := ParseState(head.GetState())
	if !ok {
		return nil, errors.Newf("flow: progress record of job %s has unknown state %q", id, head.GetState())
	}
	j.State = state
	if state.Final() {
		j.Ended = UnixMilli(head.GetEndedMs())
		return j, nil
	}
	if spec == nil {
		return nil, errors.Newf("flow: job %s has a progress record but no spec", id)
	}
	if err := j.Spec.validateStructure(); err != nil {
		return nil, errors.Wrapf(err, "spec of job %s", id)
	}
	j.executors = head.GetExecutors()
	var steps []*wire.StepProgress
	for _, part := range progress {
		steps = append(steps, part.GetSteps()...)
	}
	for _, s := range steps {
		if k := s.GetOccurrence(); k < 0 || k >= int64(j.occurrenceCount()) || s.GetStep() < occurrenceEndedMarker {
			return nil, errors.Newf("flow: progress record of job %s: occurrence %d has no step %d", id, k, s.GetStep())
		}
	}
	j.restoreOccurrences(steps)
	for _, s := range steps {
		j.restoreStep(s)
	}
	return j, nil
}

// restoreOccurrences opens the occurrences up to the last one that is recorded, except the ended ones.
func (j *Job) restoreOccurrences(steps []*wire.StepProgress) {
	ended := make(map[int]bool)
	last := -1
	for _, s := range steps {
		k := int(s.GetOccurrence())
		last = max(last, k)
		if s.GetStep() != occurrenceEndedMarker {
			continue
		}
		ended[k] = true
		for i := range min(k, 8*len(s.GetDone())) {
			if s.GetDone()[i/8]&(1<<(i%8)) != 0 {
				ended[i] = true
			}
		}
	}
	for ; j.nextOccurrence <= last; j.nextOccurrence++ {
		if ended[j.nextOccurrence] {
			j.endedOccurrences++
		} else {
			j.openOccurrences[j.nextOccurrence] = j.newOccurrence()
		}
	}
}

func (j *Job) restoreStep(r *wire.StepProgress) {
	o := j.openOccurrences[int(r.GetOccurrence())]
	if o == nil || r.GetStep() < 0 || r.GetStep() >= int64(len(o.steps)) {
		return
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
			p.tasks[i].FailedRuns = slices.Sorted(slices.Values(t.GetFailedRuns()))
			p.tasks[i].EarlierFailedRuns = max(t.GetEarlierFailedRuns(), 0)
			p.tasks[i].Checkpoint = t.GetCheckpoint()
			for _, crash := range t.GetCrashes() {
				p.tasks[i].Crashes = append(p.tasks[i].Crashes, crashFromRecord(crash))
				j.suspicious = true
			}
		}
	}
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
