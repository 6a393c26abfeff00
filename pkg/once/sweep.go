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

	// sweepReadsPerSecond and sweepWritesPerSecond bound what a sweep takes from the budget.
	sweepReadsPerSecond  = 10
	sweepWritesPerSecond = 2

	// sweepRows is the number of rows deleted by one write; each counts twice, because of its check.
	sweepRows = 60
)

// Sweep deletes the rows that are older than Retention, with their objects, and returns the
// number of deleted rows. It reads all rows and is meant to run about once an hour on one
// instance.
func (r *Deduplicator) Sweep(ctx context.Context, now time.Time) (int, error) {
	reads := rate.NewLimiter(sweepReadsPerSecond, 1)
	s := &sweep{r: r, before: now.Add(-Retention).UnixMilli(), writes: rate.NewLimiter(sweepWritesPerSecond, 1)}
	after := ""
	for {
		if err := reads.Wait(ctx); err != nil {
			return s.deleted, errors.Wrap(err, "once: sweep ended early")
		}
		rows, _, err := r.ReadRows(ctx, rowPrefix, after, table.MaxPageRows)
		if err != nil {
			return s.deleted, errors.Wrapf(err, "once: unable to sweep after %q", after)
		}
		if err := s.page(ctx, rows); err != nil {
			return s.deleted, err
		}
		if len(rows) < table.MaxPageRows {
			return s.deleted, s.flush(ctx)
		}
		after = rows[len(rows)-1].Key
	}
}

// sweep collects the rows that one write deletes.
type sweep struct {
	r       *Deduplicator
	before  int64
	writes  *rate.Limiter
	write   table.Write
	deleted int
}

func (s *sweep) page(ctx context.Context, rows []table.Row) error {
	for _, row := range rows {
		found, err := decode(row)
		if err != nil {
			s.r.Stats.Unreadable.Add(1)
			continue
		}
		if found.ClaimedMS >= s.before {
			continue
		}
		if err := s.object(ctx, row.Key, found); err != nil {
			return err
		}
		s.write.Checks = append(s.write.Checks, table.Check{Key: row.Key, Version: row.Version})
		s.write.Deletes = append(s.write.Deletes, row.Key)
		if len(s.write.Deletes) < sweepRows {
			continue
		}
		if err := s.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// object deletes the body first, so that no object is left without a row. A claimed row may
// have an object whose row was not written any more.
func (s *sweep) object(ctx context.Context, name string, found record) error {
	if found.State == stateDone && found.ObjectVersion == 0 {
		return nil
	}
	if err := s.writes.Wait(ctx); err != nil {
		return errors.Wrap(err, "once: sweep ended early")
	}
	err := s.r.DeleteObject(ctx, name)
	return errors.Wrapf(err, "once: unable to delete object %q", name)
}

// flush deletes the collected rows. The checks keep a row that was claimed again meanwhile.
func (s *sweep) flush(ctx context.Context) error {
	if len(s.write.Deletes) == 0 {
		return nil
	}
	if err := s.writes.Wait(ctx); err != nil {
		return errors.Wrap(err, "once: sweep ended early")
	}
	res := s.r.Commit(ctx, s.write)
	rows := len(s.write.Deletes)
	s.write = table.Write{}
	switch res.Outcome {
	case table.Committed:
		s.deleted += rows
		s.r.Stats.Swept.Add(int64(rows))
	case table.Conflict:
		// Another instance sweeps too; the next sweep takes what is left.
	default:
		return errors.Wrapf(res.Err, "once: sweep was %s", res.Outcome)
	}
	return nil
}
