package near

import (
	"math"
	"time"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

const (
	// maxHarm limits the weight of the harm to others. A step never waits for more than twice what it gains itself.
	maxHarm = 1

	// deviations is how many standard deviations later than expected a place may come before a job misses an objective
	// that it would meet elsewhere: with single places that become free at random, one in twenty comes later.
	deviations = 2
)

// Step describes the tasks of a step for which there is a place now, but none nearby.
type Step struct {
	// RunTime is the expected run time of a task in a near place, Slowdown how many times as long it takes elsewhere.
	RunTime  time.Duration
	Slowdown float64
	// Left is the time until the job's objective, less the steps that follow.
	Left time.Duration
	// Need is the CPU of a task, in any unit; Rack uses the same.
	Need float64
	// Tasks is the number of tasks.
	Tasks int
	// Together is set when one task elsewhere slows down all of them.
	Together bool
	// Waited is how long the step has been waiting.
	Waited time.Duration
	// Harm is the time by which others are delayed for each second that a task runs longer, in seconds.
	Harm float64
}

// Rack describes the supply of near places.
type Rack struct {
	// Freed is the CPU that becomes free a second on executors that suit the step.
	Freed float64
	// Ahead is the CPU that others take before the step.
	Ahead float64
	// Idle is for how long no step that waits for the rack has got a place there.
	Idle time.Duration
}

// Reason tells why tasks start elsewhere.
type Reason string

// Reasons.
const (
	// None means that all tasks wait.
	None Reason = ""
	// NoPlaces means that no near place becomes free.
	NoPlaces Reason = "no near place becomes free"
	// TooSlow means that near places are expected later than they are worth waiting for.
	TooSlow Reason = "near places are expected too late"
	// Objective means that the job would miss its objective by waiting.
	Objective Reason = "waiting would miss the objective"
	// Limit means that the step has waited for as long as near places are worth.
	Limit Reason = "waited for as long as a near place is worth"
)

// Decision is the number of tasks that wait, and for how long at most from now on. The other tasks start elsewhere,
// for the given reason.
type Decision struct {
	Tasks  int
	Max    time.Duration
	Reason Reason
}

// Gain returns the time that a near place saves each task.
func (s *Step) Gain() time.Duration {
	return fleet.Times(s.Slowdown-1, s.RunTime)
}

// worth returns the time that a near place saves a task and the others.
func (s *Step) worth() time.Duration {
	return fleet.Times(1+min(max(s.Harm, 0), maxHarm), s.Gain())
}

// Decide returns how many tasks wait for near places: those whose place is expected before waiting costs more than it
// gains, and so early that the job still meets an objective that it would meet elsewhere. A tie starts the task, since the
// free place is certain.
func Decide(s Step, r Rack) Decision {
	if s.Slowdown <= 1 || s.RunTime <= 0 || s.Tasks <= 0 || s.Need <= 0 {
		return Decision{Reason: TooSlow}
	}
	worth := s.worth()
	left := worth - s.Waited
	if left <= 0 {
		return Decision{Reason: Limit}
	}
	// While nobody gets a place, the rate is taken as that of a longer time.
	perSecond := r.Freed * float64(Window) / float64(Window+max(r.Idle, 0))
	if perSecond <= 0 {
		return Decision{Reason: NoPlaces}
	}
	// A job that would be late elsewhere has nothing to lose.
	spare := s.Left - s.RunTime
	risks := s.Left >= fleet.Times(s.Slowdown, s.RunTime)
	if risks {
		left = min(left, spare)
	}
	d := Decision{Max: left}
	for d.Tasks < s.Tasks && d.Reason == None {
		places := max(r.Ahead, 0)/s.Need + float64(d.Tasks+1)
		expected := fleet.Times(places*s.Need/perSecond, time.Second)
		switch {
		case expected >= worth:
			// The time waited so far does not count: it makes a place neither later nor worth less.
			d.Reason = TooSlow
		case risks && fleet.Times(1+deviations/math.Sqrt(places), expected) >= spare:
			d.Reason = Objective
		default:
			d.Tasks++
		}
	}
	if s.Together && d.Tasks < s.Tasks {
		d.Tasks = 0
	}
	return d
}
