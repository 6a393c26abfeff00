package lease

import (
	"context"
	"time"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// candidate is the state of Elector.Run. Only the goroutine of Run uses it.
type candidate struct {
	elector *Elector
	jitter  time.Duration
	backoff table.Backoff

	// row is the owner row as last read or written; owner is its decoded value.
	row    table.Row
	exists bool
	owner  ownerRecord

	// unchangedSince is the end of the first read that returned the current version of the row,
	// and lastRead the end of the latest read. Both are zero after contact with the store was lost.
	unchangedSince, lastRead time.Time

	// pending maps the nonce of each write with an unknown outcome to the time it was started.
	// Such a write may already be in the table or may still reach it.
	pending map[string]time.Time
}

// step renews a held lease or campaigns for it, and returns the delay until the next step.
func (c *candidate) step(ctx context.Context) time.Duration {
	if _, held := c.elector.Held(); held {
		return c.renew(ctx)
	}
	return c.campaign(ctx)
}

// campaign reads the owner row and acquires the lease if it is vacant or has expired.
func (c *candidate) campaign(ctx context.Context) time.Duration {
	start := time.Now()
	if !c.readOwner(ctx) {
		return c.elector.pollInterval()
	}
	if c.adoptUnacknowledged() {
		return c.elector.renewInterval()
	}
	if start.Before(c.takeoverTime()) {
		return min(c.elector.pollInterval(), max(time.Until(c.takeoverTime()), time.Millisecond))
	}
	return c.acquire(ctx)
}

// takeoverTime returns when the lease may be acquired if the row does not change until then.
func (c *candidate) takeoverTime() time.Time {
	if !c.exists || c.owner.Holder == "" {
		return c.unchangedSince.Add(c.jitter)
	}
	return c.unchangedSince.Add(c.elector.ttl() + c.elector.takeoverMargin() + c.jitter)
}

// readOwner reads the owner row and reports whether the read succeeded.
func (c *candidate) readOwner(ctx context.Context) bool {
	row, exists, err := c.fetch(ctx, OwnerKey(c.elector.FailureDomain))
	if err != nil {
		c.restartObservation()
		return false
	}
	now := time.Now()
	if !c.lastRead.IsZero() && now.Sub(c.lastRead) > c.maxReadGap() {
		c.restartObservation()
	}
	c.lastRead = now
	changed := exists != c.exists || row.Version != c.row.Version
	if c.unchangedSince.IsZero() || changed {
		c.unchangedSince = c.lastRead
	}
	c.setRow(row, exists)
	if changed && !c.pendingWriteApplied() {
		// All pending writes check for an older version of the row and can no longer succeed.
		clear(c.pending)
	}
	return true
}

// maxReadGap returns the longest time between the ends of two consecutive reads: the poll interval
// and one slow read. After a longer gap this instance must have been paused. The row then does not
// count as unchanged for that time, because the holder may have been unable to renew as well.
func (c *candidate) maxReadGap() time.Duration {
	return c.elector.pollInterval() + callTimeout
}

// restartObservation discards how long the row has been unchanged, because contact with the store
// was lost.
func (c *candidate) restartObservation() {
	if !c.unchangedSince.IsZero() {
		c.elector.Stats.Gaps.Add(1)
	}
	c.unchangedSince, c.lastRead = time.Time{}, time.Time{}
}

func (c *candidate) fetch(ctx context.Context, key string) (table.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.elector.ReadRow(ctx, key)
}

// setRow stores the owner row that was read. A row that can't be decoded counts as held by an
// unknown holder, so that it is taken over after the TTL.
func (c *candidate) setRow(row table.Row, exists bool) {
	c.row, c.exists, c.owner = row, exists, ownerRecord{}
	if exists && decode(row, &c.owner) != nil {
		c.owner = ownerRecord{Holder: "unreadable"}
	}
	c.elector.setObserved(c.owner)
}

// adoptUnacknowledged adopts the lease if the row was written by an acquisition of this candidate
// whose response was lost.
func (c *candidate) adoptUnacknowledged() bool {
	if !c.pendingWriteApplied() {
		return false
	}
	c.elector.Stats.LostAnswers.Add(1)
	c.acquired(c.owner, c.row.Version)
	return true
}

// pendingWriteApplied reports whether the row was written by a pending write of this candidate.
func (c *candidate) pendingWriteApplied() bool {
	_, ok := c.pending[c.owner.Nonce]
	return ok && c.exists && c.owner.Holder == c.elector.Holder
}

// acquire tries to acquire the lease with the next epoch.
func (c *candidate) acquire(ctx context.Context) time.Duration {
	epochRow, exists, err := c.fetch(ctx, EpochKey(c.elector.FailureDomain))
	if err != nil {
		c.restartObservation()
		return c.elector.pollInterval()
	}
	var last epochRecord
	if exists {
		// The check needs only the version of the row, and the owner row also holds the epoch, so
		// a row that can't be decoded does not prevent the acquisition.
		_ = decode(epochRow, &last)
	}
	next := ownerRecord{
		Holder:  c.elector.Holder,
		Address: c.elector.Address,
		Epoch:   max(last.Epoch, c.owner.Epoch) + 1,
		Nonce:   newNonce(),
	}
	c.pending[next.Nonce] = time.Now()
	res := c.commit(ctx, table.Transaction{
		Checks: []table.Check{c.rowCheck(), {Key: EpochKey(c.elector.FailureDomain), Version: epochRow.Version}},
		Puts: []table.Put{
			{Key: OwnerKey(c.elector.FailureDomain), Value: encode(next)},
			{Key: EpochKey(c.elector.FailureDomain), Value: encode(epochRecord{Epoch: next.Epoch})},
		},
	})
	switch res.Outcome {
	case table.Committed:
		c.acquired(next, res.Version)
		return c.elector.renewInterval()
	case table.Conflict:
		c.elector.Stats.Conflicts.Add(1)
		delete(c.pending, next.Nonce)
		return min(c.elector.pollInterval(), c.jitter+time.Millisecond)
	case table.Refused:
		delete(c.pending, next.Nonce)
	}
	c.elector.Stats.Failures.Add(1)
	c.restartObservation()
	return c.elector.pollInterval()
}

func (c *candidate) rowCheck() table.Check {
	return table.Check{Key: OwnerKey(c.elector.FailureDomain), Version: c.row.Version}
}

func (c *candidate) commit(ctx context.Context, tx table.Transaction) table.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.elector.Commit(ctx, tx)
}

// acquired records an acquisition that was committed with this version.
func (c *candidate) acquired(owner ownerRecord, version int64) {
	c.recordWrite(owner, version)
	c.backoff.Reset()
	lease := Lease{
		FailureDomain: c.elector.FailureDomain,
		Holder:        owner.Holder,
		Address:       owner.Address,
		Epoch:         owner.Epoch,
		EpochVersion:  version,
	}
	c.elector.setAcquired(lease)
}

// recordWrite records a committed write. Earlier pending writes now fail their version check.
func (c *candidate) recordWrite(written ownerRecord, version int64) {
	c.row = table.Row{Key: OwnerKey(c.elector.FailureDomain), Version: version}
	c.exists = true
	c.owner = written
	clear(c.pending)
}

// renew extends the lease by writing the owner row with a new nonce.
func (c *candidate) renew(ctx context.Context) time.Duration {
	start := time.Now()
	next := c.owner
	next.Nonce = newNonce()
	c.pending[next.Nonce] = start
	res := c.commit(ctx, table.Transaction{
		Checks: []table.Check{c.rowCheck()},
		Puts:   []table.Put{{Key: OwnerKey(c.elector.FailureDomain), Value: encode(next)}},
	})
	switch res.Outcome {
	case table.Committed:
		c.recordRenewal(next, res.Version, start)
		return max(c.elector.renewInterval()-time.Since(start), time.Millisecond)
	case table.Conflict:
		c.elector.Stats.Conflicts.Add(1)
		delete(c.pending, next.Nonce)
	case table.Refused:
		c.elector.Stats.Failures.Add(1)
		delete(c.pending, next.Nonce)
		return c.backoff.Next()
	default:
		c.elector.Stats.Failures.Add(1)
	}
	return c.resolveRenewal(ctx, start)
}

func (c *candidate) recordRenewal(owner ownerRecord, version int64, start time.Time) {
	c.recordWrite(owner, version)
	c.backoff.Reset()
	c.elector.setConfirmed(start)
}

// resolveRenewal reads the owner row to determine the outcome of a renewal that conflicted or whose
// response was lost.
func (c *candidate) resolveRenewal(ctx context.Context, start time.Time) time.Duration {
	row, exists, err := c.fetch(ctx, OwnerKey(c.elector.FailureDomain))
	if err != nil {
		return c.backoff.Next()
	}
	if exists && row.Version == c.row.Version {
		return c.backoff.Next()
	}
	c.setRow(row, exists)
	if c.pendingWriteApplied() {
		c.elector.Stats.LostAnswers.Add(1)
		c.recordRenewal(c.owner, row.Version, c.pending[c.owner.Nonce])
		return max(c.elector.renewInterval()-time.Since(start), time.Millisecond)
	}
	c.stepDown()
	return c.elector.pollInterval()
}

// stepDown gives up the lease because the row names another holder or was removed.
func (c *candidate) stepDown() {
	clear(c.pending)
	c.backoff.Reset()
	c.unchangedSince = time.Now()
	c.lastRead = c.unchangedSince
	c.elector.setLost()
}

// handOver clears the holder of the row, so that other candidates need not wait for the TTL.
func (c *candidate) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, held := c.elector.Held()
	if held {
		c.elector.setLost()
	} else if len(c.pending) == 0 {
		return
	}
	backoff := table.Backoff{Max: c.elector.renewInterval()}
	for again := !held; ; again = true {
		if again && !c.mayHandOver(ctx) {
			return
		}
		if c.clearOwner(ctx) || !backoff.Sleep(ctx) {
			return
		}
	}
}

// mayHandOver reads the row and reports whether it names this instance. If the read fails, the row
// as last read decides; the version check of the write protects the row of another holder.
func (c *candidate) mayHandOver(ctx context.Context) bool {
	row, exists, err := c.fetch(ctx, OwnerKey(c.elector.FailureDomain))
	if err == nil {
		c.setRow(row, exists)
	}
	return c.exists && c.owner.Holder == c.elector.Holder
}

// clearOwner writes the row without a holder and reports whether the write was committed.
func (c *candidate) clearOwner(ctx context.Context) bool {
	next := ownerRecord{Epoch: c.owner.Epoch, Nonce: newNonce()}
	res := c.commit(ctx, table.Transaction{
		Checks: []table.Check{c.rowCheck()},
		Puts:   []table.Put{{Key: OwnerKey(c.elector.FailureDomain), Value: encode(next)}},
	})
	return res.Outcome == table.Committed
}
