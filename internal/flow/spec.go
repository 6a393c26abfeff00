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
	Steps []Step
	// Times above 0 makes the steps run that often: occurrence k is due at FirstDue + k x Period.
	FirstDue time.Time
	Period   time.Duration
	Times    int
	// Accepted is when the job was handed in.
	Accepted time.Time
}

// Step is a number of equal tasks.
type Step struct {
	Count int
	Need  place.Resources
	// Estimate is the caller's rough estimate of one task's duration.
	Estimate time.Duration
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Checkpoints is set when runs save their work.
	Checkpoints bool
	// Gang tasks work only while all of them run.
	Gang bool
	// SameRack tasks are slower when they run on several racks.
	SameRack bool
	// Copies is set when several runs of one task may exist at the same time.
	Copies bool
	// Lasts is set when tasks run until the job is cancelled.
	Lasts bool
	// Filler tasks use processor time that others leave; it is not counted.
	Filler bool
	// Label is what an executor must have; empty means nothing.
	Label string
	// Rack is where the data is; empty means anywhere.
	Rack string
	// PerExecutor bounds the tasks of the step on one executor; 0 means no bound.
	PerExecutor int
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// Target is the response time that a lasting task should stay below; 0 means none.
	Target time.Duration
	// MayMiss is how many lasting tasks may be away because of the system.
	MayMiss int
}

// Check returns ErrMalformed with the reason, or nil.
func (s *Spec) Check() error {
	if len(s.Text) > MaxTextBytes {
		return errors.Wrapf(ErrMalformed, "text has %d bytes, at most %d are allowed", len(s.Text), MaxTextBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return errors.Wrapf(ErrMalformed, "%d steps, 1 to %d are allowed", len(s.Steps), maxSteps)
	}
	if s.Times < 0 || s.Times > maxTimes || s.Times > 0 && s.Period < 0 {
		return errors.Wrapf(ErrMalformed, "%d occurrences every %s", s.Times, s.Period)
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > maxCount {
		return errors.Wrapf(ErrMalformed, "step %d has %d tasks, 1 to %d are allowed", number, s.Count, maxCount)
	}
	if s.Need.CPUMillis < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 {
		return errors.Wrapf(ErrMalformed, "step %d has a negative need or estimate", number)
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return errors.Wrapf(ErrMalformed, "step %d follows step %d, which is not an earlier one", number, before)
		}
	}
	return nil
}

// Counted returns what a task takes from an executor's capacity.
func (s *Step) Counted() place.Resources {
	need := s.Need
	if s.Filler {
		need.CPUMillis = 0
	}
	return need
}

// Chain returns the estimated length of the longest chain of steps.
func (s *Spec) Chain() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i := range s.Steps {
		var begin time.Duration
		for _, before := range s.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Widest returns the number of tasks of the widest step.
func (s *Spec) Widest() int {
	widest := 0
	for i := range s.Steps {
		widest = max(widest, s.Steps[i].Count)
	}
	return widest
}
