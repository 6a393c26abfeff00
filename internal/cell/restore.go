package cell

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Rows are the rows that earlier owners have stored, each in the order in which they were written.
type Rows struct {
	Jobs, Progress, Places, Ends []table.Row
}

// Restore loads the jobs of earlier owners from the rows of the store. Rows and entries that cannot be decoded
// are skipped and kept in the store, so that one corrupt row does not stop the cell.
func (c *Core) Restore(now time.Time, rows Rows) {
	specs, progress, ends := c.readEntries(rows.Jobs), c.readEntries(rows.Progress), c.readEntries(rows.Ends)
	places := c.readEntries(rows.Places)
	executors := placesOf(places)
	latestProgress := completeProgress(append(progress, ends...))
	latestSpecs := latestEntries(specs)
	for id, parts := range latestProgress {
		var records []*wire.ProgressRecord
		var pages []*page
		for _, e := range parts {
			records, pages = append(records, e.entry.GetProgress()), append(pages, e.page)
		}
		if err := c.restoreJob(now, id, latestSpecs[id].entry.GetSpec(), records, executors[id]); err != nil {
			c.skipJob(id, err)
			delete(latestSpecs, id)
			continue
		}
		c.setProgressPages(c.jobs[id], pages)
	}
	for id, e := range latestSpecs {
		if c.jobs[id] == nil {
			if err := c.restoreJob(now, id, e.entry.GetSpec(), nil, executors[id]); err != nil {
				c.skipJob(id, err)
				continue
			}
		}
		if j := c.jobs[id]; !j.State.Final() || j.assumption != nil {
			e.page.liveEntries++
			j.specPage = e.page
		}
	}
	for _, e := range currentPlaces(places) {
		if j := c.jobs[e.entry.GetJob()]; j != nil && (!j.State.Final() || j.assumption != nil) {
			c.addPlacesPage(e.page, j, false)
		}
	}
	for id := range latestSpecs {
		delete(executors, id)
	}
	for id := range latestProgress {
		delete(executors, id)
	}
	// What is left are places without any other entry of their job, which a former version has deleted.
	c.indexPages(slices.Concat(specs, progress, places, ends), executors)
}

// skipJob leaves a job to an owner that can restore it.
func (c *Core) skipJob(id string, err error) {
	c.Log.WithField("job", id).WithError(err).Error("skipping job that cannot be restored")
	c.notRestored[id] = true
}

// currentPlaces returns the entries that are not replaced by a later one that is whole.
func currentPlaces(entries []storedEntry) []storedEntry {
	replaced := make(map[string]bool)
	var out []storedEntry
	for _, e := range slices.Backward(entries) {
		id := e.entry.GetJob()
		if !replaced[id] {
			out = append(out, e)
		}
		replaced[id] = replaced[id] || e.entry.GetPlaces().GetWhole()
	}
	slices.Reverse(out)
	return out
}

// placesOf returns the executors on which tasks of each job may have been started.
func placesOf(entries []storedEntry) map[string][]string {
	out := make(map[string][]string)
	for _, e := range entries {
		id, r := e.entry.GetJob(), e.entry.GetPlaces()
		if r.GetWhole() {
			out[id] = nil
		}
		out[id] = append(out[id], r.GetExecutors()...)
	}
	return out
}

// indexPages records which rows hold entries of which jobs, and marks rows without a current entry
// as obsolete. Entries of jobs that are gone count as outdated.
func (c *Core) indexPages(entries []storedEntry, gone map[string][]string) {
	for _, e := range entries {
		j := c.jobs[e.entry.GetJob()]
		if j == nil {
			if _, ok := gone[e.entry.GetJob()]; !ok {
				e.page.liveEntries++ // the job was skipped, so the row is kept
			}
			continue
		}
		j.pageCount++
		e.page.jobs = append(e.page.jobs, j)
	}
	counted := make(map[*page]bool)
	for _, e := range entries {
		if e.page.liveEntries == 0 && !counted[e.page] {
			c.writes.obsoletePages = append(c.writes.obsoletePages, e.page)
		}
		counted[e.page] = true
	}
}

// storedEntry is an entry together with its row.
type storedEntry struct {
	entry *wire.PageEntry
	page  *page
}

func (c *Core) readEntries(rows []table.Row) []storedEntry {
	var out []storedEntry
	for _, row := range rows {
		var r wire.PageRecord
		if err := proto.Unmarshal(row.Value, &r); err != nil {
			c.Log.WithField("row", row.Key).WithError(err).Error("skipping row that cannot be decoded")
			continue
		}
		p := &page{key: row.Key, prefix: row.Key[:strings.Index(row.Key, "/")+1]}
		for _, e := range r.GetEntries() {
			out = append(out, storedEntry{e, p})
		}
	}
	return out
}

// latestEntries returns the last entry of each job.
func latestEntries(entries []storedEntry) map[string]storedEntry {
	out := make(map[string]storedEntry, len(entries))
	for _, e := range entries {
		out[e.entry.GetJob()] = e
	}
	return out
}

// completeProgress returns the last progress of each job of which all parts are stored.
func completeProgress(entries []storedEntry) map[string][]storedEntry {
	out := make(map[string][]storedEntry, len(entries))
	incomplete := make(map[string][]storedEntry)
	for _, e := range entries {
		id, r := e.entry.GetJob(), e.entry.GetProgress()
		if r.GetParts() == 0 {
			out[id] = []storedEntry{e}
			delete(incomplete, id)
			continue
		}
		parts := incomplete[id]
		if len(parts) > 0 && parts[0].entry.GetProgress().GetSplitNumber() != r.GetSplitNumber() {
			parts = nil
		}
		parts = append(parts, e)
		if int64(len(parts)) < r.GetParts() {
			incomplete[id] = parts
			continue
		}
		out[id] = parts
		delete(incomplete, id)
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

func (c *Core) restoreJob(now time.Time, id string, spec *wire.JobRecord, progress []*wire.ProgressRecord, executors []string) error {
	queue := spec.GetQueue()
	if len(progress) > 0 {
		queue = progress[0].GetQueue()
	}
	q, attempts := c.queueOf(queue, flow.AcceptedBy(spec)), flow.UnknownAttempts
	if q != nil {
		attempts = q.MaxAttempts
	}
	flowJob, err := flow.Restore(id, spec, progress, attempts)
	if err != nil {
		return err
	}
	former := flowJob.Executors()
	flowJob.AddExecutors(executors)
	j := c.newJob(flowJob, q)
	j.accepted = true
	c.assumeRuns(now, j)
	if j.State.Final() {
		j.storedState = j.State
		return nil
	}
	j.restored, j.inCommit = true, true
	for _, id := range j.Executors() {
		j.recordedOn[id] = true
	}
	j.placesWritten = len(j.Executors())
	if len(former) > 0 {
		// A former version wrote them with the progress, which the next change of it replaces.
		j.placesWritten = 0
		c.writes.newPlaces[id] = j
	}
	for ex, runs := range j.UnconfirmedCrashes() {
		c.presumedOn[ex] = append(c.presumedOn[ex], runs...)
	}
	c.addSteps(now, j, j.Resume(now))
	if _, more := j.NextDue(); more {
		c.scheduled[id] = j
	}
	return nil
}
