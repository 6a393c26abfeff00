package lease

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// contender is the state of Keeper.Run; only its goroutine uses it.
type contender struct {
	k       *Elector
	jitter  time.Duration
	backoff table.Backoff

	// row is the own row as last read or written, at holds its content.
	row    table.Row
	exists bool
	owner  record

	// since is the end of the first read that showed the row as it is now, and lastRead the end
	// of the latest; both are zero after a gap in store contact.
	since, lastRead time.Time

	// pending holds the start of each write, by nonce, that may have taken effect or still may.
	pending map[string]time.Time
}

// step polls or renews, and returns the time until the next step.
func (c *contender) step(ctx context.Context) time.Duration {
	if _, held := c.k.Held(); held {
		return c.renew(ctx)
	}
	return c.compete(ctx)
}

// compete reads the row and takes the lease if it is due.
func (c *contender) compete(ctx context.Context) time.Duration {
	start := time.Now()
	if !c.read(ctx) {
		return c.k.poll()
	}
	if c.recognise() {
		return c.k.renew()
	}
	if start.Before(c.due()) {
		return min(c.k.poll(), max(time.Until(c.due()), time.Millisecond))
	}
	return c.acquire(ctx)
}

// due is when the lease may be taken if the row stays as it is.
func (c *contender) due() time.Time {
	if !c.exists || c.owner.Holder == "" {
		return c.since.Add(c.jitter)
	}
	return c.since.Add(c.k.ttl() + c.k.margin() + c.jitter)
}

// read reads the own row; false means that the store was not reached.
func (c *contender) read(ctx context.Context) bool {
	row, exists, err := c.fetch(ctx, OwnerKey(c.k.FailureDomain))
	if err != nil {
		c.gap()
		return false
	}
	now := time.Now()
	if !c.lastRead.IsZero() && now.Sub(c.lastRead) > c.maxGap() {
		c.gap()
	}
	c.lastRead = now
	changed := exists != c.exists || row.Version != c.row.Version
	if c.since.IsZero() || changed {
		c.since = c.lastRead
	}
	c.see(row, exists)
	if changed && !c.mine() {
		// The checks of all earlier writes demand an older version.
		clear(c.pending)
	}
	return true
}

// maxGap is the longest time between the ends of two reads of one measurement: the pause and a
// slow read. A longer one means that this instance was paused; the holder may have been kept from
// renewing during that time.
func (c *contender) maxGap() time.Duration {
	return c.k.poll() + callTimeout
}

// gap ends the measurement after a loss of store contact.
func (c *contender) gap() {
	if !c.since.IsZero() {
		c.k.Stats.Gaps.Add(1)
	}
	c.since, c.lastRead = time.Time{}, time.Time{}
}

func (c *contender) fetch(ctx context.Context, key string) (table.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.k.ReadRow(ctx, key)
}

// see notes the own row. A row that can't be decoded counts as held by an unknown holder, so
// that it is taken over after the TTL.
func (c *contender) see(row table.Row, exists bool) {
	c.row, c.exists, c.owner = row, exists, record{}
	if exists && decode(row, &c.owner) != nil {
		c.owner = record{Holder: "unreadable"}
	}
	c.k.observe(c.owner)
}

// recognise adopts the lease if the row was written by an acquisition of this contender whose
// answer was lost.
func (c *contender) recognise() bool {
	if !c.mine() {
		return false
	}
	c.k.Stats.LostAnswers.Add(1)
	c.gained(c.owner, c.row.Version)
	return true
}

// mine reports whether a write of this contender that is still unresolved left the row so.
func (c *contender) mine() bool {
	_, ok := c.pending[c.owner.Nonce]
	return ok && c.exists && c.owner.Holder == c.k.Holder
}

// acquire takes the lease with the next epoch.
func (c *contender) acquire(ctx context.Context) time.Duration {
	epochRow, exists, err := c.fetch(ctx, EpochKey(c.k.FailureDomain))
	if err != nil {
		c.gap()
		return c.k.poll()
	}
	var last epochRecord
	if exists {
		// An unreadable row still has its place in the check; the own row holds the epoch too.
		_ = decode(epochRow, &last)
	}
	next := record{
		Holder:  c.k.Holder,
		Address: c.k.Address,
		Epoch:   max(last.Epoch, c.owner.Epoch) + 1,
		Nonce:   newNonce(),
	}
	c.pending[next.Nonce] = time.Now()
	res := c.commit(ctx, table.Commit{
		Checks: []table.Check{c.check(), {Key: EpochKey(c.k.FailureDomain), Version: epochRow.Version}},
		Puts: []table.Put{
			{Key: OwnerKey(c.k.FailureDomain), Value: encode(next)},
			{Key: EpochKey(c.k.FailureDomain), Value: encode(epochRecord{Epoch: next.Epoch})},
		},
	})
	switch res.Outcome {
	case table.Committed:
		c.gained(next, res.Version)
		return c.k.renew()
	case table.Conflict:
		c.k.Stats.Conflicts.Add(1)
		delete(c.pending, next.Nonce)
		return min(c.k.poll(), c.jitter+time.Millisecond)
	case table.Refused:
		delete(c.pending, next.Nonce)
	}
	c.k.Stats.Failures.Add(1)
	c.gap()
	return c.k.poll()
}

func (c *contender) check() table.Check {
	return table.Check{Key: OwnerKey(c.k.FailureDomain), Version: c.row.Version}
}

func (c *contender) commit(ctx context.Context, tx table.Commit) table.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.k.Commit(ctx, tx)
}

// gained notes an acquisition that took effect with this version.
func (c *contender) gained(own record, version int64) {
	c.wrote(own, version)
	c.backoff.Reset()
	lease := Lease{
		FailureDomain: c.k.FailureDomain,
		Holder:        own.Holder,
		Address:       own.Address,
		Epoch:         own.Epoch,
		EpochVersion:  version,
	}
	c.k.gain(lease)
}

// wrote notes a write that took effect; older writes now fail by their check.
func (c *contender) wrote(own record, version int64) {
	c.row = table.Row{Key: OwnerKey(c.k.FailureDomain), Version: version}
	c.exists = true
	c.owner = own
	clear(c.pending)
}

// renew extends the lease.
func (c *contender) renew(ctx context.Context) time.Duration {
	start := time.Now()
	next := c.owner
	next.Nonce = newNonce()
	c.pending[next.Nonce] = start
	res := c.commit(ctx, table.Commit{
		Checks: []table.Check{c.check()},
		Puts:   []table.Put{{Key: OwnerKey(c.k.FailureDomain), Value: encode(next)}},
	})
	switch res.Outcome {
	case table.Committed:
		c.renewed(next, res.Version, start)
		return max(c.k.renew()-time.Since(start), time.Millisecond)
	case table.Conflict:
		c.k.Stats.Conflicts.Add(1)
		delete(c.pending, next.Nonce)
	case table.Refused:
		c.k.Stats.Failures.Add(1)
		delete(c.pending, next.Nonce)
		return c.backoff.Next()
	default:
		c.k.Stats.Failures.Add(1)
	}
	return c.readBack(ctx, start)
}

func (c *contender) renewed(own record, version int64, start time.Time) {
	c.wrote(own, version)
	c.backoff.Reset()
	c.k.prove(start)
}

// readBack finds out what became of a renewal that conflicted or whose answer was lost.
func (c *contender) readBack(ctx context.Context, start time.Time) time.Duration {
	row, exists, err := c.fetch(ctx, OwnerKey(c.k.FailureDomain))
	if err != nil {
		return c.backoff.Next()
	}
	if exists && row.Version == c.row.Version {
		return c.backoff.Next()
	}
	c.see(row, exists)
	if c.mine() {
		c.k.Stats.LostAnswers.Add(1)
		c.renewed(c.owner, row.Version, c.pending[c.owner.Nonce])
		return max(c.k.renew()-time.Since(start), time.Millisecond)
	}
	c.lost()
	return c.k.poll()
}

// lost gives up the lease because the row names another holder or was removed.
func (c *contender) lost() {
	clear(c.pending)
	c.backoff.Reset()
	c.since = time.Now()
	c.lastRead = c.since
	c.k.lose()
}

// handOver empties the row, so that candidates need not wait for the TTL.
func (c *contender) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	_, held := c.k.Held()
	if held {
		c.k.lose()
	} else if len(c.pending) == 0 {
		return
	}
	backoff := table.Backoff{Max: c.k.renew()}
	for again := !held; ; again = true {
		if again && !c.mayHandOver(ctx) {
			return
		}
		if c.empty(ctx) || !backoff.Sleep(ctx) {
			return
		}
	}
}

// mayHandOver reads the row and reports whether it names this instance. Without an answer the row
// as last seen decides; the check of its version keeps the row of another holder.
func (c *contender) mayHandOver(ctx context.Context) bool {
	row, exists, err := c.fetch(ctx, OwnerKey(c.k.FailureDomain))
	if err == nil {
		c.see(row, exists)
	}
	return c.exists && c.owner.Holder == c.k.Holder
}

// empty writes a row without a holder.
func (c *contender) empty(ctx context.Context) bool {
	next := record{Epoch: c.owner.Epoch, Nonce: newNonce()}
	res := c.commit(ctx, table.Commit{
		Checks: []table.Check{c.check()},
		Puts:   []table.Put{{Key: OwnerKey(c.k.FailureDomain), Value: encode(next)}},
	})
	return res.Outcome == table.Committed
}
