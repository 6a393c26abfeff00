package place

import "fmt"

// Code is the kind of a Reason.
type Code uint8

const (
	// Placed means that the task was granted its resources.
	Placed Code = iota
	// NoWorkers means that the cell has no worker that accepts tasks.
	NoWorkers
	// NoCapacity means that no worker has enough free capacity now.
	NoCapacity
	// TooLarge means that no worker could hold the task even when empty.
	TooLarge
	// TooManyTasks means that the empty cell could not hold that many tasks at the same time.
	TooManyTasks
	// Reserved means that the free capacity is held for an all-at-once job.
	Reserved
	// Duplicate means that the cell already holds a task with this id.
	Duplicate
	// Invalid means that a need is negative or an id is empty.
	Invalid
	// ReservationTaken means that another job holds the reservation.
	ReservationTaken
	// NeverFits means that the job does not fit even when everything but the services has ended.
	NeverFits
)

// Dimension names one field of Resources.
type Dimension uint8

const (
	// Combination means that no single dimension is the cause.
	Combination Dimension = iota
	// CPU is Resources.CPUMillis.
	CPU
	// Memory is Resources.MemoryMB.
	Memory
	// Accelerators is Resources.Accelerators.
	Accelerators
)

var dimensionNames = [...]string{"the combination of resources", "cpu_millis", "memory_mb", "accelerators"}

// String returns the name used in documents.
func (d Dimension) String() string {
	if int(d) >= len(dimensionNames) {
		return "unknown"
	}
	return dimensionNames[d]
}

// Reason says why a decision was made; values are comparable.
type Reason struct {
	Code Code

	// Dimension is the resource that is lacking when Code is TooLarge.
	Dimension Dimension

	// Need and Have are amounts of Dimension (TooLarge) or numbers of tasks (TooManyTasks).
	Need int64
	Have int64
}

// String returns a sentence for operators.
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

// Decision is the outcome of placing one task; Worker is empty when it was not placed.
type Decision struct {
	Worker string
	Reason Reason
}

// Decisions are the outcomes of placing several tasks, in the order of the tasks.
type Decisions []Decision

// Placed reports whether every task was placed; PlaceAll places all or none.
func (d Decisions) Placed() bool {
	return len(d) > 0 && d.Reason().Code == Placed
}

// Reason returns why the tasks were not placed, or Placed.
func (d Decisions) Reason() Reason {
	for _, one := range d {
		if one.Reason.Code != Placed {
			return one.Reason
		}
	}
	return Reason{}
}
