package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// operation is what a holder does in its epoch: it acquires the lease, confirms its ownership by a
// renewal, or commits with the fencing check.
type operation struct {
	kind   string
	holder string
	epoch  int64
}

// modelState is the state of the model.
type modelState struct {
	holder string
	epoch  int64
}

// ownership is the model: epochs only increase, and the confirmations and fenced commits of a holder
// take effect before any later epoch begins.
var ownership = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, input, _ any) (bool, any) {
		current, op := state.(modelState), input.(operation)
		if op.kind == "acquire" {
			return op.epoch > current.epoch, modelState{holder: op.holder, epoch: op.epoch}
		}
		return op.holder == current.holder && op.epoch == current.epoch, current
	},
}

// history collects operations with their times since startedAt.
type history struct {
	mu        sync.Mutex
	startedAt time.Time
	ops       []porcupine.Operation
}

func (h *history) add(client int, op operation, called time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	call, ended := int64(called.Sub(h.startedAt)), int64(time.Since(h.startedAt))
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Return: ended})
}

// There must never be two owners at the same time, even with lost and delayed responses, network
// partitions and pauses.
func TestOwnershipIsLinearizable(t *testing.T) {
	total := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			h := runContention(t, seed)
			total += len(h.ops)
			res := porcupine.CheckOperationsTimeout(ownership, h.ops, 10*time.Second)
			assert.Assert(t, res == porcupine.Ok, "seed %d: history of %d operations is not linearizable", seed, len(h.ops))
		})
	}
	t.Logf("seeds 0 to 59, %d operations", total)
}

// runContention runs five candidates for three minutes under random faults and returns their history.
func runContention(t *testing.T, seed uint64) *history {
	t.Helper()
	rng, faults := rand.New(rand.NewPCG(seed, 1)), fake.Random(seed, 50*time.Millisecond)
	var store fake.Table
	var partitioned atomic.Pointer[string]
	store.Fault = func(call fake.Call) fake.Fault {
		if name := partitioned.Load(); name != nil && *name == call.Caller {
			return fake.Fault{DropRequest: true}
		}
		return faults(call)
	}
	h := &history{startedAt: time.Now()}
	var all []*candidate
	for i := range 5 {
		c := newCandidate(&store, fmt.Sprintf("entry-%d-%d", seed, i))
		recordOperations(t, h, c, store.Client(c.Holder), i)
		all = append(all, c.start(t))
	}
	for range 12 {
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		victim := all[rng.IntN(len(all))]
		for _, c := range all {
			if c.holds() && rng.IntN(3) > 0 {
				victim = c
			}
		}
		length := time.Duration(rng.IntN(12000)) * time.Millisecond
		if rng.IntN(2) == 0 {
			victim.pause()
			time.Sleep(length)
			victim.resume()
			continue
		}
		partitioned.Store(&victim.Holder)
		time.Sleep(length)
		partitioned.Store(nil)
	}
	time.Sleep(5 * time.Second)
	store.SetFault(nil)
	for _, c := range all {
		c.stop()
	}
	return h
}

// recordOperations adds the acquisitions, confirmations and fenced commits of a candidate to h.
func recordOperations(t *testing.T, h *history, c *candidate, client *table.Client, id int) {
	var mu sync.Mutex
	attempts := map[string]time.Time{} // first attempt for an epoch, by the value of the epoch row
	inner := c.Commit
	c.Commit = func(ctx context.Context, tx table.Transaction) table.Result {
		mu.Lock()
		if _, again := attempts[epochOf(tx)]; !again {
			attempts[epochOf(tx)] = time.Now()
		}
		mu.Unlock()
		return inner(ctx, tx)
	}
	c.OnAcquired = func(l lease.Lease) {
		mu.Lock()
		defer mu.Unlock()
		h.add(id, operation{kind: "acquire", holder: l.Holder, epoch: l.Epoch}, attempts[fmt.Sprintf(`{"epoch":%d}`, l.Epoch)])
	}
	c.wg.Go(func() {
		var last time.Time
		for n := 0; t.Context().Err() == nil && time.Since(h.startedAt) < 3*time.Minute; n++ {
			time.Sleep(250 * time.Millisecond)
			l, held := c.Held()
			confirmedAt, ok := c.ConfirmedAt()
			if again, _ := c.Held(); !held || !ok || again != l {
				continue
			}
			if confirmedAt != last {
				last = confirmedAt
				h.add(id, operation{kind: "confirm", holder: l.Holder, epoch: l.Epoch}, confirmedAt)
			}
			if n%4 == 0 {
				commitFenced(h, id, l, client)
			}
		}
	})
}

// epochOf returns the value that tx writes to the epoch row, or "".
func epochOf(tx table.Transaction) string {
	if len(tx.Puts) < 2 {
		return ""
	}
	return string(tx.Puts[1].Value)
}

// commitFenced commits a row with the fencing check of the lease.
func commitFenced(h *history, id int, l lease.Lease, client *table.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	called := time.Now()
	key := fmt.Sprintf("job/%d/%d", id, called.UnixNano())
	res := client.Commit(ctx, table.Transaction{
		Checks: []table.Check{l.FencingCheck(), {Key: key}},
		Puts:   []table.Put{{Key: key}},
	})
	if res.Outcome == table.Committed {
		h.add(id, operation{kind: "commit", holder: l.Holder, epoch: l.Epoch}, called)
	}
}
