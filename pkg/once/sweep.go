package once

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// Retention is how long a row is kept.
	Retention = 24 * time.Hour

	// sweepReadsPerSecond and sweepWritesPerSecond limit the share of a sweep in the budgets for
	// reads and writes.
	sweepReadsPerSecond  = 10
	sweepWritesPerSecond = 2

	// sweepRows is the number of rows that one write deletes. Each row counts twice towards the
	// limit of a transaction, because of its check.
	sweepRows = 60
)

// Sweep deletes the rows that are older than Retention, with their objects, and returns the
// number of deleted rows. It reads all rows and is meant to run about once an hour on one
// instance.
func (d *Deduplicator) Sweep(ctx context.Context, now time.Time) (int, error) {
	reads := rate.NewLimiter(sweepReadsPerSecond, 1)
	s := &sweeper{dedup: d, cutoffMS: now.Add(-Retention).UnixMilli(), writes: rate.NewLimiter(sweepWritesPerSecond, 1)}
	after := ""
	for {
		if err := reads.Wait(ctx); err != nil {
			return s.deleted, errors.Wrap(err, "once: sweep was interrupted")
		}
		rows, _, err := d.ReadRows(ctx, rowPrefix, after, table.MaxPageRows)
		if err != nil {
			return s.deleted, errors.Wrapf(err, "once: unable to sweep after %q", after)
		}
		if err := s.sweepPage(ctx, rows); err != nil {
			return s.deleted, err
		}
		if len(rows) < table.MaxPageRows {
			return s.deleted, s.flush(ctx)
		}
		after = rows[len(rows)-1].Key
	}
}

// sweeper collects the rows to delete in one write.
type sweeper struct {
	dedup    *Deduplicator
	cutoffMS int64
	writes   *rate.Limiter
	pending  table.Write
	deleted  int
}

func (s *sweeper) sweepPage(ctx context.Context, rows []table.Row) error {
	for _, row := range rows {
		rec, err := decodeRecord(row)
		if err != nil {
			s.dedup.Stats.Unreadable.Add(1)
			continue
		}
		if rec.ClaimedMS >= s.cutoffMS {
			continue
		}
		if err := s.deleteObject(ctx, row.Key, rec); err != nil {
			return err
		}
		s.pending.Checks = append(s.pending.Checks, table.Check{Key: row.Key, Version: row.Version})
		s.pending.Deletes = append(s.pending.Deletes, row.Key)
		if len(s.pending.Deletes) < sweepRows {
			continue
		}
		if err := s.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// deleteObject deletes the object of a row. It is called before the row is deleted, so that no
// object is left without a row. A claimed row may have an object too, if the response was not
// written to the row after the object was stored.
func (s *sweeper) deleteObject(ctx context.Context, name string, rec record) error {
	if rec.State == stateDone && rec.ObjectVersion == 0 {
		return nil
	}
	if err := s.writes.Wait(ctx); err != nil {
		return errors.Wrap(err, "once: sweep was interrupted")
	}
	err := s.dedup.DeleteObject(ctx, name)
	return errors.Wrapf(err, "once: unable to delete object %q", name)
}

// flush deletes the collected rows. Their checks prevent the deletion of a row that has changed
// since it was read.
func (s *sweeper) flush(ctx context.Context) error {
	if len(s.pending.Deletes) == 0 {
		return nil
	}
	if err := s.writes.Wait(ctx); err != nil {
		return errors.Wrap(err, "once: sweep was interrupted")
	}
	res := s.dedup.Commit(ctx, s.pending)
	rows := len(s.pending.Deletes)
	s.pending = table.Write{}
	switch res.Outcome {
	case table.Committed:
		s.deleted += rows
		s.dedup.Stats.Swept.Add(int64(rows))
	case table.Conflict:
		// Another instance sweeps as well; the next sweep deletes the rows that are left.
	default:
		return errors.Wrapf(res.Err, "once: deletion of old rows was %s", res.Outcome)
	}
	return nil
}
