package lease

import "time"

// CutOff says what becomes of a task whose owner can no longer extend its claim.
type CutOffPolicy string

const (
	// Stay keeps the task running for StayLimit, which survives an hour without the store.
	StayOnCutOff CutOffPolicy = "stay"
	// Move stops the task after MoveLimit, so that it can be restarted elsewhere soon.
	MoveOnCutOff CutOffPolicy = "move"
)

const (
	// MoveLimit is how long after the proven base a worker runs move tasks.
	MoveTimeout = 20 * time.Second
	// StayLimit is how long after the proven base a worker runs stay tasks.
	StayTimeout = 3900 * time.Second

	// ClockDrift is the largest assumed ratio between the rates of two monotonic clocks.
	MaxClockDrift = 1.05
	// RestartMargin covers the time that a worker needs to stop a task after its limit.
	StopMargin = time.Second
)

// Valid reports whether c is Stay or Move.
func (c CutOffPolicy) Valid() bool {
	return c == StayOnCutOff || c == MoveOnCutOff
}

// Limit is how long after the proven base a worker runs tasks of this kind. An
// unknown kind has the longer limit, because waiting too long never runs a task twice.
func (c CutOffPolicy) Timeout() time.Duration {
	if c == MoveOnCutOff {
		return MoveTimeout
	}
	return StayTimeout
}

// RestartAfter is how long an owner waits, on its own clock, until a worker that it
// can't reach has stopped its tasks of this kind.
func (c CutOffPolicy) RestartDelay() time.Duration {
	return time.Duration(float64(c.Timeout())*MaxClockDrift) + StopMargin
}
