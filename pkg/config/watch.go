package config

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// DefaultPollInterval is the interval at which conf/head is read. Together with the revisions
	// that peers announce, it keeps the propagation of a publication well within 4 s.
	DefaultPollInterval = time.Second

	// maxLogReads is the largest number of log rows that are read one by one. A replica that is
	// further behind reads all documents.
	maxLogReads = 64

	// maxFullReadAttempts limits how often all documents are read again because a publication was
	// committed meanwhile.
	maxFullReadAttempts = 8
)

// Watcher keeps a replica up to date from the table and from peers. All fields must be set before
// Run, except PollInterval, which defaults to DefaultPollInterval.
type Watcher struct {
	Replica  *Replica
	ReadRow  func(ctx context.Context, key string) (table.Row, bool, error)
	ScanRows func(ctx context.Context, prefix string) ([]table.Row, int64, error)

	// FetchUpdate requests the changes after a revision from a peer.
	FetchUpdate func(ctx context.Context, address string, after int64) (Update, error)

	// Peers returns the addresses of the peers that are asked while the replica is not ready and
	// the table cannot be read.
	Peers func() []string

	PollInterval time.Duration

	peerRevisions chan peerRevision
}

// peerRevision is a revision announced by a peer.
type peerRevision struct {
	address  string
	revision int64
}

// maxPendingPeerRevisions is the capacity of the queue of announced revisions. When it is full they
// are dropped; the peer's next heartbeat announces its revision again.
const maxPendingPeerRevisions = 64

// Init prepares the watcher. It must be called before OnPeerRevision and Run.
func (w *Watcher) Init() {
	w.peerRevisions = make(chan peerRevision, maxPendingPeerRevisions)
	if w.PollInterval == 0 {
		w.PollInterval = DefaultPollInterval
	}
}

// OnPeerRevision tells the watcher which revision the peer at address has. It never blocks.
func (w *Watcher) OnPeerRevision(address string, revision int64) {
	if revision <= w.Replica.Current().Revision {
		return
	}
	select {
	case w.peerRevisions <- peerRevision{address, revision}:
	default:
	}
}

// Run keeps the replica up to date until ctx is done. Revisions announced by peers are handled in a
// goroutine of their own, because a table that does not respond blocks each poll until its timeout.
func (w *Watcher) Run(ctx context.Context) error {
	var handler sync.WaitGroup
	defer handler.Wait()
	handler.Go(func() { w.followPeers(ctx) })
	ticker := time.NewTicker(w.PollInterval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (w *Watcher) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case announced := <-w.peerRevisions:
			w.followPeer(ctx, announced)
		}
	}
}

func (w *Watcher) followPeer(ctx context.Context, announced peerRevision) {
	after := w.Replica.Current().Revision
	// A replica that is not ready takes the newest revision of all peers instead, see
	// bootstrapFromPeers: this peer may be behind the others.
	if announced.revision <= after || !w.Replica.Ready() {
		return
	}
	if update, err := w.fetchFromPeer(ctx, announced.address, after); err == nil {
		w.Replica.Apply(update)
	}
}

func (w *Watcher) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, 2*w.PollInterval)
	defer cancel()
	if err := w.pollTable(pollCtx); err == nil || w.Replica.Ready() {
		return
	}
	w.bootstrapFromPeers(ctx)
}

// bootstrapFromPeers applies the newest revision that any reachable peer has. It asks all peers
// concurrently, so that unresponsive peers delay it by one timeout at most.
func (w *Watcher) bootstrapFromPeers(ctx context.Context) {
	addresses := w.Peers()
	updates := make([]Update, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			if update, err := w.fetchFromPeer(ctx, address, -1); err == nil {
				updates[i] = update
			}
		})
	}
	calls.Wait()
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, update := range updates {
		w.Replica.Apply(update) // ignores all but the newest
	}
}

// fetchFromPeer requests an update from one peer, with a timeout.
func (w *Watcher) fetchFromPeer(ctx context.Context, address string, after int64) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*w.PollInterval)
	defer cancel()
	return w.FetchUpdate(ctx, address, after)
}

func (w *Watcher) pollTable(ctx context.Context) error {
	head, _, err := readHead(ctx, w.ReadRow)
	if err != nil {
		return err
	}
	current := w.Replica.Current().Revision
	if w.Replica.Ready() && head.Revision <= current {
		return nil
	}
	if w.Replica.Ready() && head.Revision-current <= maxLogReads {
		if err := w.readLog(ctx, current, head.Revision); err == nil {
			return nil
		}
	}
	return w.readFull(ctx)
}

func (w *Watcher) readLog(ctx context.Context, after, last int64) error {
	for revision := after + 1; revision <= last; revision++ {
		row, found, err := w.ReadRow(ctx, logKey(revision))
		if err != nil {
			return errors.Wrap(err, "config: unable to read changes")
		}
		if !found {
			return errors.Newf("config: changes of revision %d are not kept", revision)
		}
		var changes []Change
		if err := json.Unmarshal(row.Value, &changes); err != nil {
			return errors.Wrapf(err, "config: unable to decode changes of revision %d", revision)
		}
		w.Replica.Apply(Update{Revision: revision, Changes: changes})
	}
	return nil
}

// readFull reads all documents. Because it takes several reads, it compares the head before and
// after, and reads again if a publication was committed in between.
func (w *Watcher) readFull(ctx context.Context) error {
	for range maxFullReadAttempts {
		before, _, err := readHead(ctx, w.ReadRow)
		if err != nil {
			return err
		}
		rows, _, err := w.ScanRows(ctx, docPrefix)
		if err != nil {
			return errors.Wrap(err, "config: unable to read documents")
		}
		after, _, err := readHead(ctx, w.ReadRow)
		if err != nil {
			return err
		}
		if before.Revision != after.Revision {
			continue
		}
		update, err := fullUpdate(before.Revision, rows)
		if err != nil {
			return err
		}
		w.Replica.Apply(update)
		return nil
	}
	return errors.New("config: publications kept changing the documents while they were read")
}

func fullUpdate(revision int64, rows []table.Row) (Update, error) {
	update := Update{Revision: revision, Full: true}
	for _, row := range rows {
		var doc VersionedDocument
		if err := json.Unmarshal(row.Value, &doc); err != nil {
			return update, errors.Wrapf(err, "config: unable to decode document %s", strings.TrimPrefix(row.Key, docPrefix))
		}
		update.Changes = append(update.Changes, Change{VersionedDocument: doc, Revision: revision})
	}
	return update, nil
}
