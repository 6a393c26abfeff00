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

// operation is a call for a key: claim it, finish it with a response, or release it.
type operation struct {
	kind, key string
	response  int
}

// claimOutput is what a claim returned. The response is identified by its status.
type claimOutput struct {
	result   once.ClaimResult
	response int
}

// keyState is the state of a key in the model.
type keyState struct {
	claimed  bool
	response int
}

// atMostOnceModel specifies that the request of a key runs again only after the key was released,
// and that a replayed response is that of the run. MayHaveRun and Unavailable are always allowed,
// because a claim with an unknown outcome can leave a row for some time.
var atMostOnceModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(operation).key
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
		current, in := state.(keyState), input.(operation)
		switch in.kind {
		case "finish":
			return current.claimed && current.response == 0, keyState{claimed: true, response: in.response}
		case "release":
			return current.claimed && current.response == 0, keyState{}
		}
		out := output.(claimOutput)
		switch out.result {
		case once.Run:
			return !current.claimed, keyState{claimed: true}
		case once.Replay:
			return current.response != 0 && current.response == out.response, current
		}
		return true, current
	},
}

// Guards against a second run (I5) and against the response of another request, with repeated
// requests on three instances under lost, late and refused writes. The response caches are small,
// so that responses are read from the store as well.
func TestClaimsAreLinearizable(t *testing.T) {
	total, runs := 0, 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			ops := runRequesters(t, seed)
			total += len(ops)
			for _, op := range ops {
				if got, ok := op.Output.(claimOutput); ok && got.result == once.Run {
					runs++
				}
			}
			res := porcupine.CheckOperationsTimeout(atMostOnceModel, ops, 10*time.Second)
			assert.Assert(t, res == porcupine.Ok, "seed %d: history of %d operations is not linearizable", seed, len(ops))
		})
	}
	t.Logf("seeds 0 to 59, %d operations, %d runs", total, runs)
}

// requester sends one request after another, each to a random instance.
type requester struct {
	id        int
	rng       *rand.Rand
	instances []*once.Deduplicator
	testStart time.Time
	record    func(porcupine.Operation)
}

// runRequesters sends concurrent requests with few keys to three instances under random faults and
// returns the history of operations.
func runRequesters(t *testing.T, seed uint64) []porcupine.Operation {
	t.Helper()
	store := fake.Table{Fault: fake.Random(seed, 40*time.Millisecond)}
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(op porcupine.Operation) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, op)
	}
	var instances []*once.Deduplicator
	for i := range 3 {
		instances = append(instances, startInstance(t, &store, fmt.Sprint("entry-", i)))
		instances[i].MaxCachedResponses = 3
	}
	start := time.Now()
	var wg sync.WaitGroup
	for i := range 9 {
		q := &requester{id: i, rng: rand.New(rand.NewPCG(seed, uint64(10+i))), instances: instances, testStart: start, record: record}
		wg.Go(func() {
			for n := range 12 {
				q.request(t.Context(), n)
			}
		})
	}
	wg.Wait()
	store.SetFault(nil)
	return ops
}

// request claims a key and ends the claim with Abandon, Finish or Release.
func (q *requester) request(parent context.Context, n int) {
	ctx, cancel := context.WithTimeout(parent, time.Duration(100+q.rng.IntN(8000))*time.Millisecond)
	defer cancel()
	key := fmt.Sprint(q.rng.IntN(6))
	dedup := q.instances[q.rng.IntN(len(q.instances))]
	start := time.Since(q.testStart)
	claim, result := dedup.Claim(ctx, "user", key, 1)
	q.recordOp(operation{kind: "claim", key: key}, claimOutput{result: result, response: claim.Response.Status}, start)
	if result == once.InProgress {
		if resp, ok := claim.Wait(ctx); ok {
			q.recordOp(operation{kind: "claim", key: key}, claimOutput{result: once.Replay, response: resp.Status}, start)
		}
	}
	if result != once.Run {
		time.Sleep(time.Duration(q.rng.IntN(500)) * time.Millisecond)
		return
	}
	time.Sleep(time.Duration(q.rng.IntN(300)) * time.Millisecond)
	start = time.Since(q.testStart)
	switch q.rng.IntN(8) {
	case 0:
		dedup.Abandon(claim)
	case 1, 2:
		status := 1000*(q.id+1) + n
		dedup.Finish(ctx, claim, once.Response{Status: status})
		q.recordOp(operation{kind: "finish", key: key, response: status}, nil, start)
	default:
		// The row may be deleted later in the background, so the end of the release is not known.
		dedup.Release(ctx, claim)
		q.recordOp(operation{kind: "release", key: key}, nil, start)
	}
}

// recordOp records an operation that ends now. A release may take effect at any time after its
// call. It gets a client id of its own, because it overlaps with later calls of the requester.
func (q *requester) recordOp(in operation, out any, start time.Duration) {
	client, ended := q.id, time.Since(q.testStart)
	if in.kind == "release" {
		client, ended = 1000+int(start)+q.id, time.Hour
	}
	q.record(porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(start), Return: int64(ended)})
}
