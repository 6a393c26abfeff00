package event

import (
	"cmp"
	"slices"
)

// Merge joins the events of several sources in order of time, instance and
// sequence; an event that several sources hold comes once.
func Merge(sources [][]Event) []Event {
	events := slices.Concat(sources...)
	slices.SortStableFunc(events, compare)
	return slices.CompactFunc(events, func(a, b Event) bool {
		return compare(a, b) == 0
	})
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Time, b.Time),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}
