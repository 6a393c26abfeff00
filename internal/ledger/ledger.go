package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Keys and key prefixes of the rows. The part before the slash is the table.
const (
	OwnerKey       = "cell/owner"
	JobPrefix      = "job/"
	ProgressPrefix = "prog/"
	PlacesPrefix   = "exec/"
	EndPrefix      = "end/"
)

const (
	// RenewInterval is the maximum time between two commits of an owner, well below StaleAfter.
	RenewInterval = 150 * time.Millisecond

	// StaleAfter is the age of the owner's row, by the store's clock, at which another instance
	// takes the cell over. It leaves time for two renewals and a slow response.
	StaleAfter = 700 * time.Millisecond

	// shortTerm is the length of a term below which the next owner gets twice the time of StaleAfter,
	// up to maxStaleDoublings times. A takeover is the heaviest work of an owner: where instances or
	// links are too slow for it, each takeover would only cause the next one.
	shortTerm         = 4 * time.Second
	maxStaleDoublings = 3

	// MaxCommitRows limits the puts and deletes of one commit besides the owner's row.
	MaxCommitRows = 98

	// MaxCommitBytes keeps the base64-encoded values of a commit below the store's limit of 1 MB.
	MaxCommitBytes = 600 << 10

	// MaxPageBytes keeps a base64-encoded row below the store's limit of 64 KB.
	MaxPageBytes = 40 << 10

	// firstScanLimit is the number of rows of the first page of a scan, maxScanLimit the maximum. The
	// number changes by scanLimitFactor after a page that took less than quickScan, or more than
	// slowScan. Rows have up to MaxPageBytes.
	firstScanLimit  = 8
	maxScanLimit    = 500
	scanLimitFactor = 4
	quickScan       = 100 * time.Millisecond
	slowScan        = 500 * time.Millisecond

	// maxRefusalTime is how long the store must refuse a commit before it is abandoned; short
	// bursts of too many calls pass sooner.
	maxRefusalTime = 300 * time.Millisecond

	// firstCheckDelay is how long a transaction may take before its outcome is checked by reading
	// the owner's row; a transaction usually takes 12 ms.
	firstCheckDelay = 120 * time.Millisecond

	// checkInterval is the time between two such reads.
	checkInterval = 100 * time.Millisecond

	// checkTimeout is the timeout of such a read; a slow store takes 0.3 s.
	checkTimeout = 600 * time.Millisecond

	// maxPendingReads limits the reads in flight. It exceeds the number that checkTimeout and
	// checkInterval allow.
	maxPendingReads = 8

	// An attempt times out after attemptReadFactor times the duration of a read, but not before
	// minAttemptTimeout. A transaction takes as long as three reads and may have to queue.
	minAttemptTimeout = 100 * time.Millisecond
	attemptReadFactor = 6

	// retryInterval is the time before a commit with an unknown outcome is retried.
	retryInterval = 30 * time.Millisecond
)

// ErrLostOwnership means that another instance owns the cell.
var ErrLostOwnership = errors.New("ledger: another instance owns the cell")

// ErrRefused means that the store has refused a commit for some time. No part of the commit has
// taken effect or will do so later.
var ErrRefused = errors.New("ledger: store refuses commits")

// ErrInvalid means that the store refuses the content of a commit, so that it is useless to repeat it. No part of the
// rows has taken effect or will do so later.
var ErrInvalid = errors.New("ledger: store refuses the content of the commit")

// Page is the result of a scan.
type Page struct {
	Rows []table.Row
	// More is set if further rows follow.
	More bool
	// StoreClock is the store's monotonic clock at the time of the response.
	StoreClock time.Duration
}

// Ledger is one instance's access to the rows of a cell and its view of the owner's row. The
// exported fields must be set before the first call. Acquire, Commit and Resign must not be called
// concurrently.
type Ledger struct {
	Name    string
	Address string
	// Nonce is drawn at random at each start of the process. It keeps a restarted instance from
	// mistaking a row of its former process for its own commit.
	Nonce uint64

	// Send executes one transaction and returns the store's clock. The outcome in the result tells
	// whether the transaction may have taken effect.
	Send func(ctx context.Context, c table.Transaction) (table.Result, time.Duration)

	// Scan reads up to limit rows with the prefix and a key above after, in the order of their keys.
	Scan func(ctx context.Context, prefix, after string, limit int) (Page, error)

	// Now returns the instance's monotonic clock.
	Now func() time.Time

	// Sleep waits between two attempts.
	Sleep func(ctx context.Context, d time.Duration)

	// version is the version of the owner's row as last written or read.
	version int64
	epoch   int64
	// commitNumber numbers the commits of an epoch. All attempts of a commit have the same number.
	commitNumber int64
	// acquired is the store's clock at the last call to Acquire, shortTerms the number of short terms
	// before that.
	acquired   time.Duration
	shortTerms int64
	reading    ClockReading
	samples    []Sample
	// mayTakeEffect is set while an attempt of a commit that was given up since may still take effect, until the
	// version of the owner's row has changed.
	mayTakeEffect bool
}

// estimateStoreClock extrapolates the store's clock from its last response.
func (l *Ledger) estimateStoreClock() time.Duration {
	return l.reading.Clock + l.Now().Sub(l.reading.Received)
}

// History returns what dates the rows of the store. It must not be called during Acquire, Commit or Resign.
func (l *Ledger) History() History {
	return History{Reading: l.reading, Samples: l.samples}
}

// OwnerRow is the owner's row as read from the store.
type OwnerRow struct {
	Record  *wire.OwnerRecord
	Version int64
	// StoreClock is the store's clock at the time of the read.
	StoreClock time.Duration
}

// Age returns the time since the owner renewed the row, by the store's clock.
func (o *OwnerRow) Age() time.Duration {
	return o.StoreClock - time.Duration(o.Record.GetStoreMs())*time.Millisecond
}

// StaleAfter returns the age at which another instance may take the cell over from this holder.
func (o *OwnerRow) StaleAfter() time.Duration {
	return StaleAfter << min(max(o.Record.GetShortTerms(), 0), maxStaleDoublings)
}

// shortTerms returns the number of successive short terms up to and including this one.
func (o *OwnerRow) shortTerms() int64 {
	r := o.Record
	if o.Version == 0 || r.GetAcquiredMs() == 0 || time.Duration(r.GetStoreMs()-r.GetAcquiredMs())*time.Millisecond >= shortTerm {
		return 0
	}
	return r.GetShortTerms() + 1
}

// samples returns the samples in the row, and the row itself as the last one: its holder wrote the store's clock, which
// may have been later, into the row before the transaction.
func (o *OwnerRow) samples() []Sample {
	if o.Version == 0 {
		return nil
	}
	var out []Sample
	clocks := o.Record.GetSampleMs()
	for i, version := range o.Record.GetSampleVersions() {
		if i < len(clocks) {
			out = append(out, Sample{Version: version, Clock: time.Duration(clocks[i]) * time.Millisecond})
		}
	}
	return append(out, Sample{Version: o.Version, Clock: time.Duration(o.Record.GetStoreMs()) * time.Millisecond})
}

// Vacant reports whether no instance owns the cell.
func (o *OwnerRow) Vacant() bool {
	return o.Record.GetHolder() == ""
}

// ReadOwner reads the owner's row. A missing row is returned as version 0 with an empty record.
func (l *Ledger) ReadOwner(ctx context.Context) (*OwnerRow, error) {
	p, err := l.Scan(ctx, OwnerKey, "", 1)
	if err != nil {
		return nil, errors.Wrap(err, "ledger: unable to read the owner's row")
	}
	o := &OwnerRow{Record: &wire.OwnerRecord{}, StoreClock: p.StoreClock}
	if len(p.Rows) == 0 || p.Rows[0].Key != OwnerKey {
		return o, nil
	}
	o.Version = p.Rows[0].Version
	if err := proto.Unmarshal(p.Rows[0].Value, o.Record); err != nil {
		return nil, errors.Wrap(err, "ledger: unable to decode the owner's row")
	}
	return o, nil
}

// Acquire makes this instance the owner if the owner's row is still as given by previous, and
// returns the new epoch. It returns ErrLostOwnership if another instance acquired the cell first.
func (l *Ledger) Acquire(ctx context.Context, previous *OwnerRow) (int64, error) {
	l.version = previous.Version
	l.epoch = previous.Record.GetEpoch() + 1
	l.commitNumber = 0
	l.mayTakeEffect = false
	l.reading = ClockReading{Clock: previous.StoreClock, Received: l.Now()}
	l.acquired, l.shortTerms = previous.StoreClock, previous.shortTerms()
	l.samples = previous.samples()
	if _, err := l.Commit(ctx, nil, nil); err != nil {
		return 0, err
	}
	return l.epoch, nil
}

// Epoch returns the epoch of the last call to Acquire.
func (l *Ledger) Epoch() int64 {
	return l.epoch
}

// Commit writes the rows together with the owner's row. It retries a transaction that gets no
// response until the outcome is known, and returns the time at which the last attempt was sent.
// ErrLostOwnership is final, and after ErrRefused the rows can be committed again. With ErrInvalid the
// ownership is renewed without the rows. Any other error means that ctx has ended and the outcome is
// unknown.
func (l *Ledger) Commit(ctx context.Context, puts []table.Put, deletes []string) (time.Time, error) {
	l.commitNumber++
	sent, err := l.writeOwnerRow(ctx, l.Name, l.Address, puts, deletes)
	if !errors.Is(err, ErrInvalid) || len(puts)+len(deletes) == 0 {
		return sent, err
	}
	// The renewal also changes the version of the owner's row, so that no earlier attempt takes effect later.
	l.commitNumber++
	sent, renewErr := l.writeOwnerRow(ctx, l.Name, l.Address, nil, nil)
	if renewErr != nil {
		return sent, renewErr
	}
	return sent, err
}

// Resign writes the owner's row without a holder, which leaves the cell vacant.
func (l *Ledger) Resign(ctx context.Context) error {
	l.commitNumber++
	_, err := l.writeOwnerRow(ctx, "", "", nil, nil)
	return err
}

func (l *Ledger) writeOwnerRow(ctx context.Context, holder, address string, puts []table.Put, deletes []string) (time.Time, error) {
	row := &wire.OwnerRecord{
		Holder: holder, Address: address, Epoch: l.epoch, Commit: l.commitNumber,
		StoreMs: l.estimateStoreClock().Milliseconds(), Nonce: l.Nonce,
		AcquiredMs: l.acquired.Milliseconds(), ShortTerms: l.shortTerms,
	}
	for _, s := range l.samples {
		row.SampleVersions, row.SampleMs = append(row.SampleVersions, s.Version), append(row.SampleMs, s.Clock.Milliseconds())
	}
	value, err := proto.Marshal(row)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "ledger: unable to encode the owner's row")
	}
	c := table.Transaction{
		Checks:  []table.Check{{Key: OwnerKey, Version: l.version}},
		Puts:    append([]table.Put{{Key: OwnerKey, Value: value}}, puts...),
		Deletes: deletes,
	}
	start := l.Now()
	allRefused := !l.mayTakeEffect
	for {
		sent := l.Now()
		res, clock := l.attempt(ctx, c)
		switch res.Outcome {
		case table.Unknown:
			allRefused = false
		case table.Refused:
			if errors.Is(res.Err, table.ErrInvalid) && len(puts)+len(deletes) > 0 {
				l.mayTakeEffect = !allRefused
				return time.Time{}, errors.Wrapf(ErrInvalid, "commit %d: %v", l.commitNumber, res.Err)
			}
			if allRefused && l.Now().Sub(start) >= maxRefusalTime {
				return time.Time{}, errors.Wrapf(ErrRefused, "commit %d: %v", l.commitNumber, res.Err)
			}
		case table.Committed:
			l.version = res.Version
			l.samples = withSample(l.samples, Sample{Version: l.version, Clock: time.Duration(row.GetStoreMs()) * time.Millisecond})
			l.mayTakeEffect = false
			l.reading = ClockReading{Clock: clock, Sent: sent, Received: l.Now()}
			return sent, nil
		case table.Conflict:
			return l.resolveConflict(ctx, sent)
		}
		if ctx.Err() != nil {
			return time.Time{}, errors.Wrapf(ctx.Err(), "ledger: outcome of commit %d is unknown: %v", l.commitNumber, res.Err)
		}
		l.Sleep(ctx, retryInterval)
	}
}

// sendResult is the result of sending one transaction.
type sendResult struct {
	result table.Result
	clock  time.Duration
}

// attempt executes one transaction. While the response is late it reads the owner's row, which
// shows whether the transaction took effect and how slow the store is. An attempt that takes much
// longer than a read ends with an unknown outcome. Reads without a response do not block further
// reads, so that the recovery of an unresponsive store is noticed at once.
func (l *Ledger) attempt(ctx context.Context, c table.Transaction) (table.Result, time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan sendResult, 1)
	go func() {
		res, clock := l.Send(ctx, c)
		done <- sendResult{res, clock}
	}()
	start := l.Now()
	reads := make(chan readResult, maxPendingReads)
	pendingReads := 0
	timer := time.NewTimer(firstCheckDelay)
	defer timer.Stop()
	for {
		select {
		case a := <-done:
			return a.result, a.clock
		case <-timer.C:
			timer.Reset(checkInterval)
			if pendingReads < maxPendingReads {
				pendingReads++
				go func() { reads <- l.timedRead(ctx) }()
			}
			continue
		case r := <-reads:
			pendingReads--
			switch {
			case r.err == nil && l.isOwnCommit(r.owner):
				return table.Result{Outcome: table.Committed, Version: r.owner.Version}, r.owner.StoreClock
			case r.err == nil && r.owner.Version != l.version:
				return table.Result{Outcome: table.Conflict}, 0
			case l.Now().Sub(start) > max(minAttemptTimeout, attemptReadFactor*r.took), ctx.Err() != nil:
				return table.Result{Outcome: table.Unknown, Err: errors.New("ledger: transaction timed out without a response")}, 0
			}
		}
	}
}

// readResult is the result of one read of the owner's row.
type readResult struct {
	owner *OwnerRow
	took  time.Duration
	err   error
}

func (l *Ledger) timedRead(ctx context.Context) readResult {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	start := l.Now()
	o, err := l.ReadOwner(ctx)
	return readResult{o, l.Now().Sub(start), err}
}

// isOwnCommit reports whether the row was written by the commit in progress.
func (l *Ledger) isOwnCommit(o *OwnerRow) bool {
	r := o.Record
	return r.GetEpoch() == l.epoch && r.GetCommit() == l.commitNumber && r.GetNonce() == l.Nonce
}

// resolveConflict finds the cause of a conflict: either an earlier attempt of the same commit took
// effect, or another instance owns the cell.
func (l *Ledger) resolveConflict(ctx context.Context, sent time.Time) (time.Time, error) {
	for {
		o, err := l.ReadOwner(ctx)
		if err == nil {
			if l.isOwnCommit(o) {
				l.version = o.Version
				l.mayTakeEffect = false
				l.reading = ClockReading{Clock: o.StoreClock, Sent: sent, Received: l.Now()}
				return sent, nil
			}
			return time.Time{}, errors.Wrapf(ErrLostOwnership, "owner of epoch %d is %q", o.Record.GetEpoch(), o.Record.GetHolder())
		}
		if ctx.Err() != nil {
			return time.Time{}, err
		}
		l.Sleep(ctx, retryInterval)
	}
}

// ScanAll reads all rows with the prefix. It reads few rows at a time where a page takes long or does
// not arrive in time, as on a slow network link, and retries until ctx ends.
func (l *Ledger) ScanAll(ctx context.Context, prefix string) ([]table.Row, error) {
	var rows []table.Row
	after := ""
	limit := firstScanLimit
	for {
		start := l.Now()
		p, err := l.Scan(ctx, prefix, after, limit)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil, errors.Wrapf(err, "ledger: unable to read rows with prefix %q", prefix)
		case err != nil:
			limit = max(limit/scanLimitFactor, 1)
			l.Sleep(ctx, retryInterval)
			continue
		case l.Now().Sub(start) < quickScan:
			limit = min(limit*scanLimitFactor, maxScanLimit)
		case l.Now().Sub(start) > slowScan:
			limit = max(limit/scanLimitFactor, 1)
		}
		rows = append(rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return rows, nil
		}
		after = p.Rows[len(p.Rows)-1].Key
	}
}
