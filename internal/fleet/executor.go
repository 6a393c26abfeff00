package fleet

import (
	"slices"
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
	// EntryVersion changes whenever the entry is written.
	EntryVersion int64
}

// Equal reports whether two entries say the same, although one may have been written later.
func (e *Executor) Equal(other *Executor) bool {
	return e.ID == other.ID && e.Service == other.Service && e.Address == other.Address && e.Domain == other.Domain &&
		e.Rack == other.Rack && slices.Equal(e.Labels, other.Labels) && e.Capacity == other.Capacity &&
		e.Draining == other.Draining && e.MinRemaining == other.MinRemaining && e.Incarnation == other.Incarnation
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
