package route

import "time"

// Request is one request to forward. The ID is unique. The Body must not change, not even
// after Do has returned: an attempt whose answer comes too late may still be sending it.
type Request struct {
	ID, Route, Class, Team string
	// Key is the caller's own name of the request; it is passed on and not interpreted.
	Key           string
	Body          []byte
	ContentType   string
	NonIdempotent bool
	Deadline      time.Time
}

// Outcome says what is known of a request.
type Outcome string

const (
	// Answered means that the request ran and its whole answer is present.
	Answered Outcome = "answered"
	// Refused means that the request did not run.
	Refused Outcome = "refused"
	// Failed means that a backend server ran the request and answered with an error.
	Failed Outcome = "failed"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Answer is the outcome of a request.
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

// Attempt describes one attempt of a request for the time line.
type Attempt struct {
	ID, Route, Class, Team, Backend string
	Number                          int
	Start, End                      time.Time
	Outcome                         Outcome
	Reason                          string
	Status                          int
	Late                            bool // the request had its outcome before
}
