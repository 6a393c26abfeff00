package event

import (
	"cmp"
	"slices"
)

// Merge returns the events of several sources sorted by time, instance and sequence.
// Events that occur in several sources are returned once.
func Merge(sources [][]Event) []Event {
	events := slices.Concat(sources...)
	slices.SortStableFunc(events, compareEvents)
	return slices.CompactFunc(events, func(a, b Event) bool {
		return compareEvents(a, b) == 0
	})
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Time, b.Time),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}
