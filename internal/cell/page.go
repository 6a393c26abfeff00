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
	// isSpec is set for rows of job specs, as opposed to progress and final states.
	isSpec bool
	// liveEntries is the number of current entries.
	liveEntries int
}

// pageWriter collects entries into rows of a batch.
type pageWriter struct {
	core   *Core
	batch  *Batch
	prefix string

	record wire.PageRecord
	jobs   []*job
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
	p.batch.pages = append(p.batch.pages, &page{key: key, jobs: p.jobs, isSpec: p.prefix == ledger.JobPrefix})
	p.record.Entries, p.jobs, p.size = nil, nil, 0
	return nil
}

// pageStored makes the entries of a stored row the current ones of their jobs.
func (c *Core) pageStored(p *page) {
	for _, j := range p.jobs {
		j.pageCount++
		c.assignPage(p, j)
	}
}

// assignPage makes p the row that holds the current entry of a job.
func (c *Core) assignPage(p *page, j *job) {
	current := &j.progressPage
	if p.isSpec {
		current = &j.specPage
	}
	p.liveEntries++
	c.releasePage(*current)
	*current = p
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
