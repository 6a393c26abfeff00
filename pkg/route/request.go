package route

import "time"

// Request is one request to forward. The ID is unique. The Body must not be modified, not even
// after Do has returned, because an attempt that Do no longer waits for may still be sending it.
type Request struct {
	ID, Route, Class, Team string
	// Key is the caller's idempotency key. It is passed to the backend server and not interpreted.
	Key           string
	Body          []byte
	ContentType   string
	NonIdempotent bool
	Deadline      time.Time
}

// Outcome says what is known about the execution of a request.
type Outcome string

const (
	// Answered means that the request ran and its complete response was received.
	Answered Outcome = "answered"
	// Refused means that the request did not run.
	Refused Outcome = "refused"
	// Failed means that a backend server ran the request and returned an error, or a response that
	// is too large.
	Failed Outcome = "failed"
	// Unknown means that the request may have run, but no valid response was received.
	Unknown Outcome = "unknown"
)

// Response is the outcome of a request and the response of the backend server, if any.
type Response struct {
	Outcome     Outcome
	Status      int
	ContentType string
	Body        []byte
	Reason      string
	Backend     string
	Attempts    int
	MayHaveRun  bool
	RetryAfter  time.Duration
}

// Attempt describes one attempt of a request for the timeline.
type Attempt struct {
	ID, Route, Class, Team, Backend string
	Number                          int
	Start, End                      time.Time
	Outcome                         Outcome
	Reason                          string
	Status                          int
	Late                            bool // ended after the outcome of the request was decided
}
