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

// act is what a holder does in its epoch: it acquires the lease, proves a time, or commits with
// the fence.
type act struct {
	kind   string
	holder string
	epoch  int64
}

// recordedOwner is the state of the model.
type recordedOwner struct {
	holder string
	epoch  int64
}

// ownership says that epochs only increase, and that a holder's proofs and fenced commits take
// effect while no later epoch has begun.
var ownership = porcupine.Model{
	Init: func() any { return recordedOwner{} },
	Step: func(state, input, _ any) (bool, any) {
		now, did := state.(recordedOwner), input.(act)
		if did.kind == "acquire" {
			return did.epoch > now.epoch, recordedOwner{holder: did.holder, epoch: did.epoch}
		}
		return did.holder == now.holder && did.epoch == now.epoch, now
	},
}

// history collects operations with times since its begin.
type history struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
}

func (h *history) add(client int, did act, called time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	call, ended := int64(called.Sub(h.begin)), int64(time.Since(h.begin))
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: did, Call: call, Return: ended})
}

// Guards against two owners at the same time, under lost and late answers, cuts and pauses.
func TestOwnershipIsLinearizable(t *testing.T) {
	total := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			h := contend(t, seed)
			total += len(h.ops)
			res := porcupine.CheckOperationsTimeout(ownership, h.ops, 10*time.Second)
			assert.Assert(t, res == porcupine.Ok, "seed %d: history of %d operations is not linearizable", seed, len(h.ops))
		})
	}
	t.Logf("seeds 0 to 59, %d operations", total)
}

// contend lets five candidates compete for three minutes under random faults.
func contend(t *testing.T, seed uint64) *history {
	t.Helper()
	rng, faults := rand.New(rand.NewPCG(seed, 1)), fake.Random(seed, 50*time.Millisecond)
	var store fake.Table
	var cut atomic.Pointer[string]
	store.Fault = func(call fake.Call) fake.Fault {
		if name := cut.Load(); name != nil && *name == call.Caller {
			return fake.Fault{Drop: true}
		}
		return faults(call)
	}
	h := &history{begin: time.Now()}
	var all []*candidate
	for i := range 5 {
		c := newCandidate(&store, fmt.Sprintf("entry-%d-%d", seed, i))
		record(t, h, c, store.Client(c.Holder), i)
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
		cut.Store(&victim.Holder)
		time.Sleep(length)
		cut.Store(nil)
	}
	time.Sleep(5 * time.Second)
	store.SetFault(nil)
	for _, c := range all {
		c.stop()
	}
	return h
}

// record notes the acquisitions, proofs and fenced commits of a candidate.
func record(t *testing.T, h *history, c *candidate, client *table.Client, id int) {
	var mu sync.Mutex
	attempts := map[string]time.Time{} // first attempt for an epoch, by the value of the epoch row
	inner := c.Commit
	c.Commit = func(ctx context.Context, tx table.Commit) table.Result {
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
		h.add(id, act{kind: "acquire", holder: l.Holder, epoch: l.Epoch}, attempts[fmt.Sprintf(`{"epoch":%d}`, l.Epoch)])
	}
	c.wg.Go(func() {
		var last time.Time
		for n := 0; t.Context().Err() == nil && time.Since(h.begin) < 3*time.Minute; n++ {
			time.Sleep(250 * time.Millisecond)
			l, held := c.Held()
			proven, ok := c.ConfirmedAt()
			if again, _ := c.Held(); !held || !ok || again != l {
				continue
			}
			if proven != last {
				last = proven
				h.add(id, act{kind: "prove", holder: l.Holder, epoch: l.Epoch}, proven)
			}
			if n%4 == 0 {
				fenced(h, id, l, client)
			}
		}
	})
}

// epochOf returns the value that tx gives to the epoch row, if any.
func epochOf(tx table.Commit) string {
	if len(tx.Puts) < 2 {
		return ""
	}
	return string(tx.Puts[1].Value)
}

// fenced commits a row as the recordedOwner of the lease.
func fenced(h *history, id int, l lease.Lease, client *table.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	called := time.Now()
	key := fmt.Sprintf("job/%d/%d", id, called.UnixNano())
	res := client.Commit(ctx, table.Commit{
		Checks: []table.Check{l.FencingCheck(), {Key: key}},
		Puts:   []table.Put{{Key: key}},
	})
	if res.Outcome == table.Committed {
		h.add(id, act{kind: "commit", holder: l.Holder, epoch: l.Epoch}, called)
	}
}
