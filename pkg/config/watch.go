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
	// DefaultPollInterval is the interval at which conf/head is read. Together with the revisions that
	// peers announce, it keeps the propagation of a publication well within 4 s.
	DefaultPollInterval = time.Second

	// maxLogReads bounds the log rows read one by one; further behind, all
	// documents are read.
	maxLogReads = 64

	// wholeTries bounds the readings of all documents during publications.
	wholeTries = 8
)

// Watcher follows the revisions of the table and of peers; set the fields before Run.
type Watcher struct {
	Replica  *Replica
	ReadRow  func(ctx context.Context, key string) (table.Row, bool, error)
	ScanRows func(ctx context.Context, prefix string) ([]table.Row, int64, error)

	// FetchUpdate requests the changes after a revision from a peer.
	FetchUpdate func(ctx context.Context, address string, after int64) (Update, error)

	// Peers returns the addresses to ask while no revision is in force.
	Peers func() []string

	PollInterval time.Duration

	notices chan notice
}

type notice struct {
	address  string
	revision int64
}

// maxNotices bounds the waiting notices; a lost one is made good by the next heartbeat.
const maxNotices = 64

// Init prepares the watcher for notices that arrive before Run.
func (w *Watcher) Init() {
	w.notices = make(chan notice, maxNotices)
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
	case w.notices <- notice{address, revision}:
	default:
	}
}

// Run follows the revisions until ctx ends. Notices have a goroutine of their own: a table that
// does not answer takes the whole time limit of each poll.
func (w *Watcher) Run(ctx context.Context) error {
	var notices sync.WaitGroup
	defer notices.Wait()
	notices.Go(func() { w.followAll(ctx) })
	tick := time.NewTicker(w.PollInterval)
	defer tick.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (w *Watcher) followAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-w.notices:
			w.follow(ctx, n)
		}
	}
}

func (w *Watcher) follow(ctx context.Context, n notice) {
	after := w.Replica.Current().Revision
	// A starting instance asks all peers, since this one may be behind the others.
	if n.revision <= after || !w.Replica.Ready() {
		return
	}
	if page, err := w.fetch(ctx, n.address, after); err == nil {
		w.Replica.Apply(page)
	}
}

func (w *Watcher) poll(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, 2*w.PollInterval)
	defer cancel()
	if err := w.pollTable(bounded); err == nil || w.Replica.Ready() {
		return
	}
	w.start(ctx)
}

// start takes the newest revision that a reachable peer holds. It asks all peers at the same
// time, so that a silent one delays the others by one time limit at most.
func (w *Watcher) start(ctx context.Context) {
	addresses := w.Peers()
	pages := make([]Update, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			if page, err := w.fetch(ctx, address, -1); err == nil {
				pages[i] = page
			}
		})
	}
	calls.Wait()
	slices.SortFunc(pages, func(a, b Update) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, page := range pages {
		w.Replica.Apply(page) // refuses the pages after the newest
	}
}

// fetch asks one peer, within a time limit of its own.
func (w *Watcher) fetch(ctx context.Context, address string, after int64) (Update, error) {
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
	return w.readWhole(ctx)
}

func (w *Watcher) readLog(ctx context.Context, after, until int64) error {
	for revision := after + 1; revision <= until; revision++ {
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

// readWhole reads all documents; the head read before and after must be the
// same, since the rows come in several reads.
func (w *Watcher) readWhole(ctx context.Context) error {
	for range wholeTries {
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
		page, err := pageOf(before.Revision, rows)
		if err != nil {
			return err
		}
		w.Replica.Apply(page)
		return nil
	}
	return errors.New("config: publications kept changing the documents while they were read")
}

func pageOf(revision int64, rows []table.Row) (Update, error) {
	page := Update{Revision: revision, Full: true}
	for _, row := range rows {
		var e VersionedDocument
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return page, errors.Wrapf(err, "config: unable to decode document %s", strings.TrimPrefix(row.Key, docPrefix))
		}
		page.Changes = append(page.Changes, Change{VersionedDocument: e, Revision: revision})
	}
	return page, nil
}
