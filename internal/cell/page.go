package cell

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// page is a row of the store that holds entries of several jobs, so that a commit writes few rows
// however many jobs it concerns. A newer entry of a job replaces the older one. A row whose entries
// are all outdated is deleted.
type page struct {
	key string
	// jobs are the jobs with an entry, current or outdated.
	jobs []*job
	// prefix is the one of its key. It tells whether the row holds specs, places, or progress and final states.
	prefix string
	// kinds holds what the entries replace, until the row is stored.
	kinds []entryKind
	// liveEntries is the number of current entries.
	liveEntries int
}

// entryKind tells what an entry replaces once it is stored.
type entryKind struct {
	// whole is set for places that replace the earlier ones of their job.
	whole bool
	// parts is the number of parts of progress that has more than one; they share the splitNumber, and replace
	// what is stored once all of them are.
	parts       int
	splitNumber int64
}

// pageWriter collects entries into rows of a batch.
type pageWriter struct {
	core   *Core
	batch  *Batch
	prefix string

	record wire.PageRecord
	jobs   []*job
	kinds  []entryKind
	// size is the size of the entries in the unfinished row.
	size int
}

// add appends an entry. If the row is full, it is added to the batch first.
func (p *pageWriter) add(j *job, e *wire.PageEntry) error {
	n := proto.Size(e)
	if p.size > 0 && p.size+n > ledger.MaxPageBytes {
		if err := p.flush(); err != nil {
			return err
		}
	}
	p.record.Entries = append(p.record.Entries, e)
	p.jobs = append(p.jobs, j)
	p.kinds = append(p.kinds, entryKind{
		whole: e.GetPlaces().GetWhole(), parts: int(e.GetProgress().GetParts()), splitNumber: e.GetProgress().GetSplitNumber(),
	})
	p.size += n
	p.batch.bytes += n
	return nil
}

// flush adds the unfinished row to the batch.
func (p *pageWriter) flush() error {
	if len(p.jobs) == 0 {
		return nil
	}
	value, err := proto.Marshal(&p.record)
	if err != nil {
		return err
	}
	p.core.writes.pageSerial++
	// Keys sort by the time of writing, across all owners.
	key := fmt.Sprintf("%s%010d.%010d", p.prefix, p.core.Epoch, p.core.writes.pageSerial)
	p.batch.Puts = append(p.batch.Puts, table.Put{Key: key, Value: value})
	p.batch.pages = append(p.batch.pages, &page{key: key, jobs: p.jobs, prefix: p.prefix, kinds: p.kinds})
	p.record.Entries, p.jobs, p.kinds, p.size = nil, nil, nil, 0
	return nil
}

// pageStored makes the entries of a stored row the current ones of their jobs.
func (c *Core) pageStored(p *page) {
	for i, j := range p.jobs {
		j.pageCount++
		switch kind := p.kinds[i]; {
		case p.prefix == ledger.PlacesPrefix:
			c.addPlacesPage(p, j, kind.whole)
		case p.prefix == ledger.JobPrefix:
			p.liveEntries++
			c.releasePage(j.specPage)
			j.specPage = p
		case kind.parts > 0:
			c.addProgressPart(p, j, kind)
		default:
			c.setProgressPages(j, []*page{p})
		}
	}
	p.kinds = nil
}

// addProgressPart adds a row with a part of a job's progress. Until all parts are stored, the former progress is
// the current one.
func (c *Core) addProgressPart(p *page, j *job, kind entryKind) {
	if kind.splitNumber != j.splitNumber {
		c.releasePages(j.partPages)
		j.partPages, j.splitNumber = nil, kind.splitNumber
	}
	p.liveEntries++
	j.partPages = append(j.partPages, p)
	if len(j.partPages) == kind.parts {
		complete := j.partPages
		j.partPages = nil
		c.setProgressPages(j, complete)
		c.releasePages(complete) // each of them was counted as a part already
	}
}

// setProgressPages makes the rows those that hold the current progress of a job.
func (c *Core) setProgressPages(j *job, pages []*page) {
	for _, p := range pages {
		p.liveEntries++
	}
	c.releasePages(j.progressPages)
	c.releasePages(j.partPages)
	j.progressPages, j.partPages = pages, nil
}

// addPlacesPage makes the entry of a job in a row of places count. One that is whole replaces the earlier ones.
func (c *Core) addPlacesPage(p *page, j *job, whole bool) {
	if whole {
		c.releasePlaces(j)
	}
	p.liveEntries++
	j.placesPages = append(j.placesPages, p)
}

// releasePlaces records that all places of a job are outdated.
func (c *Core) releasePlaces(j *job) {
	c.releasePages(j.placesPages)
	j.placesPages = nil
}

// releasePages records that one entry of each row is outdated.
func (c *Core) releasePages(pages []*page) {
	for _, p := range pages {
		c.releasePage(p)
	}
}

// releasePage records that one entry of a row is outdated.
func (c *Core) releasePage(p *page) {
	if p == nil {
		return
	}
	p.liveEntries--
	if p.liveEntries == 0 {
		c.writes.obsoletePages = append(c.writes.obsoletePages, p)
	}
}
