package place

import "fmt"

// Code is the kind of a Reason.
type Code uint8

const (
	// Placed means that the task was placed.
	Placed Code = iota
	// NoWorkers means that no worker accepts tasks.
	NoWorkers
	// NoCapacity means that no worker has enough free capacity at present.
	NoCapacity
	// TooLarge means that the task would not fit on any worker, even an empty one.
	TooLarge
	// TooManyTasks means that even the empty cell could not hold that many tasks at once.
	TooManyTasks
	// Reserved means that the free capacity is held for a gang.
	Reserved
	// Duplicate means that a task with this id is already placed.
	Duplicate
	// Invalid means that a need is negative, an id is empty or a gang has no tasks.
	Invalid
	// ReservationTaken means that another job holds the reservation.
	ReservationTaken
	// NeverFits means that the gang would not fit even if all tasks except services had ended.
	NeverFits
)

// Dimension identifies a field of Resources.
type Dimension uint8

const (
	// Combination means that no single dimension is the cause: each one alone fits some worker.
	Combination Dimension = iota
	// CPU is Resources.CPUMillis.
	CPU
	// Memory is Resources.MemoryMB.
	Memory
	// Accelerators is Resources.Accelerators.
	Accelerators
)

var dimensionNames = [...]string{"the combination of resources", "cpu_millis", "memory_mb", "accelerators"}

// String returns the name that is used in job specifications.
func (d Dimension) String() string {
	if int(d) >= len(dimensionNames) {
		return "unknown"
	}
	return dimensionNames[d]
}

// Reason explains a decision. Reasons are comparable.
type Reason struct {
	Code Code

	// Dimension is the insufficient resource when Code is TooLarge.
	Dimension Dimension

	// Need and Have are amounts of Dimension for TooLarge and numbers of tasks for TooManyTasks.
	Need int64
	Have int64
}

// String returns a description for operators.
func (r Reason) String() string {
	switch r.Code {
	case Placed:
		return "placed"
	case NoWorkers:
		return "no worker accepts tasks"
	case NoCapacity:
		return "no worker has enough free capacity now"
	case TooLarge:
		return r.tooLarge()
	case TooManyTasks:
		return fmt.Sprintf("needs %d tasks at the same time; the workers hold at most %d of this size", r.Need, r.Have)
	case Reserved:
		return "the free capacity is reserved for an all-at-once job"
	case Duplicate:
		return "a task with this id is already placed"
	case Invalid:
		return "the task has no id or a negative need"
	case ReservationTaken:
		return "another all-at-once job holds the reservation"
	case NeverFits:
		return "the services and cordoned workers leave too little for the job, even when all other tasks have ended"
	}
	return "unknown"
}

func (r Reason) tooLarge() string {
	if r.Dimension == Combination {
		return "no single worker has this combination of resources"
	}
	return fmt.Sprintf("needs %d %s; the largest worker has %d", r.Need, r.Dimension, r.Have)
}

// Decision is the result of placing a task. Worker is empty when it was not placed.
type Decision struct {
	Worker string
	Reason Reason
}

// Decisions are the results of placing several tasks, in the order of the tasks.
type Decisions []Decision

// Placed reports whether all tasks were placed.
func (d Decisions) Placed() bool {
	return len(d) > 0 && d.Reason().Code == Placed
}

// Reason returns the reason why the tasks were not placed, or the zero Reason (Placed).
func (d Decisions) Reason() Reason {
	for _, one := range d {
		if one.Reason.Code != Placed {
			return one.Reason
		}
	}
	return Reason{}
}
