package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Restore takes over the jobs of earlier owners from the rows of the store: what callers handed in,
// progress and final states, each in the order in which they were written.
func (c *Core) Restore(now time.Time, jobRows, progressRows, endRows []table.Row) error {
	specs, err := readPages(jobRows)
	if err != nil {
		return err
	}
	progress, err := readPages(progressRows)
	if err != nil {
		return err
	}
	ends, err := readPages(endRows)
	if err != nil {
		return err
	}
	newest := newestOf(append(progress, ends...))
	texts := newestOf(specs)
	for id, e := range newest {
		if err := c.restoreJob(now, id, texts[id].entry.GetSpec(), e.entry.GetProgress()); err != nil {
			return err
		}
		c.enter(e.page, c.jobs[id])
	}
	for id, e := range texts {
		if c.jobs[id] == nil {
			kept := &wire.ProgressRecord{Queue: e.entry.GetSpec().GetQueue(), State: flow.Pending.String()}
			if err := c.restoreJob(now, id, e.entry.GetSpec(), kept); err != nil {
				return err
			}
		}
		if !c.jobs[id].State.Final() {
			c.enter(e.page, c.jobs[id])
		}
	}
	c.countPages(slices.Concat(specs, progress, ends))
	return nil
}

// countPages notes which rows hold entries of which jobs, and drops those without a needed one.
func (c *Core) countPages(entries []stored) {
	for _, e := range entries {
		j := c.jobs[e.entry.GetJob()]
		j.pages++
		e.page.jobs = append(e.page.jobs, j)
		if len(e.page.jobs) == 1 && e.page.live == 0 {
			c.keep.drops = append(c.keep.drops, e.page)
		}
	}
}

// stored is an entry of a row.
type stored struct {
	entry *wire.PageEntry
	page  *page
}

func readPages(rows []table.Row) ([]stored, error) {
	var out []stored
	for _, row := range rows {
		var r wire.PageRecord
		if err := proto.Unmarshal(row.Value, &r); err != nil {
			return nil, errors.Wrapf(err, "cell: unable to decode row %s", row.Key)
		}
		p := &page{key: row.Key, spec: strings.HasPrefix(row.Key, ledger.JobPrefix)}
		for _, e := range r.GetEntries() {
			out = append(out, stored{e, p})
		}
	}
	return out, nil
}

// newestOf returns the last entry of each job.
func newestOf(entries []stored) map[string]stored {
	out := make(map[string]stored, len(entries))
	for _, e := range entries {
		out[e.entry.GetJob()] = e
	}
	return out
}

// openJobs returns the number of jobs that have not ended.
func (c *Core) openJobs() int {
	n := 0
	for _, j := range c.jobs {
		if !j.State.Final() {
			n++
		}
	}
	return n
}

func (c *Core) restoreJob(now time.Time, id string, spec *wire.JobRecord, kept *wire.ProgressRecord) error {
	attempts := 0
	q := c.policy.Queue(kept.GetQueue())
	if q != nil {
		attempts = q.MaxAttempts
	}
	fj, err := flow.Restore(id, spec, kept, attempts)
	if err != nil {
		return err
	}
	j := c.newJob(fj, q)
	j.accepted = true
	if j.State.Final() {
		j.shown = j.State
		return nil
	}
	j.restored, j.storing = true, true
	c.addSteps(now, j, j.Resume(now))
	if _, more := j.NextDue(); more {
		c.timed[id] = j
	}
	return nil
}
