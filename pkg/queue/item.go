package queue

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Class says how urgent an item is.
type Class uint8

const (
	// Urgent work is served before all other work within its guaranteed share.
	Urgent Class = iota
	// Normal is the class of work that names none.
	Normal
	// Deferrable work can wait.
	Deferrable

	// NumClasses is the number of classes.
	NumClasses = 3
)

var classNames = [NumClasses]string{"urgent", "normal", "deferrable"}

// String returns the name of the class in messages and settings.
func (c Class) String() string {
	if c >= NumClasses {
		return "invalid"
	}
	return classNames[c]
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for i, known := range classNames {
		if name == known {
			return Class(i), nil
		}
	}
	return 0, errors.Newf("queue: unknown class %q, allowed are urgent, normal and deferrable", name)
}

// Item is one piece of work that waits for a slot or a worker.
type Item struct {
	// ID is unique among the waiting items.
	ID string
	// Team owns the item, as user/team or user.
	Team  string
	Class Class
	// Enqueued is the time from which waiting and ageing count; zero means the time of Push.
	Enqueued time.Time
	// Deadline is the time after which the item must not start; zero means none.
	Deadline time.Time
	// Cost is what the item occupies while it runs, in the unit of the quotas; values below 1 count as 1.
	Cost int64
	// Value is kept for the caller.
	Value any

	// seq is the place in the order of arrival, kept so that Requeue restores it.
	seq uint64
}

// expired reports whether the item must no longer start at now.
func (it *Item) expired(now time.Time) bool {
	return !it.Deadline.IsZero() && !now.Before(it.Deadline)
}
