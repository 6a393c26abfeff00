package place

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Class is the urgency of a task; a lower value is more urgent.
type Class uint8

const (
	// Urgent tasks may preempt tasks of the other classes.
	Urgent Class = iota
	// Normal tasks are preempted only if preempting deferrable tasks is not enough.
	Normal
	// Deferrable tasks are preempted first.
	Deferrable
)

var classNames = [...]string{"urgent", "normal", "deferrable"}

// String returns the name that is used in job specifications.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return "unknown"
	}
	return classNames[c]
}

// MarshalText returns the same name as String.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText is the inverse of MarshalText. See ParseClass.
func (c *Class) UnmarshalText(text []byte) (err error) {
	*c, err = ParseClass(string(text))
	return err
}

// ParseClass is the inverse of String. It returns an error for an unknown name.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return Normal, errors.Newf("place: class %q is not urgent, normal or deferrable", name)
}

// Kind determines how the tasks of a job are scheduled.
type Kind uint8

const (
	// Service tasks run until they are stopped and are spread over racks.
	Service Kind = iota
	// Batch tasks run to completion and are packed tightly.
	Batch
	// Gang tasks of a job are placed all at once or not at all. The outer name is all_at_once.
	Gang
)

var kindNames = [...]string{"service", "batch", "all_at_once"}

// String returns the name that is used in job specifications.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// MarshalText returns the same name as String.
func (k Kind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText is the inverse of MarshalText. See ParseKind.
func (k *Kind) UnmarshalText(text []byte) (err error) {
	*k, err = ParseKind(string(text))
	return err
}

// ParseKind is the inverse of String. It returns an error for an unknown name.
func ParseKind(name string) (Kind, error) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), nil
		}
	}
	return Batch, errors.Newf("place: kind %q is not service, batch or all_at_once", name)
}

// Worker is an instance that runs tasks.
type Worker struct {
	Name     string    `json:"name"`
	Rack     string    `json:"rack"`
	Capacity Resources `json:"capacity"`
}

// Task is one unit of work that runs on one worker.
type Task struct {
	// ID is unique in the cell. Job is the job that the task belongs to.
	ID  string
	Job string

	Class Class
	Kind  Kind

	// Need is the amount of resources granted to the task.
	Need Resources

	// RunTime is the expected run time; 0 means unknown. It is ignored for services.
	RunTime time.Duration

	// Started is set by Place. Callers of Adopt set it if they know it.
	Started time.Time

	// LastCheckpoint is the time at which the task last saved its work; zero means never.
	LastCheckpoint time.Time
}
