package ledger_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// store is the platform's store in memory; faults apply to the next transactions.
type store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int64
	now     time.Time
	// lose are transactions that take effect without an answer, delay those that do so later.
	lose, delay int
	// refuse makes all transactions fail for certain; the clock goes on with each.
	refuse bool
	late   []table.Commit
}

func newStore() *store {
	return &store{rows: make(map[string]table.Row), now: time.Unix(100, 0)}
}

func (s *store) apply(c table.Commit) bool {
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

func (s *store) send(_ context.Context, c table.Commit) (table.Result, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(time.Millisecond)
	if s.refuse && s.delay == 0 {
		s.now = s.now.Add(100 * time.Millisecond)
		return table.Result{Outcome: table.Refused}, 0
	}
	if s.delay > 0 {
		s.delay--
		s.late = append(s.late, c)
		return table.Result{Outcome: table.Unknown}, 0
	}
	ok := s.apply(c)
	if s.lose > 0 {
		s.lose--
		return table.Result{Outcome: table.Unknown}, 0
	}
	if !ok {
		return table.Result{Outcome: table.Conflict}, 0
	}
	return table.Result{Outcome: table.Committed, Version: s.version}, s.clock()
}

func (s *store) time() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *store) clock() time.Duration { return s.now.Sub(time.Unix(0, 0)) }

func (s *store) scan(_ context.Context, prefix, after string, limit int) (ledger.Page, error) {
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

func (s *store) ledger(name string, nonce uint64) *ledger.Ledger {
	return &ledger.Ledger{
		Name: name, Address: name + ":1", Nonce: nonce, Send: s.send, Scan: s.scan,
		Now: s.time, Sleep: func(context.Context, time.Duration) {},
	}
}

func take(t *testing.T, l *ledger.Ledger) int64 {
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

func TestLostAnswerIsRecognised(t *testing.T) {
	s := newStore()
	a := s.ledger("a", 1)
	assert.Equal(t, take(t, a), int64(1))
	s.lose = 1
	_, err := a.Commit(t.Context(), put("job/1", "x"), nil)
	assert.NilError(t, err)
	_, err = a.Commit(t.Context(), put("job/2", "y"), nil)
	assert.NilError(t, err)
	assert.Equal(t, string(s.rows["job/2"].Value), "y")
}

// A copy that the store carries out late must not undo what was written after it.
func TestLateCopyHasNoEffect(t *testing.T) {
	s := newStore()
	a := s.ledger("a", 1)
	take(t, a)
	s.delay = 1
	_, err := a.Commit(t.Context(), put("prog/1", "old"), nil)
	assert.NilError(t, err)
	_, err = a.Commit(t.Context(), put("prog/1", "new"), nil)
	assert.NilError(t, err)
	for _, c := range s.late {
		assert.Assert(t, !s.apply(c))
	}
	assert.Equal(t, string(s.rows["prog/1"].Value), "new")
}

func TestDeposedOwnerWritesNothing(t *testing.T) {
	s := newStore()
	a, b := s.ledger("a", 1), s.ledger("b", 2)
	take(t, a)
	assert.Equal(t, take(t, b), int64(2))
	_, err := a.Commit(t.Context(), put("job/1", "x"), nil)
	assert.Assert(t, errors.Is(err, ledger.ErrLostOwnership))
	_, ok := s.rows["job/1"]
	assert.Assert(t, !ok)
}

// A restarted instance of the same name does not take its former life's row for its own commit.
func TestRestartedInstanceIsAnotherOwner(t *testing.T) {
	s := newStore()
	former, next := s.ledger("a", 1), s.ledger("a", 2)
	take(t, former)
	assert.Equal(t, take(t, next), int64(2))
	_, err := former.Commit(t.Context(), nil, nil)
	assert.Assert(t, errors.Is(err, ledger.ErrLostOwnership))
}

func TestRefusedCommitIsGivenUp(t *testing.T) {
	s := newStore()
	a := s.ledger("a", 1)
	take(t, a)
	s.refuse = true
	_, err := a.Commit(t.Context(), put("job/1", "x"), nil)
	assert.Assert(t, errors.Is(err, ledger.ErrRefused))
	s.refuse = false
	_, err = a.Commit(t.Context(), put("job/2", "y"), nil)
	assert.NilError(t, err)
	_, ok := s.rows["job/1"]
	assert.Assert(t, !ok)
}

// After one try without an answer a commit may still take effect, so a refusal does not end it.
func TestRefusalAfterSilenceIsNotCertain(t *testing.T) {
	s := newStore()
	a := s.ledger("a", 1)
	take(t, a)
	s.refuse, s.delay = true, 1
	ctx, cancel := context.WithCancel(t.Context())
	tries := 0
	a.Sleep = func(context.Context, time.Duration) {
		if tries++; tries > 10 {
			cancel()
		}
	}
	_, err := a.Commit(ctx, put("job/1", "x"), nil)
	assert.Assert(t, err != nil && !errors.Is(err, ledger.ErrRefused))
}

func TestAgeIsToldByTheStoresClock(t *testing.T) {
	s := newStore()
	a := s.ledger("a", 1)
	take(t, a)
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

// While the store is silent calls hang; those made after its return are answered, and the commit
// must not wait for the earlier ones.
func TestReturnOfASilentStoreIsNoticed(t *testing.T) {
	s := newStore()
	a := s.ledger("a", 1)
	take(t, a)
	var mu sync.Mutex
	hanging, sends := 3, 0
	hang := func(ctx context.Context, silent bool) {
		if silent {
			<-ctx.Done()
		}
	}
	a.Send = func(ctx context.Context, c table.Commit) (table.Result, time.Duration) {
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
		hanging--
		silent := hanging >= 0
		mu.Unlock()
		if silent {
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
