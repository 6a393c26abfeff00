package cell

import (
	"slices"

	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// progressPart is one part of the progress of a job.
type progressPart struct {
	job    *job
	record *wire.ProgressRecord
}

// addParts adds the parts of a progress record to those that are in no commit yet.
func (pw *pendingWrites) addParts(epoch int64, j *job, parts []*wire.ProgressRecord) {
	pw.splitSerial++
	for _, part := range parts {
		part.Parts, part.SplitNumber = int64(len(parts)), epoch<<splitSerialBits|pw.splitSerial
		pw.parts = append(pw.parts, progressPart{j, part})
	}
	j.waitingParts = len(parts)
}

// splitSerialBits is the number of bits of a split number below the epoch.
const splitSerialBits = 32

// dropParts removes the parts of a job that are in no commit yet.
func (pw *pendingWrites) dropParts(j *job) {
	if j.waitingParts > 0 {
		j.waitingParts = 0
		pw.parts = slices.DeleteFunc(pw.parts, func(p progressPart) bool { return p.job == j })
	}
}

// addParts adds the parts of progress that fit into the batch.
func (c *Core) addParts(b *Batch, pages *pageWriter) error {
	pw := &c.writes
	var later []progressPart
	for i, p := range pw.parts {
		if b.bytes >= ledger.MaxCommitBytes {
			later = append(later, pw.parts[i:]...)
			break
		}
		if !pw.isolation.allows(p.job) {
			later = append(later, p)
			continue
		}
		if err := pages.add(p.job, &wire.PageEntry{Job: p.job.ID, Progress: p.record}); err != nil {
			return err
		}
		b.parts = append(b.parts, p)
		p.job.waitingParts--
	}
	pw.parts = later
	return nil
}
