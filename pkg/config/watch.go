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
	// DefaultPoll is the interval of reads of conf/head: with a peer's notice it
	// keeps a change well within 4 s.
	DefaultPoll = time.Second

	// maxLogReads bounds the log rows read one by one; further behind, all
	// documents are read.
	maxLogReads = 64

	// wholeTries bounds the readings of all documents during publications.
	wholeTries = 8
)

// Watcher follows the revisions of the table and of peers; set the fields before Run.
type Watcher struct {
	Holder *Holder
	Row    func(ctx context.Context, key string) (table.Row, bool, error)
	All    func(ctx context.Context, prefix string) ([]table.Row, int64, error)

	// Fetch gets the changes after a revision from a peer.
	Fetch func(ctx context.Context, address string, after int64) (Page, error)

	// Peers returns the addresses to ask while no revision is in force.
	Peers func() []string

	Poll time.Duration

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
	if w.Poll == 0 {
		w.Poll = DefaultPoll
	}
}

// Notice tells that the peer at address holds a revision; it never waits.
func (w *Watcher) Notice(address string, revision int64) {
	if revision <= w.Holder.Current().Revision {
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
	tick := time.NewTicker(w.Poll)
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
	after := w.Holder.Current().Revision
	// A starting instance asks all peers, since this one may be behind the others.
	if n.revision <= after || !w.Holder.Ready() {
		return
	}
	if page, err := w.fetch(ctx, n.address, after); err == nil {
		w.Holder.Apply(page)
	}
}

func (w *Watcher) poll(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, 2*w.Poll)
	defer cancel()
	if err := w.pollTable(bounded); err == nil || w.Holder.Ready() {
		return
	}
	w.start(ctx)
}

// start takes the newest revision that a reachable peer holds. It asks all peers at the same
// time, so that a silent one delays the others by one time limit at most.
func (w *Watcher) start(ctx context.Context) {
	addresses := w.Peers()
	pages := make([]Page, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			if page, err := w.fetch(ctx, address, -1); err == nil {
				pages[i] = page
			}
		})
	}
	calls.Wait()
	slices.SortFunc(pages, func(a, b Page) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, page := range pages {
		w.Holder.Apply(page) // refuses the pages after the newest
	}
}

// fetch asks one peer, within a time limit of its own.
func (w *Watcher) fetch(ctx context.Context, address string, after int64) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*w.Poll)
	defer cancel()
	return w.Fetch(ctx, address, after)
}

func (w *Watcher) pollTable(ctx context.Context) error {
	head, _, err := readHead(ctx, w.Row)
	if err != nil {
		return err
	}
	current := w.Holder.Current().Revision
	if w.Holder.Ready() && head.Revision <= current {
		return nil
	}
	if w.Holder.Ready() && head.Revision-current <= maxLogReads {
		if err := w.readLog(ctx, current, head.Revision); err == nil {
			return nil
		}
	}
	return w.readWhole(ctx)
}

func (w *Watcher) readLog(ctx context.Context, after, until int64) error {
	for revision := after + 1; revision <= until; revision++ {
		row, found, err := w.Row(ctx, logKey(revision))
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
		w.Holder.Apply(Page{Revision: revision, Changes: changes})
	}
	return nil
}

// readWhole reads all documents; the head read before and after must be the
// same, since the rows come in several reads.
func (w *Watcher) readWhole(ctx context.Context) error {
	for range wholeTries {
		before, _, err := readHead(ctx, w.Row)
		if err != nil {
			return err
		}
		rows, _, err := w.All(ctx, docPrefix)
		if err != nil {
			return errors.Wrap(err, "config: unable to read documents")
		}
		after, _, err := readHead(ctx, w.Row)
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
		w.Holder.Apply(page)
		return nil
	}
	return errors.New("config: publications kept changing the documents while they were read")
}

func pageOf(revision int64, rows []table.Row) (Page, error) {
	page := Page{Revision: revision, Whole: true}
	for _, row := range rows {
		var e Entry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return page, errors.Wrapf(err, "config: unable to decode document %s", strings.TrimPrefix(row.Key, docPrefix))
		}
		page.Changes = append(page.Changes, Change{Entry: e, Revision: revision})
	}
	return page, nil
}
