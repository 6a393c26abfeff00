package lease

import "time"

// CutOffPolicy says what happens to a task when its worker is cut off, that is, when the owner can
// no longer renew its claim on the worker.
type CutOffPolicy string

const (
	// StayOnCutOff lets the task run on for StayTimeout, which covers a store outage of an hour.
	StayOnCutOff CutOffPolicy = "stay"
	// MoveOnCutOff stops the task after MoveTimeout, so that it can soon be restarted on another
	// worker.
	MoveOnCutOff CutOffPolicy = "move"
)

const (
	// MoveTimeout is how long after the renewal time a worker runs tasks with MoveOnCutOff.
	MoveTimeout = 20 * time.Second
	// StayTimeout is how long after the renewal time a worker runs tasks with StayOnCutOff.
	StayTimeout = 3900 * time.Second

	// MaxClockDrift is the largest assumed ratio between the rates of two monotonic clocks.
	MaxClockDrift = 1.05
	// StopMargin covers the time that a worker needs to stop a task after its timeout.
	StopMargin = time.Second
)

// Valid reports whether p is StayOnCutOff or MoveOnCutOff.
func (p CutOffPolicy) Valid() bool {
	return p == StayOnCutOff || p == MoveOnCutOff
}

// Timeout returns how long after the renewal time a worker runs tasks with this policy.
// An unknown policy has the longer timeout, because waiting too long never runs a task twice.
func (p CutOffPolicy) Timeout() time.Duration {
	if p == MoveOnCutOff {
		return MoveTimeout
	}
	return StayTimeout
}

// RestartDelay returns how long, on its own clock, an owner waits until a worker that it can't
// reach has certainly stopped its tasks with this policy.
func (p CutOffPolicy) RestartDelay() time.Duration {
	return time.Duration(float64(p.Timeout())*MaxClockDrift) + StopMargin
}
