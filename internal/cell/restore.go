package cell

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Restore takes over the jobs of earlier owners from their rows.
func (c *Core) Restore(now time.Time, fleetRows, jobRows, progressRows []table.Row) error {
	for _, row := range fleetRows {
		if row.Key != ledger.FleetKey {
			continue
		}
		var r wire.FleetRecord
		if err := proto.Unmarshal(row.Value, &r); err != nil {
			return errors.Wrap(err, "cell: unable to decode the row of the fleet")
		}
		for _, id := range r.GetExecutors() {
			c.used[id] = true
			c.earlier[id] = true
		}
	}
	specs, err := decodeSpecs(jobRows)
	if err != nil {
		return err
	}
	for _, row := range progressRows {
		id := strings.TrimPrefix(row.Key, ledger.ProgressPrefix)
		var kept wire.ProgressRecord
		if err := proto.Unmarshal(row.Value, &kept); err != nil {
			return errors.Wrapf(err, "cell: unable to decode the progress of job %s", id)
		}
		if err := c.restoreJob(now, id, specs[id], &kept); err != nil {
			return err
		}
		delete(specs, id)
	}
	for id, spec := range specs {
		if err := c.restoreJob(now, id, spec, &wire.ProgressRecord{Queue: spec.GetQueue(), State: flow.Pending.String()}); err != nil {
			return err
		}
	}
	if len(c.earlier) == 0 {
		c.unlockEarlier(now)
	}
	return nil
}

func decodeSpecs(rows []table.Row) (map[string]*wire.JobRecord, error) {
	specs := make(map[string]*wire.JobRecord, len(rows))
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key, ledger.JobPrefix)
		spec := &wire.JobRecord{}
		if err := proto.Unmarshal(row.Value, spec); err != nil {
			return nil, errors.Wrapf(err, "cell: unable to decode job %s", id)
		}
		specs[id] = spec
	}
	return specs, nil
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
	j.earlier = true
	c.addSteps(now, j, j.Resume(now))
	if _, more := j.NextDue(); more {
		c.timed[id] = j
	}
	return nil
}
