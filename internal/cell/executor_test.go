package cell_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// clock is the executor's own clock.
func (x *fakeExecutor) clock(w *world) time.Duration {
	return time.Duration(float64(w.now.Sub(x.born)) * x.drift)
}

func (x *fakeExecutor) obey(w *world, order cell.Command) fleet.Response {
	ans := fleet.Response{Clock: x.clock(w), HasClock: true, Incarnation: x.life}
	switch {
	case order.Start != nil:
		ans.Status = x.start(w, order.Start)
	case order.Stop != nil:
		ans.Status = x.stop(w, order.Stop)
	}
	return ans
}

func (x *fakeExecutor) start(w *world, s *fleet.Start) fleet.Status {
	if s.Epoch < x.fence {
		return fleet.Fenced
	}
	x.fence = s.Epoch
	key := runKey(s.Task, s.Number)
	if x.runs[key] != nil {
		return fleet.Executed
	}
	if s.Number <= x.closed[s.Task] {
		return fleet.AlreadyEnded
	}
	if s.LeaseEnd <= x.clock(w) {
		return fleet.ArrivedLate
	}
	x.until = max(x.until, s.LeaseEnd)
	w.checkStart(x, s)
	spec := w.specOf(s.Task)
	work := time.Duration(float64(spec.Estimate) * (0.5 + w.draw(s.Task)))
	sp := &span{number: s.Number, executor: x.ID, begin: w.now, open: true}
	w.history[s.Task] = append(w.history[s.Task], sp)
	r := &fakeRun{
		Run: fleet.Run{Task: s.Task, Number: s.Number}, span: sp, begun: w.now, work: work,
		fails: x.failAll || w.rng.Float64() < w.failShare, need: spec.Reserved(), lasting: spec.LongRunning,
	}
	x.runs[key] = r
	if !spec.LongRunning && !x.hangs {
		life := x.life
		w.after(work, func() {
			if x.life == life && x.runs[key] == r {
				kind := fleet.Done
				if r.fails {
					kind = fleet.Failed
				}
				x.finish(w, key, kind)
			}
		})
	}
	w.after(x.leaseLeft(w)+time.Millisecond, func() { x.expire(w) })
	return fleet.Executed
}

func (x *fakeExecutor) leaseLeft(w *world) time.Duration {
	return time.Duration(float64(x.until-x.clock(w)) / x.drift)
}

func (x *fakeExecutor) expire(w *world) {
	if x.down || len(x.runs) == 0 {
		return
	}
	if x.clock(w) < x.until {
		w.after(x.leaseLeft(w)+time.Millisecond, func() { x.expire(w) })
		return
	}
	for _, key := range x.keys() {
		x.finish(w, key, fleet.LeaseExpired)
	}
}

func (x *fakeExecutor) keys() []string {
	keys := make([]string, 0, len(x.runs))
	for key := range x.runs {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (x *fakeExecutor) finish(w *world, key string, kind fleet.EndKind) {
	r := x.runs[key]
	delete(x.runs, key)
	r.span.end, r.span.open, r.span.kind = w.now, false, kind
	x.closed[r.Task] = max(x.closed[r.Task], r.Number)
	x.serial++
	x.ends = append(x.ends, fleet.End{Sequence: x.serial, Task: r.Task, Number: r.Number, Kind: kind})
	waiting := x.waiting
	x.waiting = nil
	for _, answer := range waiting {
		w.after(0, answer)
	}
	if kind == fleet.LeaseExpired {
		// What ended before the lease did and was not noted does not count.
		return
	}
}

func (x *fakeExecutor) stop(w *world, s *fleet.Stop) fleet.Status {
	if s.Epoch < x.fence {
		return fleet.Fenced
	}
	x.fence = s.Epoch
	x.closed[s.Task] = max(x.closed[s.Task], s.Number)
	key := runKey(s.Task, s.Number)
	if r := x.runs[key]; r != nil {
		life := x.life
		w.after(time.Duration(w.rng.Int64N(int64(stopTime))), func() {
			if x.life == life && x.runs[key] == r {
				x.finish(w, key, fleet.Stopped)
			}
		})
	}
	return fleet.Executed
}

func (x *fakeExecutor) forget(upTo, epoch int64) {
	if epoch < x.fence {
		return
	}
	x.ends = slices.DeleteFunc(x.ends, func(e fleet.End) bool { return e.Sequence <= upTo })
}

func (x *fakeExecutor) list(w *world) fleet.Response {
	ans := fleet.Response{Clock: x.clock(w), HasClock: true, Incarnation: x.life, Ends: slices.Clone(x.ends)}
	for _, key := range x.keys() {
		r := x.runs[key].Run
		if x.hangs {
			ans.Runs = append(ans.Runs, r)
			continue
		}
		r.Percent = min(100, 100*float64(w.now.Sub(x.runs[key].begun))/float64(max(x.runs[key].work, 1)))
		ans.Runs = append(ans.Runs, r)
	}
	return ans
}

// checkStart compares a start with the history of all runs.
func (w *world) checkStart(x *fakeExecutor, s *fleet.Start) {
	spec := w.specOf(s.Task)
	var used place.Resources
	for _, r := range x.runs {
		used = used.Add(r.need)
	}
	if !spec.Reserved().Fits(x.Capacity.Sub(used)) {
		w.breach("capacity of %s exceeded by %s", x.ID, runKey(s.Task, s.Number))
	}
	for _, sp := range w.history[s.Task] {
		if sp.open && !spec.AllowConcurrentRuns {
			w.breach("task %s runs twice: run %d on %s and run %d on %s", runKey(s.Task, s.Number), sp.number, sp.executor, s.Number, x.ID)
		}
	}
	all := specs[w.t.Name()+s.Task.Job]
	for _, before := range all.Steps[s.Task.Step].DependsOn {
		for i := range all.Steps[before].Count {
			t := fleet.TaskID{Job: s.Task.Job, Step: before, Index: i}
			if !slices.ContainsFunc(w.history[t], func(sp *span) bool { return sp.kind == fleet.Done && !sp.open }) {
				w.breach("%s started before %s was done", runKey(s.Task, s.Number), runKey(t, 0))
			}
		}
	}
}

// domainOf deals executors over three failure domains by the last digit of their id.
func domainOf(id string) string {
	return string(rune('a' + (id[len(id)-1]-'0')%3))
}

// draw returns a number from 0 to 1 for a task, the same in every play of a seed.
func (w *world) draw(t fleet.TaskID) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.seed, t)
	return rand.New(rand.NewPCG(w.seed, h.Sum64())).Float64()
}
