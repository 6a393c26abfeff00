package cell

import (
	"maps"
	"slices"

	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// maxPlacesPages is the number of rows with places of one job from which they are written anew, so that a
// long-running job does not keep rows of many commits.
const maxPlacesPages = 16

// maxPlacesBytes is the size from which the places of a job are split into several entries, and up to which they
// are written anew.
const maxPlacesBytes = 32 << 10

// addPlaces adds the executors on which tasks of jobs may be started from now on. They stand apart from the
// progress, which is written again with each change.
func (c *Core) addPlaces(b *Batch, pages *pageWriter) error {
	pw := &c.writes
	pw.recordDue = false
	for _, id := range slices.Sorted(maps.Keys(pw.newPlaces)) {
		j := pw.newPlaces[id]
		if j.State.Final() {
			delete(pw.newPlaces, id)
			continue
		}
		if !j.inCommit || !pw.isolation.allows(j) {
			continue
		}
		ids, whole := j.Executors()[j.placesWritten:], j.placesWritten == 0
		if len(j.placesPages) >= maxPlacesPages && namesSize(j.Executors()) <= maxPlacesBytes {
			ids, whole = j.Executors(), true // in one entry: the earlier ones are dropped with it
		}
		for len(ids) > 0 && b.bytes < ledger.MaxCommitBytes {
			n := namesThatFit(ids, maxPlacesBytes)
			if err := pages.add(j, &wire.PageEntry{Job: j.ID, Places: &wire.PlacesRecord{Executors: ids[:n], Whole: whole}}); err != nil {
				return err
			}
			ids, whole = ids[n:], false
		}
		written := len(j.Executors()) - len(ids)
		b.recorded = append(b.recorded, recordedExecutors{job: j, ids: slices.Clone(j.Executors()[j.placesWritten:written])})
		j.placesWritten = written
		if len(ids) > 0 {
			pw.recordDue = true
			return nil
		}
		delete(pw.newPlaces, id)
	}
	return nil
}

// namesSize returns the size of names in a record.
func namesSize(names []string) int {
	size := 0
	for _, name := range names {
		size += nameOverhead + len(name)
	}
	return size
}

// namesThatFit returns how many of the first names have at most the given size; at least one.
func namesThatFit(names []string, limit int) int {
	size := 0
	for i, name := range names {
		if size += nameOverhead + len(name); size > limit {
			return max(i, 1)
		}
	}
	return len(names)
}

// nameOverhead is the size of the tag and the length of a name in a record.
const nameOverhead = 3
