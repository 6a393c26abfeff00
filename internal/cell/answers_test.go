package cell_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/flow"
)

func never() bool { return false }

func tenth() time.Duration { return 100 * time.Millisecond }

// Guards against an accepted job that is reported as absent: an owner whose commit has no response yet
// cannot know whether a successor has taken over and accepted the job.
func TestFormerOwnerDoesNotReportJobAsAbsent(t *testing.T) {
	for _, verb := range []string{"state", "cancel"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			store := newMemoryStore(1)
			executors := []*timedExecutor{newTimedExecutor("x", tenth, never)}
			former := startTerm(ctx, &storeLink{store: store}, 1, executors)
			time.Sleep(time.Second)
			former.link.set(func() { former.link.away = true })
			successor := startTerm(ctx, &storeLink{store: store}, 2, executors)
			assert.Equal(t, successor.driver.Submit(ctx, "job", singleStep(testQueue, 1, time.Second)).Outcome, cell.Accepted)
			callCtx, endCall := context.WithTimeout(ctx, time.Second)
			defer endCall()
			var r cell.Reply
			if verb == "state" {
				r = former.driver.State(callCtx, "job")
			} else {
				r = former.driver.Cancel(callCtx, "job")
			}
			assert.Equal(t, r.Outcome, cell.Unknown, verb)
			former.stop(t)
			successor.stop(t)
		})
	}
}

// Guards against a state that is taken back: a job whose tasks have ended is not reported as completed
// before that is stored, since a later owner may have to run them again.
func TestStateIsNotReportedBeforeItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		x := newTimedExecutor("x", tenth, never)
		owner := startTerm(ctx, &storeLink{store: newMemoryStore(1)}, 1, []*timedExecutor{x})
		assert.Equal(t, owner.driver.Submit(ctx, "job", singleStep(testQueue, 1, time.Second)).Outcome, cell.Accepted)
		for running := 0; running == 0; {
			time.Sleep(time.Millisecond)
			x.mu.Lock()
			running = len(x.runs)
			x.mu.Unlock()
		}
		owner.link.set(func() { owner.link.away = true })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, owner.driver.Counters(ctx).Completed, int64(1))
		assert.Equal(t, owner.driver.State(ctx, "job").State, flow.Running)
		owner.link.set(func() { owner.link.away = false })
		time.Sleep(2 * time.Second)
		assert.Equal(t, owner.driver.State(ctx, "job").State, flow.Completed)
		owner.stop(t)
	})
}

// answerCheck is what clients have seen of the jobs of one random run.
type answerCheck struct {
	t  *testing.T
	mu sync.Mutex
	// accepted and cancelled hold when a job was accepted and when its cancellation was first sent,
	// final the state that a client was told.
	accepted, cancelled map[string]time.Time
	final               map[string]flow.State
	// refused are the jobs of which nothing may be stored.
	refused   []string
	executors []*timedExecutor
	answers   map[cell.Outcome]int
}

func (a *answerCheck) failedRuns(id string) int {
	most := 0
	for index := range 2 {
		n := 0
		for _, x := range a.executors {
			x.mu.Lock()
			for task, count := range x.failures {
				if task.Job == id && task.Index == index {
					n += count
				}
			}
			x.mu.Unlock()
		}
		most = max(most, n)
	}
	return most
}

// state asks a term for the state of a job and checks the answer against earlier ones.
func (a *answerCheck) state(ctx context.Context, d *cell.Driver, id string, knownFinal flow.State) cell.Outcome {
	r := d.State(ctx, id)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers[r.Outcome]++
	switch {
	case r.Outcome == cell.Absent:
		a.t.Errorf("%s is absent, accepted %s ago", id, time.Since(a.accepted[id]))
	case r.Outcome != cell.Found:
		return r.Outcome
	case knownFinal.Final() && r.State.Final() && r.State != knownFinal:
		a.t.Errorf("%s is %s, it was %s", id, r.State, knownFinal)
	case r.State == flow.Cancelled && a.cancelled[id].IsZero():
		a.t.Errorf("%s is cancelled without cause", id)
	case r.State == flow.Failed && a.failedRuns(id) < 3:
		a.t.Errorf("%s has failed after %d failed runs of a task", id, a.failedRuns(id))
	}
	if r.State.Final() {
		a.final[id] = r.State
	}
	return r.Outcome
}

// request makes one random call to a term.
func (a *answerCheck) request(ctx context.Context, d *cell.Driver, n, pick int) {
	ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
	defer cancel()
	a.mu.Lock()
	var id string
	if len(a.accepted) > 0 {
		k := pick % len(a.accepted)
		for k >= 0 {
			candidate := fmt.Sprintf("j%d", (pick+k*7)%max(n, 1))
			if !a.accepted[candidate].IsZero() {
				id = candidate
			}
			k--
		}
	}
	final := a.final[id]
	if id != "" && pick%11 == 0 && a.cancelled[id].IsZero() {
		a.cancelled[id] = time.Now()
	}
	a.mu.Unlock()
	switch {
	case id == "" || pick%3 == 0:
		id = fmt.Sprintf("j%d", n)
		r := d.Submit(ctx, id, singleStep(testQueue, 2, time.Second))
		a.mu.Lock()
		a.answers[r.Outcome]++
		switch r.Outcome {
		case cell.Accepted:
			a.accepted[id] = time.Now()
		case cell.Rejected, cell.NotOwner:
			a.refused = append(a.refused, id)
		}
		a.mu.Unlock()
	case pick%11 == 0:
		if r := d.Cancel(ctx, id); r.Outcome == cell.Absent {
			a.t.Errorf("cancelled %s is absent", id)
		}
	default:
		a.state(ctx, d, id, final)
	}
}

// Guards against accepted jobs that are forgotten and states that are taken back, over takeovers in
// series by owners that are killed, resign or are cut off from the store, a store that refuses, loses and
// delays commits, and the loss of all owners.
func TestRandomTakeoversForgetNoJob(t *testing.T) {
	t.Parallel()
	seeds := 12
	if n, err := strconv.Atoi(os.Getenv("DAISYRACK_ANSWER_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomTakeovers(t, seed) })
		})
	}
}

func randomTakeovers(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	rng := rand.New(rand.NewPCG(seed, 1))
	store := newMemoryStore(seed)
	a := &answerCheck{
		t: t, accepted: make(map[string]time.Time), cancelled: make(map[string]time.Time),
		final: make(map[string]flow.State), answers: make(map[cell.Outcome]int),
	}
	for i := range 4 {
		runTime := func() time.Duration { return time.Duration(50+int(float64(400)*storeRandom(store))) * time.Millisecond }
		a.executors = append(a.executors, newTimedExecutor(fmt.Sprintf("x%d", i), runTime, func() bool { return store.chance(0.15) }))
	}
	var terms []*term
	var calls sync.WaitGroup
	start := func() {
		link := &storeLink{store: store}
		switch rng.IntN(4) {
		case 0:
			link.lost = 0.1
		case 1:
			link.late = 0.05
		}
		terms = append(terms, startTerm(ctx, link, uint64(len(terms)+1), a.executors))
	}
	start()
	submitted := 0
	for range 1500 {
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		current := terms[len(terms)-1]
		switch fault := rng.IntN(400); {
		case fault < 3: // the owner is killed
			current.cancel()
			start()
		case fault < 8: // the owner is cut off from the store, and a successor takes over at once
			current.link.set(func() { current.link.away = true })
			start()
		case fault < 11: // two candidates take over at the same time
			start()
			start()
		case fault < 14:
			current.link.set(func() { current.link.refuses = true })
			time.AfterFunc(time.Duration(rng.IntN(1500))*time.Millisecond, func() { current.link.set(func() { current.link.refuses = false }) })
		case fault < 17:
			current.link.set(func() { current.link.away = true })
			time.AfterFunc(time.Duration(rng.IntN(1500))*time.Millisecond, func() { current.link.set(func() { current.link.away = false }) })
		case fault < 18: // all owners are lost
			for _, old := range terms {
				old.cancel()
			}
			time.Sleep(time.Second)
			start()
		}
		if err := endedWith(terms[len(terms)-1]); err != nil {
			start()
		}
		d := terms[max(len(terms)-1-rng.IntN(3), 0)].driver
		pick := rng.IntN(1 << 20)
		n := submitted
		submitted++
		calls.Go(func() { a.request(ctx, d, n, pick) })
	}
	for _, old := range terms {
		old.cancel()
	}
	calls.Wait()
	last := startTerm(ctx, &storeLink{store: store}, uint64(len(terms)+1), a.executors)
	time.Sleep(14 * time.Second)
	for id := range a.accepted {
		if outcome := a.state(ctx, last.driver, id, a.final[id]); outcome != cell.Found {
			t.Errorf("%s is %s at the end", id, outcome)
		}
	}
	for _, id := range a.refused {
		if r := last.driver.State(ctx, id); r.Outcome != cell.Absent {
			t.Errorf("%s was not accepted, but is %s", id, r.Outcome)
		}
	}
	t.Logf("%d jobs accepted, %d terms, answers %v", len(a.accepted), len(terms), a.answers)
	for _, x := range append(terms, last) {
		x.stop(t)
	}
	cancel()
	time.Sleep(10 * time.Second) // late commits and runs
}

func storeRandom(s *memoryStore) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// endedWith returns how a term has ended, or nil while it lasts.
func endedWith(x *term) error {
	select {
	case err := <-x.ended:
		x.ended <- err
		return err
	default:
		return nil
	}
}
