package flow

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// Limits on a job; a job that exceeds them is malformed.
const (
	// MaxTextBytes is the maximum size of the text that is passed to executors.
	MaxTextBytes = 4000
	// MaxSteps is the maximum number of steps.
	MaxSteps       = 64
	maxCount       = 4096
	maxOccurrences = 100_000
	// maxOpenOccurrences and maxOpenBytes limit the occurrences of a job that are open at the same time,
	// beyond the first one, and the size of their progress record without checkpoints. A job whose
	// occurrences are all due at once would take tens of gigabytes of memory.
	maxOpenOccurrences = 1000
	maxOpenBytes       = 16 << 10
	// maxUnstoredTasks limits the tasks that an owner can have started and ended between two commits.
	maxUnstoredTasks = 1 << 16
	// MaxNameBytes is the maximum size of a label, a rack or an image. A job at all limits fits into a
	// row of the store, 64 KiB.
	MaxNameBytes = 200
	// MaxEstimate limits the estimated duration of a task; a longer estimate counts as this. The
	// longest chain of MaxSteps steps still fits into a time.Duration.
	MaxEstimate = 365 * 24 * time.Hour
	// maxUnixMs is the last millisecond of the year 9999.
	maxUnixMs = 253_402_300_799_999
)

// UnixMilli returns the time of a Unix millisecond, limited to the years 1970 to 9999.
func UnixMilli(ms int64) time.Time {
	return time.UnixMilli(min(max(ms, 0), maxUnixMs))
}

// ErrMalformed means that a job is invalid and would be rejected in any state of the system.
var ErrMalformed = errors.New("flow: malformed job")

// Spec is a job as submitted by a client.
type Spec struct {
	Queue string
	// Team is the team that submitted the job; empty if none is known.
	Team  string
	Text  string
	Steps []StepSpec
	// FirstDue, Period and Occurrences describe a periodic job, whose occurrence k is due at
	// FirstDue + k*Period. With Occurrences 0 the job runs once, when it is accepted.
	FirstDue    time.Time
	Period      time.Duration
	Occurrences int
	// Accepted is when the job was submitted.
	Accepted time.Time
	// AcceptedBy is the queue as it was configured then; nil if it is not known.
	AcceptedBy *Acceptance
}

// Acceptance is a queue in one version of the configuration.
type Acceptance struct {
	Queue         fleet.Queue
	ConfigVersion int64
}

// StepSpec describes one step of a job: a number of identical tasks.
type StepSpec struct {
	Count int
	Need  place.Resources
	// Estimate is the client's rough estimate of the duration of one task.
	Estimate time.Duration
	// DependsOn lists the earlier steps that must be done before this one starts.
	DependsOn []int
	// SavesCheckpoints is set when a run saves checkpoints from which the next run continues.
	SavesCheckpoints bool
	// Gang is set when the tasks make progress only while all of them run.
	Gang bool
	// SameRack is set when the tasks are slower if they run on several racks.
	SameRack bool
	// AllowConcurrentRuns is set when several runs of one task may exist at the same time.
	AllowConcurrentRuns bool
	// LongRunning is set when tasks run until the job is cancelled.
	LongRunning bool
	// BestEffort is set when the tasks use only CPU time that other tasks leave idle. Their CPU is
	// not counted against the executor's capacity.
	BestEffort bool
	// RequiredLabel is a label that the executor must have; empty means no requirement.
	RequiredLabel string
	// DataRack is the rack that holds the data of the tasks; empty means no preference.
	DataRack string
	// MaxPerExecutor limits the tasks of the step on one executor; 0 means no limit.
	MaxPerExecutor int
	// Image names the program of the tasks; tasks with the same image behave alike.
	Image string
	// LatencyTarget is the response time that a long-running task should not exceed; 0 means none.
	LatencyTarget time.Duration
	// MaxUnavailable is the number of long-running tasks that may be unavailable because of the
	// system.
	MaxUnavailable int
}

// Validate returns an error that wraps ErrMalformed if the job is malformed or exceeds a limit.
func (s *Spec) Validate() error {
	if err := s.validateStructure(); err != nil {
		return err
	}
	for i := range s.Steps {
		if err := s.Steps[i].validateLimits(i); err != nil {
			return err
		}
	}
	return nil
}

// validateStructure is the part of Validate that also holds for stored jobs. A job that was accepted under
// other limits is not lost.
func (s *Spec) validateStructure() error {
	if len(s.Text) > MaxTextBytes {
		return errors.Wrapf(ErrMalformed, "text has %d bytes, at most %d are allowed", len(s.Text), MaxTextBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return errors.Wrapf(ErrMalformed, "%d steps, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > maxOccurrences || s.Occurrences > 0 && s.Period < 0 {
		return errors.Wrapf(ErrMalformed, "%d occurrences every %s", s.Occurrences, s.Period)
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *StepSpec) validate(index int) error {
	if s.Count < 1 || s.Count > maxCount {
		return errors.Wrapf(ErrMalformed, "step %d has %d tasks, 1 to %d are allowed", index, s.Count, maxCount)
	}
	if s.Need.CPUMillis < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 {
		return errors.Wrapf(ErrMalformed, "step %d has a negative need or estimate", index)
	}
	for _, dep := range s.DependsOn {
		if dep < 0 || dep >= index {
			return errors.Wrapf(ErrMalformed, "step %d follows step %d, which is not an earlier one", index, dep)
		}
	}
	return nil
}

// validateLimits checks the limits on a new job.
func (s *StepSpec) validateLimits(index int) error {
	if s.Need.CPUMillis > place.MaxCPUMillis || s.Need.MemoryMB > place.MaxMemoryMB || s.Need.Accelerators > place.MaxAccelerators {
		return errors.Wrapf(ErrMalformed, "step %d needs more than any executor may have", index)
	}
	if max(len(s.RequiredLabel), len(s.DataRack), len(s.Image)) > MaxNameBytes {
		return errors.Wrapf(ErrMalformed, "step %d has a name of more than %d bytes", index, MaxNameBytes)
	}
	if len(s.DependsOn) > index {
		return errors.Wrapf(ErrMalformed, "step %d follows %d steps, at most %d are earlier ones", index, len(s.DependsOn), index)
	}
	return nil
}

// Reserved returns the resources that a task takes from its executor's capacity.
func (s *StepSpec) Reserved() place.Resources {
	need := s.Need
	if s.BestEffort {
		need.CPUMillis = 0
	}
	return need
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
func (s *Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i := range s.Steps {
		var begin time.Duration
		for _, dep := range s.Steps[i].DependsOn {
			begin = max(begin, ends[dep])
		}
		ends[i] = begin + min(s.Steps[i].Estimate, MaxEstimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// ChainAfter returns the estimated duration of the longest chain of steps that depend on a step.
func (s *Spec) ChainAfter(step int) time.Duration {
	ends := make(map[int]time.Duration)
	ends[step] = 0
	var longest time.Duration
	for i := step + 1; i < len(s.Steps); i++ {
		for _, dep := range s.Steps[i].DependsOn {
			if begin, follows := ends[dep]; follows {
				ends[i] = max(ends[i], begin+min(s.Steps[i].Estimate, MaxEstimate))
				longest = max(longest, ends[i])
			}
		}
	}
	return longest
}

// WidestStep returns the number of tasks of the step that has the most.
func (s *Spec) WidestStep() int {
	widest := 0
	for i := range s.Steps {
		widest = max(widest, s.Steps[i].Count)
	}
	return widest
}
