package queue

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Class is the urgency of an item.
type Class uint8

const (
	// Urgent work is served before all other work within its guaranteed share.
	Urgent Class = iota
	// Normal is the class of work that does not specify one.
	Normal
	// Deferrable work can wait.
	Deferrable

	// NumClasses is the number of classes.
	NumClasses = 3
)

var classNames = [NumClasses]string{"urgent", "normal", "deferrable"}

// String returns the name that is used in messages and settings.
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

// Item is a unit of work that waits for a slot or a worker.
type Item struct {
	// ID is unique among the waiting items.
	ID string
	// Team is the team that the item belongs to, as user/team or user.
	Team  string
	Class Class
	// Enqueued is the start of the waiting time, also for aging; zero means the time of Push.
	Enqueued time.Time
	// Deadline is the time from which the item must not start anymore; zero means none.
	Deadline time.Time
	// Cost is the amount of resources that the item occupies while it runs, in the unit of the
	// quotas. Values below 1 count as 1.
	Cost int64
	// Value is arbitrary data of the caller.
	Value any

	// seq is the position in the order of arrival. Requeue uses it to restore the position.
	seq uint64
}

// expired reports whether the deadline has passed at now.
func (it *Item) expired(now time.Time) bool {
	return !it.Deadline.IsZero() && !now.Before(it.Deadline)
}
