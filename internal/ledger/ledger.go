package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Keys of the rows; the part before the slash names the table.
const (
	OwnerKey       = "cell/owner"
	JobPrefix      = "job/"
	ProgressPrefix = "prog/"
	EndPrefix      = "end/"
)

const (
	// RenewInterval is the longest time between two commits of an owner, well below StaleAfter.
	RenewInterval = 150 * time.Millisecond

	// StaleAfter is the age of the owner's row, by the store's clock, at which another
	// instance takes the cell over: two renewals and a slow answer.
	StaleAfter = 700 * time.Millisecond

	// MaxCommitRows is how many puts and deletes one commit may hold besides the owner's row.
	MaxCommitRows = 98

	// MaxCommitBytes keeps the values of a commit below the store's limit of 1 MB with base64.
	MaxCommitBytes = 600 << 10

	// MaxPageBytes keeps a row with base64 below the store's limit of 64 KB.
	MaxPageBytes = 40 << 10

	// scanLimit is the number of rows read with one call.
	scanLimit = 500

	// refusedFor is how long the store must refuse a commit before it is given up; a moment of
	// too many calls passes sooner.
	refusedFor = 300 * time.Millisecond

	// firstCheck is how long an answer may take before the owner's row is read; a transaction
	// usually takes 12 ms.
	firstCheck = 120 * time.Millisecond

	// checkPause is the time between two such reads.
	checkPause = 100 * time.Millisecond

	// checkTimeout bounds such a read; a slow store takes 0.3 s.
	checkTimeout = 600 * time.Millisecond

	// maxReads bounds the reads in progress; it is above what checkTimeout and checkPause allow.
	maxReads = 8

	// tryLeast and tryReads, in times of a read, bound one try: a transaction takes as long as
	// three reads, and waits for its turn.
	tryLeast = 100 * time.Millisecond
	tryReads = 6

	// retryPause is the wait before a commit without an answer is repeated.
	retryPause = 30 * time.Millisecond
)

// ErrLostOwnership means that another instance owns the cell.
var ErrLostOwnership = errors.New("ledger: another instance owns the cell")

// ErrRefused means that the store has refused a commit for a while: nothing of it took effect
// or ever will.
var ErrRefused = errors.New("ledger: the store refuses commits")

// Page is the answer to a scan.
type Page struct {
	Rows []table.Row
	// More is set when rows follow.
	More bool
	// StoreClock is the store's steady clock at the time of the answer.
	StoreClock time.Duration
}

// Ledger holds one instance's view of the owner's row. Commit is called by one goroutine at a
// time. Set the exported fields before the first call.
type Ledger struct {
	Name    string
	Address string
	// Nonce is drawn at each start, so that a restarted instance does not take its own row
	// for its own commit.
	Nonce uint64

	// Send makes one transaction; its outcome says whether it may have taken effect.
	Send func(ctx context.Context, c table.Commit) (table.Result, time.Duration)

	// Scan reads rows with a prefix after a key, in order.
	Scan func(ctx context.Context, prefix, after string, limit int) (Page, error)

	// Now is the instance's steady clock.
	Now func() time.Time

	// Sleep waits between two tries.
	Sleep func(ctx context.Context, d time.Duration)

	version int64
	epoch   int64
	commit  int64
	clock   time.Duration
	clockAt time.Time
}

// storeClock estimates the store's clock from its last answer.
func (l *Ledger) storeClock() time.Duration {
	return l.clock + l.Now().Sub(l.clockAt)
}

func (l *Ledger) setClock(d time.Duration) {
	l.clock = d
	l.clockAt = l.Now()
}

// OwnerRow is the owner's row as it was read.
type OwnerRow struct {
	Record  *wire.OwnerRecord
	Version int64
	// StoreClock is the store's clock at the time of reading.
	StoreClock time.Duration
}

// Age returns how long ago the owner renewed the row, by the store's clock.
func (o *OwnerRow) Age() time.Duration {
	return o.StoreClock - time.Duration(o.Record.GetStoreMs())*time.Millisecond
}

// Vacant reports whether nobody owns the cell.
func (o *OwnerRow) Vacant() bool {
	return o.Record.GetHolder() == ""
}

// ReadOwner returns the owner's row; a missing one has version 0 and an empty record.
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

// Acquire makes this instance the owner after the one that was read; ErrDeposed means that
// another instance was first. It returns the epoch.
func (l *Ledger) Acquire(ctx context.Context, from *OwnerRow) (int64, error) {
	l.version = from.Version
	l.epoch = from.Record.GetEpoch() + 1
	l.commit = 0
	l.setClock(from.StoreClock)
	if _, err := l.Commit(ctx, nil, nil); err != nil {
		return 0, err
	}
	return l.epoch, nil
}

// Epoch returns the epoch of the last Take.
func (l *Ledger) Epoch() int64 {
	return l.epoch
}

// Commit writes the rows together with the owner's row, repeating a transaction without an
// answer until its outcome is known. It returns when the successful try was sent. ErrDeposed is
// final, after ErrRefused the rows can be committed again, and any other error means that ctx
// has ended and the outcome is unknown.
func (l *Ledger) Commit(ctx context.Context, puts []table.Put, deletes []string) (time.Time, error) {
	l.commit++
	return l.write(ctx, l.Name, l.Address, puts, deletes)
}

// Resign leaves the cell without an owner.
func (l *Ledger) Resign(ctx context.Context) error {
	l.commit++
	_, err := l.write(ctx, "", "", nil, nil)
	return err
}

func (l *Ledger) write(ctx context.Context, holder, address string, puts []table.Put, deletes []string) (time.Time, error) {
	row := &wire.OwnerRecord{
		Holder: holder, Address: address, Epoch: l.epoch, Commit: l.commit,
		StoreMs: l.storeClock().Milliseconds(), Nonce: l.Nonce,
	}
	value, err := proto.Marshal(row)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "ledger: unable to encode the owner's row")
	}
	c := table.Commit{
		Checks:  []table.Check{{Key: OwnerKey, Version: l.version}},
		Puts:    append([]table.Put{{Key: OwnerKey, Value: value}}, puts...),
		Deletes: deletes,
	}
	begun := l.Now()
	certain := true
	for {
		sent := l.Now()
		res, clock := l.try(ctx, c)
		switch res.Outcome {
		case table.Unknown:
			certain = false
		case table.Refused:
			if certain && l.Now().Sub(begun) >= refusedFor {
				return time.Time{}, errors.Wrapf(ErrRefused, "commit %d: %v", l.commit, res.Err)
			}
		case table.Committed:
			l.version = res.Version
			l.setClock(clock)
			return sent, nil
		case table.Conflict:
			return l.afterConflict(ctx, sent)
		}
		if ctx.Err() != nil {
			return time.Time{}, errors.Wrapf(ctx.Err(), "ledger: commit %d has no known outcome: %v", l.commit, res.Err)
		}
		l.Sleep(ctx, retryPause)
	}
}

// answered is the end of one try.
type answered struct {
	result table.Result
	clock  time.Duration
}

// try makes one transaction. When its answer is late the owner's row tells whether it took
// effect, and how slow the store is; a try that takes much longer than reads do ends as unknown.
// Reads that are not answered do not delay the next ones, so that a store that was silent is
// noticed as soon as it is back.
func (l *Ledger) try(ctx context.Context, c table.Commit) (table.Result, time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan answered, 1)
	go func() {
		res, clock := l.Send(ctx, c)
		done <- answered{res, clock}
	}()
	begun := l.Now()
	reads := make(chan reading, maxReads)
	open := 0
	timer := time.NewTimer(firstCheck)
	defer timer.Stop()
	for {
		select {
		case a := <-done:
			return a.result, a.clock
		case <-timer.C:
			timer.Reset(checkPause)
			if open < maxReads {
				open++
				go func() { reads <- l.timedRead(ctx) }()
			}
			continue
		case r := <-reads:
			open--
			switch {
			case r.err == nil && l.mine(r.owner):
				return table.Result{Outcome: table.Committed, Version: r.owner.Version}, r.owner.StoreClock
			case r.err == nil && r.owner.Version != l.version:
				return table.Result{Outcome: table.Conflict}, 0
			case l.Now().Sub(begun) > max(tryLeast, tryReads*r.took), ctx.Err() != nil:
				return table.Result{Outcome: table.Unknown, Err: errors.New("ledger: transaction without an answer")}, 0
			}
		}
	}
}

// reading is the end of one read of the owner's row.
type reading struct {
	owner *OwnerRow
	took  time.Duration
	err   error
}

func (l *Ledger) timedRead(ctx context.Context) reading {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	begun := l.Now()
	o, err := l.ReadOwner(ctx)
	return reading{o, l.Now().Sub(begun), err}
}

// mine reports whether the row was written by the commit in progress.
func (l *Ledger) mine(o *OwnerRow) bool {
	r := o.Record
	return r.GetEpoch() == l.epoch && r.GetCommit() == l.commit && r.GetNonce() == l.Nonce
}

// afterConflict tells a copy of the same commit that took effect earlier from a new owner.
func (l *Ledger) afterConflict(ctx context.Context, sent time.Time) (time.Time, error) {
	for {
		o, err := l.ReadOwner(ctx)
		if err == nil {
			if l.mine(o) {
				l.version = o.Version
				l.setClock(o.StoreClock)
				return sent, nil
			}
			return time.Time{}, errors.Wrapf(ErrLostOwnership, "epoch %d is held by %q", o.Record.GetEpoch(), o.Record.GetHolder())
		}
		if ctx.Err() != nil {
			return time.Time{}, err
		}
		l.Sleep(ctx, retryPause)
	}
}

// ScanAll returns all rows with the prefix.
func (l *Ledger) ScanAll(ctx context.Context, prefix string) ([]table.Row, error) {
	var rows []table.Row
	after := ""
	for {
		p, err := l.Scan(ctx, prefix, after, scanLimit)
		if err != nil {
			return nil, errors.Wrapf(err, "ledger: unable to read rows %s", prefix)
		}
		rows = append(rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return rows, nil
		}
		after = p.Rows[len(p.Rows)-1].Key
	}
}
