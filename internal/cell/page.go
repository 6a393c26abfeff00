package cell

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// page is a row of the store with entries of several jobs: a commit writes few rows, however many
// jobs it concerns. A newer entry of a job replaces the older one, and a row without a needed
// entry is dropped.
type page struct {
	key string
	// jobs are those with an entry, needed or not.
	jobs []*job
	// spec tells entries of what callers handed in from progress.
	isSpec bool
	// live is the number of entries that are still needed.
	liveEntries int
}

// pager collects entries into rows of a batch.
type pageWriter struct {
	core   *Core
	batch  *Batch
	prefix string

	record wire.PageRecord
	jobs   []*job
	// size is that of the row in progress.
	size int
}

// add appends an entry; a row that is full is put into the batch.
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

// flush puts the row in progress into the batch.
func (p *pageWriter) flush() error {
	if len(p.jobs) == 0 {
		return nil
	}
	value, err := proto.Marshal(&p.record)
	if err != nil {
		return err
	}
	p.core.writes.pageSerial++
	// Keys sort in the order of writing, over all owners.
	key := fmt.Sprintf("%s%010d.%010d", p.prefix, p.core.Epoch, p.core.writes.pageSerial)
	p.batch.Puts = append(p.batch.Puts, table.Put{Key: key, Value: value})
	p.batch.pages = append(p.batch.pages, &page{key: key, jobs: p.jobs, isSpec: p.prefix == ledger.JobPrefix})
	p.record.Entries, p.jobs, p.size = nil, nil, 0
	return nil
}

// settle makes the entries of a stored row the newest ones of their jobs.
func (c *Core) pageStored(p *page) {
	for _, j := range p.jobs {
		j.pageCount++
		c.assignPage(p, j)
	}
}

// enter makes a row the one that holds a job.
func (c *Core) assignPage(p *page, j *job) {
	held := &j.progressPage
	if p.isSpec {
		held = &j.specPage
	}
	p.liveEntries++
	c.releasePage(*held)
	*held = p
}

// leave notes that an entry of a row is not needed any more.
func (c *Core) releasePage(p *page) {
	if p == nil {
		return
	}
	p.liveEntries--
	if p.liveEntries == 0 {
		c.writes.obsoletePages = append(c.writes.obsoletePages, p)
	}
}
