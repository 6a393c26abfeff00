package queue

import "time"

// Reason tells whether an item was admitted, or why it was refused.
type Reason string

const (
	// Admitted means that the item waits in the queue.
	Admitted Reason = "admitted"
	// Duplicate means that an item with this id is already waiting.
	Duplicate Reason = "duplicate"
	// Invalid means that the item has no id or an unknown class.
	Invalid Reason = "invalid"
	// DeadlinePassed means that the deadline of the item has passed.
	DeadlinePassed Reason = "deadline_passed"
	// AboveQuota means that the cost of the item alone exceeds the quota of its team.
	AboveQuota Reason = "above_quota"
	// QueueFull means that the total number of waiting items is at its limit.
	QueueFull Reason = "queue_full"
	// ClassFull means that the number of waiting items of the class is at its limit.
	ClassFull Reason = "class_full"
	// TeamFull means that the number of waiting items of the team is at its limit.
	TeamFull Reason = "team_full"
	// TooManyTeams means that MaxTeams other teams have waiting or running items.
	TooManyTeams Reason = "too_many_teams"
)

// PushResult is the result of Push. A refused item is not in the queue and never runs.
type PushResult struct {
	Reason Reason
	// ID is the id of the pushed item.
	ID string
	// RetryAfter is the time after which a retry of a refused item may succeed; 0 means that
	// retrying is pointless.
	RetryAfter time.Duration
	// Dropped is the waiting item that was dropped to make room. It did not run; the caller
	// has to treat it as refused.
	Dropped Item
	// HasDropped is set if an item was dropped.
	HasDropped bool
}

// Admitted reports whether the item waits in the queue.
func (r PushResult) Admitted() bool {
	return r.Reason == Admitted
}
