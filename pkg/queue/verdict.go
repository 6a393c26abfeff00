package queue

import "time"

// Reason says why an item was admitted or refused.
type Reason string

const (
	// Admitted items wait in the queue.
	Admitted Reason = "admitted"
	// Duplicate means that an item with this id is waiting already.
	Duplicate Reason = "duplicate"
	// Invalid means that the item names no id or an unknown class.
	Invalid Reason = "invalid"
	// DeadlinePassed means that the item could not start in time any more.
	DeadlinePassed Reason = "deadline_passed"
	// AboveQuota means that the item alone costs more than its team may run.
	AboveQuota Reason = "above_quota"
	// QueueFull means that the sum of all waiting items is at its bound.
	QueueFull Reason = "queue_full"
	// ClassFull means that the waiting items of the class are at their bound.
	ClassFull Reason = "class_full"
	// TeamFull means that the waiting items of the team are at their bound.
	TeamFull Reason = "team_full"
	// TooManyTeams means that MaxTeams teams have waiting or running items already.
	TooManyTeams Reason = "too_many_teams"
)

// PushResult is the outcome of Push. A refused item did not run and never will.
type PushResult struct {
	Reason Reason
	// ID is the id of the pushed item.
	ID string
	// RetryAfter is the time after which a refused item may find room; 0 means that a repeat is pointless.
	RetryAfter time.Duration
	// Dropped is the waiting item that made room; it did not run and must be answered as refused.
	Dropped Item
	// HasDropped is set when Dropped holds an item.
	HasDropped bool
}

// Admitted reports whether the item waits in the queue.
func (v PushResult) Admitted() bool {
	return v.Reason == Admitted
}
