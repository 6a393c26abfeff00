package fleet

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// Executor is one executor as described by its entry in the instance list.
type Executor struct {
	ID      string
	Service string
	// Address is the host:port at which the executor accepts calls.
	Address string
	// Domain is the executor's failure domain.
	Domain string
	Rack   string
	// Labels can be required by a step.
	Labels   []string
	Capacity place.Resources
	// Draining is set on an executor that accepts no new tasks and is about to shut down.
	Draining bool
	// MinRemaining is the minimum time for which a draining executor keeps running.
	MinRemaining time.Duration
	// Incarnation is the start time of the executor's process in Unix milliseconds; 0 if unknown.
	Incarnation int64
}

// HasLabel reports whether the executor has the label. The empty label matches every executor.
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
