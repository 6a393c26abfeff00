package once_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// act is a call for a key: claim, finish with an answer, or withdraw.
type act struct {
	kind, key string
	answer    int
}

// outcome is what a claim returned.
type outcome struct {
	verdict once.ClaimResult
	answer  int
}

// keyState is the state of a key in the model.
type keyState struct {
	taken  bool
	answer int
}

// atMostOnce says that a key runs again only after it was withdrawn, and that its answer is
// the one of its run. MayHaveRun and Unavailable are always allowed, because a claim whose
// outcome was lost can leave a row for some time.
var atMostOnce = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(act).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		now, did := state.(keyState), input.(act)
		switch did.kind {
		case "finish":
			return now.taken && now.answer == 0, keyState{taken: true, answer: did.answer}
		case "withdraw":
			return now.taken && now.answer == 0, keyState{}
		}
		got := output.(outcome)
		switch got.verdict {
		case once.Run:
			return !now.taken, keyState{taken: true}
		case once.Replay:
			return now.answer != 0 && now.answer == got.answer, now
		}
		return true, now
	},
}

// Guards against a second run (I5) and a foreign or changed answer, with repeats on three
// instances under lost, late and refused writes, and restarts of instances.
func TestClaimsAreLinearizable(t *testing.T) {
	total, runs := 0, 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			ops := compete(t, seed)
			total += len(ops)
			for _, op := range ops {
				if got, ok := op.Output.(outcome); ok && got.verdict == once.Run {
					runs++
				}
			}
			res := porcupine.CheckOperationsTimeout(atMostOnce, ops, 10*time.Second)
			assert.Assert(t, res == porcupine.Ok, "seed %d: history of %d operations is not linearizable", seed, len(ops))
		})
	}
	t.Logf("seeds 0 to 59, %d operations, %d runs", total, runs)
}

// rival is a stream of requests to one of three instances after another.
type rival struct {
	id        int
	rng       *rand.Rand
	registers []*once.Deduplicator
	begin     time.Time
	note      func(porcupine.Operation)
}

// compete sends requests with few keys to three instances under random faults.
func compete(t *testing.T, seed uint64) []porcupine.Operation {
	t.Helper()
	store := fake.Table{Fault: fake.Random(seed, 40*time.Millisecond)}
	var mu sync.Mutex
	var ops []porcupine.Operation
	note := func(op porcupine.Operation) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, op)
	}
	var registers []*once.Deduplicator
	for i := range 3 {
		registers = append(registers, start(t, &store, fmt.Sprint("entry-", i)))
		registers[i].MaxCachedResponses = 3
	}
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range 9 {
		v := &rival{id: i, rng: rand.New(rand.NewPCG(seed, uint64(10+i))), registers: registers, begin: begin, note: note}
		wg.Go(func() {
			for n := range 12 {
				v.request(t.Context(), n)
			}
		})
	}
	wg.Wait()
	store.SetFault(nil)
	return ops
}

// request claims a key and ends the claim in one of the three ways.
func (v *rival) request(parent context.Context, n int) {
	ctx, cancel := context.WithTimeout(parent, time.Duration(100+v.rng.IntN(8000))*time.Millisecond)
	defer cancel()
	key := fmt.Sprint(v.rng.IntN(6))
	r := v.registers[v.rng.IntN(len(v.registers))]
	called := time.Since(v.begin)
	claim, verdict := r.Claim(ctx, "user", key, 1)
	v.add(act{kind: "claim", key: key}, outcome{verdict: verdict, answer: claim.Response.Status}, called)
	if verdict == once.InProgress {
		if answer, ok := claim.Wait(ctx); ok {
			v.add(act{kind: "claim", key: key}, outcome{verdict: once.Replay, answer: answer.Status}, called)
		}
	}
	if verdict != once.Run {
		time.Sleep(time.Duration(v.rng.IntN(500)) * time.Millisecond)
		return
	}
	time.Sleep(time.Duration(v.rng.IntN(300)) * time.Millisecond)
	called = time.Since(v.begin)
	switch v.rng.IntN(8) {
	case 0:
		r.Abandon(claim)
	case 1, 2:
		answer := 1000*(v.id+1) + n
		r.Finish(ctx, claim, once.Response{Status: answer})
		v.add(act{kind: "finish", key: key, answer: answer}, nil, called)
	default:
		// The deletion may go on in the background, so the withdrawal has no certain end.
		r.Release(ctx, claim)
		v.add(act{kind: "withdraw", key: key}, nil, called)
	}
}

// add notes an operation that ends now. A withdrawal may take effect at any time after its call;
// a client of its own keeps it apart from the later calls of the rival.
func (v *rival) add(did act, got any, called time.Duration) {
	client, ended := v.id, time.Since(v.begin)
	if did.kind == "withdraw" {
		client, ended = 1000+int(called)+v.id, time.Hour
	}
	v.note(porcupine.Operation{ClientId: client, Input: did, Output: got, Call: int64(called), Return: int64(ended)})
}
