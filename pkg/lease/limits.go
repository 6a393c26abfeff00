package lease

import "time"

// CutOff says what becomes of a task whose owner can no longer extend its claim.
type CutOff string

const (
	// Stay keeps the task running for StayLimit, which survives an hour without the store.
	Stay CutOff = "stay"
	// Move stops the task after MoveLimit, so that it can be restarted elsewhere soon.
	Move CutOff = "move"
)

const (
	// MoveLimit is how long after the proven base a worker runs move tasks.
	MoveLimit = 20 * time.Second
	// StayLimit is how long after the proven base a worker runs stay tasks.
	StayLimit = 3900 * time.Second

	// ClockDrift is the largest assumed ratio between the rates of two monotonic clocks.
	ClockDrift = 1.05
	// RestartMargin covers the time that a worker needs to stop a task after its limit.
	RestartMargin = time.Second
)

// Valid reports whether c is Stay or Move.
func (c CutOff) Valid() bool {
	return c == Stay || c == Move
}

// Limit is how long after the proven base a worker runs tasks of this kind. An
// unknown kind has the longer limit, because waiting too long never runs a task twice.
func (c CutOff) Limit() time.Duration {
	if c == Move {
		return MoveLimit
	}
	return StayLimit
}

// RestartAfter is how long an owner waits, on its own clock, until a worker that it
// can't reach has stopped its tasks of this kind.
func (c CutOff) RestartAfter() time.Duration {
	return time.Duration(float64(c.Limit())*ClockDrift) + RestartMargin
}
