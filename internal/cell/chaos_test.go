package cell_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// chaosSeeds is the number of seeds in an ordinary run; DAISYRACK_SEEDS sets another.
const chaosSeeds = 60

func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("DAISYRACK_SEEDS"), 10, 32); err == nil {
		return n
	}
	return chaosSeeds
}

// Random faults must not start a task twice, exceed a capacity or lose a job.
func TestRandomFaults(t *testing.T) {
	completed := 0
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { completed += playFaults(t, seed) })
	}
	// A check of the checks: most seeds accept and complete many jobs.
	assert.Assert(t, completed >= 10*int(seeds()), "%d jobs completed", completed)
}

// playFaults plays one seed and returns the number of completed jobs.
func playFaults(t *testing.T, seed uint64) int {
	w := newWorld(t, seed, 6)
	if seed%3 == 1 {
		w.lostLooks = 0.05
	}
	if seed%2 == 1 {
		w.goodShare = 0.6
		for i := range w.policy.Queues {
			w.policy.Queues[i].Advice = &fleet.Advice{
				BaseLatency: time.Duration(20+200*i) * time.Millisecond, LatencyPerExecutor: time.Millisecond, TicketTTL: 2 * time.Second,
			}
		}
	}
	o := w.takeOver()
	w.run(time.Second)
	jobs := 0
	replies := make(map[string]*cell.Reply)
	submit := func() {
		id := fmt.Sprintf("j%d", jobs)
		replies[id] = w.submit(w.owners[len(w.owners)-1], id, w.randomSpec())
		jobs++
	}
	for range 30 {
		for range 1 + w.rng.IntN(3) {
			submit()
		}
		o = w.fault(o)
		w.run(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
	}
	w.heal(o)
	w.run(60 * time.Second)
	w.expectClean()
	last := w.owners[len(w.owners)-1]
	completed := 0
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		r := last.core.State(id)
		accepted := replies[id].Outcome == cell.Accepted || r.Outcome == cell.Found
		if accepted && r.State != flow.Completed && r.State != flow.Failed {
			t.Errorf("job %s is accepted, and at the end %s and %s", id, r.Outcome, r.State)
		}
		if r.State == flow.Completed {
			completed++
		}
	}
	ends := int64(0)
	for _, o := range w.owners {
		ends += o.core.Stats.Ends
	}
	assert.Assert(t, ends >= int64(completed))
	return completed
}

func (w *world) randomSpec() flow.Spec {
	queue := testQueue
	if w.rng.IntN(3) == 0 {
		queue = slowQueue
	}
	spec := oneStep(queue, 1+w.rng.IntN(8), time.Duration(100+w.rng.IntN(1500))*time.Millisecond)
	spec.Steps[0].Need.CPUMillis = int64(500 + w.rng.IntN(3000))
	if w.rng.IntN(4) == 0 {
		spec.Steps[0].MaxPerExecutor = 2
	}
	spec.Steps[0].AllowConcurrentRuns = w.rng.IntN(3) == 0
	if w.rng.IntN(2) == 0 {
		spec.Steps = append(spec.Steps, flow.StepSpec{
			Count: 1 + w.rng.IntN(5), Need: place.Resources{CPUMillis: 1500}, DependsOn: []int{0},
			Estimate: time.Duration(100+w.rng.IntN(3000)) * time.Millisecond,
		})
	}
	return spec
}

// fault brings about one random fault and returns the owner that is in charge afterwards.
func (w *world) fault(o *owner) *owner {
	all := w.sorted()
	x := all[w.rng.IntN(len(all))]
	switch w.rng.IntN(10) {
	case 0: // the owner is killed
		o.dead = true
		return w.takeOver()
	case 1: // the owner is cut off with some executors; another takes over and reaches the others
		next := w.takeOver()
		o.away = true
		for _, other := range all {
			if w.rng.IntN(3) == 0 {
				next.cut[other.ID] = true
			} else {
				o.cut[other.ID] = true
			}
		}
		w.after(6*time.Second, func() {
			clear(next.cut)
			clear(o.cut)
			o.away = false
		})
		return next
	case 8: // a domain is cut off with the owner inside
		next := w.takeOver()
		o.away = true
		inside := domainOf(x.ID)
		for _, other := range all {
			if other.Domain == inside {
				next.cut[other.ID] = true
			} else {
				o.cut[other.ID] = true
			}
		}
		w.after(6*time.Second, func() {
			clear(next.cut)
			clear(o.cut)
			o.away = false
		})
		return next
	case 2: // an executor crashes and starts again
		x.down = true
		for _, r := range x.runs {
			r.span.end, r.span.open, r.span.kind = w.now, false, fleet.Lost
		}
		x.runs = map[string]*fakeRun{}
		w.after(time.Duration(w.rng.IntN(5000))*time.Millisecond, func() { x.restart(w) })
	case 3: // an executor is out of reach
		x.cut = true
		w.after(time.Duration(500+w.rng.IntN(12000))*time.Millisecond, func() { x.cut = false })
	case 4: // the store is down
		if !w.storeDown {
			w.storeDown = true
			w.after(time.Duration(300+w.rng.IntN(5000))*time.Millisecond, func() { w.storeDown = false })
		}
	case 5: // orders are carried out late
		w.lateShare = 0.1
		w.after(4*time.Second, func() { w.lateShare = 0 })
	case 7: // the store refuses commits
		w.storeRefuses = true
		w.after(time.Duration(300+w.rng.IntN(4000))*time.Millisecond, func() { w.storeRefuses = false })
	case 6: // an executor loses its entry for a while
		w.owners[len(w.owners)-1].core.RemoveExecutor(w.now, x.ID)
		w.after(3*time.Second, func() { w.relist(x) })
	}
	return o
}

func (w *world) relist(x *fakeExecutor) {
	for _, o := range w.owners {
		if !o.dead {
			o.found(x)
		}
	}
}

// heal ends all faults.
func (w *world) heal(o *owner) {
	w.storeDown, w.storeRefuses, w.lateShare = false, false, 0
	for _, x := range w.sorted() {
		if x.down {
			x.restart(w)
		}
		x.cut = false
	}
	clear(o.cut)
	o.away = false
	w.run(3 * time.Second)
	for _, x := range w.sorted() {
		o.found(x)
	}
}

// traced reports whether owners print their log lines.
func traced() bool { return os.Getenv("DAISYRACK_TRACE") != "" }
