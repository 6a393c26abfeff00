package config

import "time"

// KindRoute is the kind of route documents.
const KindRoute = "route"

const (
	defaultDeadlineMS   = 10_000
	defaultMaxBodyBytes = 1 << 20
)

// Route is a document with the class, deadline and limits of the requests of one route.
type Route struct {
	Kind          string `json:"kind"`
	Name          string `json:"name"`
	Class         string `json:"class,omitempty"`
	DeadlineMS    int64  `json:"deadline_ms,omitempty"`
	MaxBodyBytes  int64  `json:"max_body_bytes,omitempty"`
	NonIdempotent bool   `json:"non_idempotent,omitempty"`
}

// WithDefaults returns the route with defaults for missing fields.
func (r Route) WithDefaults() Route {
	if r.Class == "" {
		r.Class = defaultClass
	}
	if r.DeadlineMS == 0 {
		r.DeadlineMS = defaultDeadlineMS
	}
	if r.MaxBodyBytes == 0 {
		r.MaxBodyBytes = defaultMaxBodyBytes
	}
	return r
}

// Deadline returns the time allowed for a request that does not set its own deadline.
func (r Route) Deadline() time.Duration {
	return time.Duration(r.DeadlineMS) * time.Millisecond
}
