package once

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// DefaultResults is how many own recent answers are kept in memory.
	DefaultResults = 4096
	// DefaultResultBytes bounds the bodies of the answers kept in memory.
	DefaultResultBytes = 16 << 20
	// DefaultBacklog bounds the row changes that wait for the store.
	DefaultBacklog = 4096

	// DefaultBacklogBytes bounds the bodies of the answers that wait for the store.
	DefaultBacklogBytes = 16 << 20

	// claimAttempts bounds the tries for a key whose row disappears between insert and read.
	claimAttempts = 3
)

// Register claims keys for non-idempotent requests. Set the fields before the first call. All
// methods may be called concurrently.
type Register struct {
	// Do carries out a write, normally table.Group.Do.
	Do func(context.Context, table.Write) table.Result
	// Row reads a row of the table.
	Row func(ctx context.Context, key string) (table.Row, bool, error)
	// Rows reads a page of rows; only Sweep needs it.
	Rows func(ctx context.Context, prefix, after string, limit int) ([]table.Row, int64, error)
	// PutObject, Object and DeleteObject keep the bodies above InlineBytes.
	PutObject    func(ctx context.Context, name string, b []byte) error
	Object       func(ctx context.Context, name string) ([]byte, bool, error)
	DeleteObject func(ctx context.Context, name string) error

	// Holder is the name of this instance.
	Holder string
	// Now is the clock for the age of rows; nil means time.Now.
	Now func() time.Time

	// Results and ResultBytes bound the own recent answers in memory; 0 means the default.
	Results, ResultBytes int
	// Backlog and BacklogBytes bound the row changes that wait for the store; 0 means the default.
	Backlog, BacklogBytes int

	// Stats counts what the Register did.
	Stats Stats

	mu      sync.Mutex
	entries map[string]*entry
	recent  recent
	backlog backlog
}

// Claim claims a key before its request is sent. Only the verdict Run allows to send it; the
// caller then ends the claim with Finish, Withdraw or Abandon.
func (r *Register) Claim(ctx context.Context, user, key string, bodyHash uint64) (Claim, Verdict) {
	claim, verdict := r.claim(ctx, user, key, bodyHash)
	r.Stats.count(verdict)
	return claim, verdict
}

func (r *Register) claim(ctx context.Context, user, key string, bodyHash uint64) (Claim, Verdict) {
	claim := Claim{User: user, Key: key}
	own, known := r.enter(rowKey(user, key), bodyHash)
	if known {
		return r.repeat(claim, own, bodyHash)
	}
	claim.entry = own
	for range claimAttempts {
		res := r.insert(ctx, own)
		switch res.Outcome {
		case table.Committed:
			own.version = res.Version
			return claim, Run
		case table.Refused:
			r.leave(own)
			return Claim{User: user, Key: key}, Unavailable
		case table.Unknown:
			// The row may exist or still appear. The request is not run, so the row must go.
			r.Stats.UnknownClaims.Add(1)
			r.removeLater(own)
			return Claim{User: user, Key: key}, Unavailable
		}
		answer, verdict, again := r.inspect(ctx, own)
		if verdict == Run {
			return claim, Run
		}
		if !again {
			r.leave(own)
			return Claim{User: user, Key: key, Answer: answer}, verdict
		}
	}
	r.leave(own)
	return Claim{User: user, Key: key}, Unavailable
}

// enter returns what this instance knows of a key; if it knows nothing, a new live entry.
func (r *Register) enter(rowKey string, bodyHash uint64) (*entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.entries[rowKey]; ok {
		return known, true
	}
	if r.entries == nil {
		r.entries = make(map[string]*entry)
	}
	own := &entry{rowKey: rowKey, bodyHash: bodyHash, nonce: uuid.NewString(), done: make(chan struct{})}
	r.entries[rowKey] = own
	return own, false
}

// repeat is the verdict on a key that this instance knows.
func (r *Register) repeat(claim Claim, known *entry, bodyHash uint64) (Claim, Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known.bodyHash != bodyHash {
		return claim, Mismatch
	}
	switch known.state {
	case recorded:
		claim.Answer = known.answer
		return claim, Replay
	case withdrawing:
		return claim, MayHaveRun
	}
	claim.entry = known
	return claim, InProgress
}

func (r *Register) insert(ctx context.Context, own *entry) table.Result {
	value := record{
		State:     stateClaimed,
		Holder:    r.Holder,
		Nonce:     own.nonce,
		BodyHash:  own.bodyHash,
		ClaimedMS: r.now().UnixMilli(),
	}
	return r.Do(ctx, table.Write{
		Checks: []table.Check{{Key: own.rowKey}},
		Puts:   []table.Put{{Key: own.rowKey, Value: value.encode()}},
	})
}

// inspect reads the row that kept a claim from being inserted. The last result is true if the
// row has disappeared, so that the insert may be tried again.
func (r *Register) inspect(ctx context.Context, own *entry) (Answer, Verdict, bool) {
	row, exists, err := r.Row(ctx, own.rowKey)
	if err != nil {
		// The key is taken, so the earlier request may have run.
		return Answer{}, MayHaveRun, false
	}
	if !exists {
		return Answer{}, Unavailable, true
	}
	found, err := decode(row)
	switch {
	case err != nil:
		r.Stats.Unreadable.Add(1)
		return Answer{}, MayHaveRun, false
	case found.Nonce == own.nonce && found.State == stateClaimed:
		own.version = row.Version
		return Answer{}, Run, false
	case found.BodyHash != own.bodyHash:
		return Answer{}, Mismatch, false
	case found.State != stateDone:
		return Answer{}, MayHaveRun, false
	}
	answer, ok := r.load(ctx, own.rowKey, found)
	if !ok {
		return Answer{}, MayHaveRun, false
	}
	return answer, Replay, false
}

// load returns the recorded answer; false means that its body can't be read now.
func (r *Register) load(ctx context.Context, name string, found record) (Answer, bool) {
	answer := Answer{Status: found.Status, ContentType: found.ContentType, Body: found.Body}
	if found.ObjectVersion == 0 {
		return answer, true
	}
	sealed, exists, err := r.Object(ctx, name)
	if err != nil || !exists {
		return Answer{}, false
	}
	body, version, err := table.Open(objectKind, sealed)
	if err != nil || version != found.ObjectVersion {
		r.Stats.Unreadable.Add(1)
		return Answer{}, false
	}
	answer.Body = body
	return answer, true
}

// leave forgets a key, and tells those that wait for it that there is no answer.
func (r *Register) leave(own *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(own)
}

// forget needs r.mu held.
func (r *Register) forget(own *entry) {
	if r.entries[own.rowKey] == own {
		delete(r.entries, own.rowKey)
	}
	own.close()
}

// close needs Register.mu held.
func (e *entry) close() {
	if !e.closed {
		e.closed = true
		close(e.done)
	}
}

func (r *Register) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}
