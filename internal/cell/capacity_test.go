package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/flow"
	"github.com/daisyrack/daisyrack/pkg/place"
)

const (
	// beatInterval is how often executors write their entries in the instance list.
	beatInterval = 1500 * time.Millisecond

	// entryValidity is the EntryValidity of owners.
	entryValidity = contactTime + beatInterval - 400*time.Millisecond
)

// beat writes the entry of an executor now and with each later heartbeat.
func (x *fakeExecutor) beat(sim *simulation) {
	if x.replaced {
		return
	}
	sim.schedule(beatInterval, func() { x.beat(sim) })
	if x.down || x.unlisted || x.storeUnreachable || sim.storeDown {
		return
	}
	x.entryVersion++
	x.writtenAt = sim.now
	if len(x.rooms) > 0 {
		x.Capacity = x.rooms[len(x.rooms)-1].capacity
	}
	for _, o := range sim.owners {
		if !o.dead && !o.storeUnreachable && !sim.listStalled && o.polling[x.ID] {
			o.setExecutor(x, sim.now)
		}
	}
}

// resize changes the capacity of an executor. Its entry tells that with the next heartbeat.
func (x *fakeExecutor) resize(sim *simulation, capacity place.Resources) {
	if len(x.rooms) == 0 {
		x.rooms = []room{{x.startTime, x.Capacity}}
	}
	x.rooms = append(x.rooms, room{sim.now, capacity})
}

// countedCapacity returns the capacity that starts must not exceed: a smaller one counts contactTime
// and a heartbeat after the executor has shrunk.
func (x *fakeExecutor) countedCapacity(sim *simulation) place.Resources {
	if len(x.rooms) == 0 {
		return x.Capacity
	}
	last := len(x.rooms) - 1
	counted := x.rooms[last].capacity
	for i := range last {
		if sim.now.Sub(x.rooms[i+1].since) <= contactTime+beatInterval {
			r := x.rooms[i].capacity
			counted.CPUMillis, counted.MemoryMB = max(counted.CPUMillis, r.CPUMillis), max(counted.MemoryMB, r.MemoryMB)
		}
	}
	return counted
}

// Executors shrink and grow under load, while commands are executed late, responses get lost, the
// instance list stalls or the owner changes.
func TestStartsFitExecutorsThatShrink(t *testing.T) {
	t.Parallel()
	faults := map[string]func(*simulation, *owner) *owner{
		"calm":                func(_ *simulation, o *owner) *owner { return o },
		"late commands":       func(sim *simulation, o *owner) *owner { sim.lateCommandShare = 0.3; return o },
		"lost responses":      func(sim *simulation, o *owner) *owner { sim.lostPollShare = 0.2; return o },
		"stalled list":        func(sim *simulation, o *owner) *owner { sim.listStalled = true; return o },
		"store down":          func(sim *simulation, o *owner) *owner { sim.storeDown, sim.listStalled = true, true; return o },
		"change of the owner": func(sim *simulation, o *owner) *owner { o.dead = true; return sim.takeOver() },
	}
	for name, inject := range faults {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				sim := newSimulation(t, seed, 6)
				sim.failureShare = 0
				o := sim.takeOver()
				sim.advance(time.Second)
				var replies []*cell.Reply
				for round := range 16 {
					if round%5 == 2 {
						o = inject(sim, o)
						sim.schedule(6*time.Second, func() {
							sim.lateCommandShare, sim.lostPollShare, sim.listStalled, sim.storeDown = 0, 0, false, false
						})
					}
					for _, x := range sim.sortedExecutors() {
						if sim.rng.IntN(2) == 0 {
							x.resize(sim, place.Resources{CPUMillis: 1000 * int64(1+sim.rng.IntN(8)), MemoryMB: 1000 * int64(1+sim.rng.IntN(16))})
						}
					}
					for range 4 {
						for range 3 {
							id := fmt.Sprintf("j%d", len(replies))
							replies = append(replies, sim.submit(o, id, singleStep(testQueue, 4, 400*time.Millisecond)))
						}
						sim.advance(500 * time.Millisecond)
					}
				}
				for _, x := range sim.sortedExecutors() {
					x.resize(sim, place.Resources{CPUMillis: 8000, MemoryMB: 16000})
				}
				sim.advance(60 * time.Second)
				sim.expectNoViolations()
				accepted := 0
				for i, r := range replies {
					if r.Outcome == cell.Accepted {
						accepted++
						assert.Equal(t, o.core.State(fmt.Sprintf("j%d", i)).State, flow.Completed)
					}
				}
				assert.Assert(t, accepted > 0)
			})
		}
	}
}

// Guards against executors that are filled beyond their capacity: a new owner took entries of executors that had shrunk
// since, and did not reach the store, for recent ones (review/more/shrunk).
func TestNewOwnerDoesNotRelyOnOldEntries(t *testing.T) {
	for _, silent := range []time.Duration{3 * time.Second, contactTime + beatInterval, 6 * time.Second} {
		sim, o := newIdleCell(t, 1)
		x := sim.execs["x0"]
		x.resize(sim, place.Resources{CPUMillis: 1000, MemoryMB: 16000})
		x.storeUnreachable = true
		sim.advance(silent)
		o = sim.handOver(o)
		for i := range 8 {
			sim.submit(o, fmt.Sprintf("j%d", i), singleStep(testQueue, 1, 200*time.Millisecond))
			sim.advance(500 * time.Millisecond)
		}
		sim.expectNoViolations()
		x.resize(sim, place.Resources{CPUMillis: 8000, MemoryMB: 16000})
		x.storeUnreachable = false
		sim.advance(beatInterval + time.Second)
		assert.Equal(t, o.core.State("j7").State, flow.Completed, "silent for %s", silent)
	}
}

func TestRetriedStartDoesNotExceedShrunkExecutor(t *testing.T) {
	sim, o := newCrashCell(t, 1, 1, false)
	x := sim.execs["x0"]
	x.partitioned = true
	sim.submit(o, "job", singleStep(testQueue, 4, time.Second))
	sim.advance(100 * time.Millisecond)
	assert.Assert(t, len(sim.sentCommands) > 0)
	x.resize(sim, place.Resources{CPUMillis: 1000, MemoryMB: 16000})
	sim.advance(contactTime + beatInterval + 500*time.Millisecond)
	x.partitioned = false
	sim.advance(4 * time.Second)
	sim.expectNoViolations()
	assert.Equal(t, len(sim.history), 0)
	x.resize(sim, place.Resources{CPUMillis: 8000, MemoryMB: 16000})
	sim.advance(10 * time.Second)
	assert.Equal(t, o.core.State("job").State, flow.Completed)
}

// A step must start while others have room for it if the executors that it asked for shrink under it.
func TestStepsStartElsewhereWhenExecutorsShrink(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("gang %t, seed %d", gang, seed), func(t *testing.T) {
				const executors = 48
				sim := newLargeFleet(t, seed, executors)
				o := sim.takeOver()
				sim.advance(time.Second)
				for _, load := range ordinaryLoad(executors / 2) {
					sim.submitLoad(o, load, 12*time.Second)
				}
				sim.advance(3 * time.Second)
				shrink := func() {
					for i, x := range sim.sortedExecutors() {
						if i%2 == 0 {
							x.resize(sim, place.Resources{CPUMillis: 4000, MemoryMB: 16000})
						}
					}
				}
				sim.schedule(time.Duration(sim.rng.IntN(3000))*time.Millisecond, shrink)
				for i := range 6 {
					sim.advance(500 * time.Millisecond)
					spec := singleStep(testQueue, 6, 500*time.Millisecond)
					spec.Steps[0].Need.CPUMillis = 5000
					spec.Steps[0].Gang = gang
					sim.submit(o, fmt.Sprintf("wide%d", i), spec)
				}
				sim.advance(5 * time.Second)
				sim.expectNoViolations()
				for i := range 6 {
					assert.Equal(t, o.core.State(fmt.Sprintf("wide%d", i)).State, flow.Completed, "wide%d", i)
				}
			})
		}
	}
}
