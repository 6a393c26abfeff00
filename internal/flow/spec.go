package flow

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// Bounds on what a caller may ask for; above them a job is malformed.
const (
	// MaxTextBytes is the longest text that executors are handed.
	MaxTextBytes = 4000
	maxSteps     = 64
	maxCount     = 4096
	maxTimes     = 100_000
)

// ErrMalformed reports a job that can not be accepted in any state of the system.
var ErrMalformed = errors.New("flow: malformed job")

// Spec is what a caller handed in.
type Spec struct {
	Queue string
	Text  string
	Steps []StepSpec
	// Times above 0 makes the steps run that often: occurrence k is due at FirstDue + k x Period.
	FirstDue    time.Time
	Period      time.Duration
	Occurrences int
	// Accepted is when the job was handed in.
	Accepted time.Time
}

// StepSpec is a number of equal tasks.
type StepSpec struct {
	Count int
	Need  place.Resources
	// Estimate is the caller's rough estimate of one task's duration.
	Estimate time.Duration
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int
	// SavesCheckpoints is set when runs save their work.
	SavesCheckpoints bool
	// Gang tasks work only while all of them run.
	Gang bool
	// SameRack tasks are slower when they run on several racks.
	SameRack bool
	// AllowConcurrentRuns is set when several runs of one task may exist at the same time.
	AllowConcurrentRuns bool
	// LongRunning is set when tasks run until the job is cancelled.
	LongRunning bool
	// BestEffort tasks use processor time that others leave; it is not counted.
	BestEffort bool
	// RequiredLabel is what an executor must have; empty means nothing.
	RequiredLabel string
	// DataRack is where the data is; empty means anywhere.
	DataRack string
	// MaxPerExecutor bounds the tasks of the step on one executor; 0 means no bound.
	MaxPerExecutor int
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// LatencyTarget is the response time that a lasting task should stay below; 0 means none.
	LatencyTarget time.Duration
	// MaxUnavailable is how many lasting tasks may be away because of the system.
	MaxUnavailable int
}

// Validate returns ErrMalformed with the reason, or nil.
func (s *Spec) Validate() error {
	if len(s.Text) > MaxTextBytes {
		return errors.Wrapf(ErrMalformed, "text has %d bytes, at most %d are allowed", len(s.Text), MaxTextBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return errors.Wrapf(ErrMalformed, "%d steps, 1 to %d are allowed", len(s.Steps), maxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > maxTimes || s.Occurrences > 0 && s.Period < 0 {
		return errors.Wrapf(ErrMalformed, "%d occurrences every %s", s.Occurrences, s.Period)
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *StepSpec) check(number int) error {
	if s.Count < 1 || s.Count > maxCount {
		return errors.Wrapf(ErrMalformed, "step %d has %d tasks, 1 to %d are allowed", number, s.Count, maxCount)
	}
	if s.Need.CPUMillis < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 {
		return errors.Wrapf(ErrMalformed, "step %d has a negative need or estimate", number)
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= number {
			return errors.Wrapf(ErrMalformed, "step %d follows step %d, which is not an earlier one", number, before)
		}
	}
	return nil
}

// Reserved returns what a task takes from an executor's capacity.
func (s *StepSpec) Reserved() place.Resources {
	need := s.Need
	if s.BestEffort {
		need.CPUMillis = 0
	}
	return need
}

// CriticalPath returns the estimated length of the longest chain of steps.
func (s *Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i := range s.Steps {
		var begin time.Duration
		for _, before := range s.Steps[i].DependsOn {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// WidestStep returns the number of tasks of the widest step.
func (s *Spec) WidestStep() int {
	widest := 0
	for i := range s.Steps {
		widest = max(widest, s.Steps[i].Count)
	}
	return widest
}
