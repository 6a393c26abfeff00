package ledger_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// fakeStore is an in-memory store of the platform. Faults apply to the next transactions.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int64
	now     time.Time
	// lostResponses is the number of transactions that take effect but get no response, and
	// delayedCommits the number of those that get no response and are added to pending.
	lostResponses, delayedCommits int
	// refuse makes the store refuse all transactions; the clock advances with each of them.
	refuse bool
	// invalid makes the store refuse the content of transactions with a row of this key.
	invalid string
	pending []table.Transaction
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[string]table.Row), now: time.Unix(100, 0)}
}

func (s *fakeStore) apply(c table.Transaction) bool {
	for _, check := range c.Checks {
		if s.rows[check.Key].Version != check.Version {
			return false
		}
	}
	s.version++
	for _, p := range c.Puts {
		s.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, key := range c.Deletes {
		delete(s.rows, key)
	}
	return true
}

func (s *fakeStore) send(_ context.Context, c table.Transaction) (table.Result, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(time.Millisecond)
	if s.refuse && s.delayedCommits == 0 {
		s.now = s.now.Add(100 * time.Millisecond)
		return table.Result{Outcome: table.Refused}, 0
	}
	if s.delayedCommits == 0 && slices.ContainsFunc(c.Puts, func(p table.Put) bool { return p.Key == s.invalid }) {
		return table.Result{Outcome: table.Refused, Err: table.ErrInvalid}, 0
	}
	if s.delayedCommits > 0 {
		s.delayedCommits--
		s.pending = append(s.pending, c)
		return table.Result{Outcome: table.Unknown}, 0
	}
	ok := s.apply(c)
	if s.lostResponses > 0 {
		s.lostResponses--
		return table.Result{Outcome: table.Unknown}, 0
	}
	if !ok {
		return table.Result{Outcome: table.Conflict}, 0
	}
	return table.Result{Outcome: table.Committed, Version: s.version}, s.clock()
}

func (s *fakeStore) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

func (s *fakeStore) time() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *fakeStore) clock() time.Duration { return s.now.Sub(time.Unix(0, 0)) }

func (s *fakeStore) scan(_ context.Context, prefix, after string, limit int) (ledger.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := ledger.Page{StoreClock: s.clock()}
	for key, r := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after && len(p.Rows) < limit {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

func (s *fakeStore) ledger(name string, nonce uint64) *ledger.Ledger {
	return &ledger.Ledger{
		Name: name, Address: name + ":1", Nonce: nonce, Send: s.send, Scan: s.scan,
		Now: s.time, Sleep: func(context.Context, time.Duration) {},
	}
}

func acquire(t *testing.T, l *ledger.Ledger) int64 {
	t.Helper()
	o, err := l.ReadOwner(t.Context())
	assert.NilError(t, err)
	epoch, err := l.Acquire(t.Context(), o)
	assert.NilError(t, err)
	return epoch
}

func put(key, value string) []table.Put {
	return []table.Put{{Key: key, Value: []byte(value)}}
}

func TestCommitSucceedsWhenResponseIsLost(t *testing.T) {
	s := newFakeStore()
	a := s.ledger("a", 1)
	assert.Equal(t, acquire(t, a), int64(1))
	s.lostResponses = 1
	_, err := a.Commit(t.Context(), put("job/1", "x"), nil)
	assert.NilError(t, err)
	_, err = a.Commit(t.Context(), put("job/2", "y"), nil)
	assert.NilError(t, err)
	assert.Equal(t, string(s.rows["job/2"].Value), "y")
}

// Guards against lost updates: an attempt that the store applies only after its retry must not
// overwrite later commits.
func TestDelayedAttemptHasNoEffect(t *testing.T) {
	s := newFakeStore()
	a := s.ledger("a", 1)
	acquire(t, a)
	s.delayedCommits = 1
	_, err := a.Commit(t.Context(), put("prog/1", "old"), nil)
	assert.NilError(t, err)
	_, err = a.Commit(t.Context(), put("prog/1", "new"), nil)
	assert.NilError(t, err)
	for _, c := range s.pending {
		assert.Assert(t, !s.apply(c))
	}
	assert.Equal(t, string(s.rows["prog/1"].Value), "new")
}

func TestCommitOfFormerOwnerHasNoEffect(t *testing.T) {
	s := newFakeStore()
	a, b := s.ledger("a", 1), s.ledger("b", 2)
	acquire(t, a)
	assert.Equal(t, acquire(t, b), int64(2))
	_, err := a.Commit(t.Context(), put("job/1", "x"), nil)
	assert.Assert(t, errors.Is(err, ledger.ErrLostOwnership))
	_, ok := s.rows["job/1"]
	assert.Assert(t, !ok)
}

// Guards against two owners with the same name: after a restart of an instance, its former process
// must not take the row of the new one for its own commit.
func TestRestartedInstanceIsAnotherOwner(t *testing.T) {
	s := newFakeStore()
	former, restarted := s.ledger("a", 1), s.ledger("a", 2)
	acquire(t, former)
	assert.Equal(t, acquire(t, restarted), int64(2))
	_, err := former.Commit(t.Context(), nil, nil)
	assert.Assert(t, errors.Is(err, ledger.ErrLostOwnership))
}

func TestCommitReturnsWhenStoreRefuses(t *testing.T) {
	s := newFakeStore()
	a := s.ledger("a", 1)
	acquire(t, a)
	s.refuse = true
	_, err := a.Commit(t.Context(), put("job/1", "x"), nil)
	assert.Assert(t, errors.Is(err, ledger.ErrRefused))
	s.refuse = false
	_, err = a.Commit(t.Context(), put("job/2", "y"), nil)
	assert.NilError(t, err)
	_, ok := s.rows["job/1"]
	assert.Assert(t, !ok)
}

// Guards against a commit that is reported as refused but takes effect later: an attempt without a
// response may still be applied, even if all later attempts are refused.
func TestRefusalAfterLostResponseIsNotFinal(t *testing.T) {
	s := newFakeStore()
	a := s.ledger("a", 1)
	acquire(t, a)
	s.refuse, s.delayedCommits = true, 1
	ctx, cancel := context.WithCancel(t.Context())
	attempts := 0
	a.Sleep = func(context.Context, time.Duration) {
		if attempts++; attempts > 10 {
			cancel()
		}
	}
	_, err := a.Commit(ctx, put("job/1", "x"), nil)
	assert.Assert(t, err != nil && !errors.Is(err, ledger.ErrRefused))
}

// Guards against an owner that loses the cell because of what one commit contains: the ownership is renewed without
// the rows, and no attempt to write them takes effect afterwards.
func TestInvalidCommitRenewsOwnership(t *testing.T) {
	for _, unknownAttempts := range []int{0, 2} {
		s := newFakeStore()
		a := s.ledger("a", 1)
		acquire(t, a)
		s.invalid, s.delayedCommits = "job/1", unknownAttempts
		before := s.time()
		sent, err := a.Commit(t.Context(), put("job/1", "x"), nil)
		assert.Assert(t, errors.Is(err, ledger.ErrInvalid), "%v", err)
		assert.Assert(t, sent.After(before))
		owner, err := a.ReadOwner(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, owner.Record.GetCommit(), int64(3))
		for _, c := range s.pending {
			assert.Assert(t, !s.apply(c), "an earlier attempt took effect")
		}
		_, err = a.Commit(t.Context(), put("job/2", "y"), nil)
		assert.NilError(t, err)
		_, ok := s.rows["job/1"]
		assert.Assert(t, !ok)
	}
}

func TestAgeUsesStoreClock(t *testing.T) {
	s := newFakeStore()
	a := s.ledger("a", 1)
	acquire(t, a)
	s.now = s.now.Add(300 * time.Millisecond)
	_, err := a.Commit(t.Context(), nil, nil)
	assert.NilError(t, err)
	s.now = s.now.Add(200 * time.Millisecond)
	o, err := s.ledger("b", 2).ReadOwner(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, o.Age().Round(10*time.Millisecond), 200*time.Millisecond)
	assert.NilError(t, a.Resign(t.Context()))
	o, err = s.ledger("b", 2).ReadOwner(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, o.Vacant())
}

// Guards against a commit that stays blocked after an outage of the store: calls made during the
// outage hang, and the commit must not wait for them once later calls are answered.
func TestCommitContinuesAfterStoreRecovers(t *testing.T) {
	s := newFakeStore()
	a := s.ledger("a", 1)
	acquire(t, a)
	var mu sync.Mutex
	hangingReads, sends := 3, 0
	hang := func(ctx context.Context, blocked bool) {
		if blocked {
			<-ctx.Done()
		}
	}
	a.Send = func(ctx context.Context, c table.Transaction) (table.Result, time.Duration) {
		mu.Lock()
		sends++
		first := sends == 1
		mu.Unlock()
		hang(ctx, first)
		if first {
			return table.Result{Outcome: table.Unknown}, 0
		}
		return s.send(ctx, c)
	}
	a.Scan = func(ctx context.Context, prefix, after string, limit int) (ledger.Page, error) {
		mu.Lock()
		hangingReads--
		blocked := hangingReads >= 0
		mu.Unlock()
		if blocked {
			<-t.Context().Done()
			return ledger.Page{}, t.Context().Err()
		}
		return s.scan(ctx, prefix, after, limit)
	}
	a.Now = time.Now
	_, err := a.Commit(t.Context(), put("job/1", "x"), nil)
	assert.NilError(t, err)
	assert.Equal(t, sends, 2)
	assert.Equal(t, string(s.rows["job/1"].Value), "x")
}

// While terms are short, each next owner gets more time, so that a takeover that is too heavy for the
// instances does not cause the next one for ever. A long term ends that.
func TestShortTermsGiveTheNextOwnerMoreTime(t *testing.T) {
	s := newFakeStore()
	names := []string{"a", "b", "c", "d", "e", "f"}
	var stale []time.Duration
	term := func(i int, length time.Duration) {
		l := s.ledger(names[i], uint64(i))
		row, err := l.ReadOwner(t.Context())
		assert.NilError(t, err)
		_, err = l.Acquire(t.Context(), row)
		assert.NilError(t, err)
		s.advance(length)
		_, err = l.Commit(t.Context(), nil, nil)
		assert.NilError(t, err)
		row, err = l.ReadOwner(t.Context())
		assert.NilError(t, err)
		stale = append(stale, row.StaleAfter())
	}
	for i := range 5 {
		term(i, time.Second)
	}
	term(5, 10*time.Second)
	term(0, time.Second)
	const d = ledger.StaleAfter
	assert.DeepEqual(t, stale, []time.Duration{d, 2 * d, 4 * d, 8 * d, 8 * d, 8 * d, d})
}

// On a slow network link a page of many rows does not arrive before its timeout. The rows must be read
// all the same, in smaller pages; otherwise no instance could ever take the cell over again.
func TestScanAllOnSlowLink(t *testing.T) {
	for _, most := range []int{1, 3, 20, 400} {
		s := newFakeStore()
		const rows = 300
		for i := range rows {
			key := fmt.Sprintf("%s%04d", ledger.JobPrefix, i)
			s.rows[key] = table.Row{Key: key}
		}
		l := s.ledger("a", 1)
		l.Scan = func(_ context.Context, prefix, after string, limit int) (ledger.Page, error) {
			if limit > most {
				return ledger.Page{}, context.DeadlineExceeded
			}
			keys := slices.Sorted(maps.Keys(s.rows))
			p := ledger.Page{}
			for _, key := range keys {
				if strings.HasPrefix(key, prefix) && key > after {
					p.More = len(p.Rows) == limit
					if p.More {
						break
					}
					p.Rows = append(p.Rows, s.rows[key])
				}
			}
			return p, nil
		}
		got, err := l.ScanAll(t.Context(), ledger.JobPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(got), rows, "pages of %d rows", most)
	}
}

// A scan ends with its context while the store does not respond.
func TestScanAllEndsWithContext(t *testing.T) {
	l := newFakeStore().ledger("a", 1)
	ctx, cancel := context.WithCancel(t.Context())
	tries := 0
	l.Scan = func(context.Context, string, string, int) (ledger.Page, error) {
		if tries++; tries == 5 {
			cancel()
		}
		return ledger.Page{}, context.DeadlineExceeded
	}
	_, err := l.ScanAll(ctx, ledger.JobPrefix)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, tries, 5)
}
