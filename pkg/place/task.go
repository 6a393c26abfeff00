package place

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Class is the urgency of a task; a lower value is more urgent.
type Class uint8

const (
	// Urgent work may stop work of the other classes.
	Urgent Class = iota
	// Normal work is stopped only when stopping deferrable work is not enough.
	Normal
	// Deferrable work is stopped first.
	Deferrable
)

var classNames = [...]string{"urgent", "normal", "deferrable"}

// String returns the name used in documents.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return "unknown"
	}
	return classNames[c]
}

// MarshalText returns the name used in documents.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText sets the value from a name; names that ParseClass refuses are an error.
func (c *Class) UnmarshalText(text []byte) (err error) {
	*c, err = ParseClass(string(text))
	return err
}

// ParseClass is the inverse of String; other names are an error.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return Normal, errors.Newf("place: class %q is not urgent, normal or deferrable", name)
}

// Kind tells how the tasks of a job belong together.
type Kind uint8

const (
	// Service tasks run until they are stopped and are spread over racks.
	Service Kind = iota
	// Batch tasks run to their end and are packed.
	Batch
	// Gang tasks must all run at the same time.
	Gang
)

var kindNames = [...]string{"service", "batch", "all_at_once"}

// String returns the name used in documents.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// MarshalText returns the name used in documents.
func (k Kind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText sets the value from a name; names that ParseKind refuses are an error.
func (k *Kind) UnmarshalText(text []byte) (err error) {
	*k, err = ParseKind(string(text))
	return err
}

// ParseKind is the inverse of String; other names are an error.
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
	// ID is unique in the cell; Job is shared by the tasks of one job.
	ID  string
	Job string

	Class Class
	Kind  Kind

	// Need is what the task is granted when it is placed.
	Need Resources

	// RunTime is the expected time from start to end; 0 means unknown. It is ignored for services.
	RunTime time.Duration

	// Started is set by Place; callers of Adopt set it when they know it.
	Started time.Time

	// LastCheckpoint is when the task last saved its work; zero means never.
	LastCheckpoint time.Time
}
