package lease

import "time"

// CutOff says what a task does when its owner is cut off.
type CutOff string

const (
	// Stay keeps the task running for StayLimit.
	Stay CutOff = "stay"
	// Move stops the task after MoveLimit so that it can be restarted elsewhere.
	Move CutOff = "move"
)

const (
	// MoveLimit is how long a proven base is valid for Move tasks.
	MoveLimit = 20 * time.Second
	// StayLimit is how long a proven base is valid for Stay tasks; it outlasts one hour without the store.
	StayLimit = 3900 * time.Second
)
