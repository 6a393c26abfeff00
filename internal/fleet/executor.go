package fleet

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// Executor describes one executor as its entry in the instance list says.
type Executor struct {
	ID      string
	Service string
	// Address is host:port of the executor's calls.
	Address string
	// Domain is the failure domain.
	Domain string
	Rack   string
	// Labels are what a step may require.
	Labels   []string
	Capacity place.Resources
	// Draining executors take no new tasks and leave soon.
	Draining bool
	// MinRemaining is the least time that a draining executor still runs.
	MinRemaining time.Duration
	// Incarnation is the start of the executor's process in Unix milliseconds; 0 means unknown.
	Incarnation int64
}

// HasLabel reports whether the executor has the label; every executor has the empty one.
func (e *Executor) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}
