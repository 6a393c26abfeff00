package cell

import (
	"time"

	"github.com/daisyrack/daisyrack/internal/flow"
)

// Reply is the response to a request.
type Reply struct {
	Outcome    Outcome
	State      flow.State
	Reason     string
	RetryAfter time.Duration
}

// Outcome is the result of a request.
type Outcome uint8

// Outcomes of requests.
const (
	// Accepted means that the job or the cancellation is stored.
	Accepted Outcome = iota
	// Rejected means that the job was not accepted and will never run.
	Rejected
	// Unknown means that it cannot be determined whether the request took effect.
	Unknown
	// Found means that Reply.State holds the state of the job.
	Found
	// Absent means that there is no such job.
	Absent
	// NotOwner means that another instance owns the cell.
	NotOwner
	// TooMany means that the job was not accepted, and will never run, because of what its team may run.
	TooMany
)

var outcomeNames = [...]string{"accepted", "rejected", "unknown", "found", "absent", "not_owner", "too_many"}

// String returns the name used between instances and in logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// ParseOutcome is the inverse of String; other names give Unknown.
func ParseOutcome(name string) Outcome {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i)
		}
	}
	return Unknown
}
