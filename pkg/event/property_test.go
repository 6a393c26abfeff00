package event_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/event"
)

// TestMain sets a fixed seed so that property tests are reproducible; the flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// Guards against an effect with an earlier time than its cause when wall clocks differ, jump
// or go back, and against a wrong clock of one instance that advances those of the others.
func TestHybridClockOrdersCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		walls := make([]time.Time, instances)
		clocks := make([]*event.HybridClock, instances)
		last := make([]int64, instances)
		highest := time.Time{}
		for i := range clocks {
			walls[i] = time.UnixMilli(1_000_000 + int64(rapid.IntRange(0, 20_000).Draw(t, "skew")))
			clocks[i] = &event.HybridClock{Wall: func() time.Time { return walls[i] }}
		}
		tick := func(i int, cause int64) int64 {
			now := clocks[i].Now()
			assert.Assert(t, now > last[i], "instance %d went back", i)
			assert.Assert(t, now > cause, "effect before cause")
			last[i] = now
			return now
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				for _, w := range walls {
					if w.After(highest) {
						highest = w
					}
				}
			},
			"local": func(t *rapid.T) { tick(rapid.IntRange(0, instances-1).Draw(t, "instance"), 0) },
			"message": func(t *rapid.T) {
				from := rapid.IntRange(0, instances-1).Draw(t, "from")
				to := rapid.IntRange(0, instances-1).Draw(t, "to")
				sent := tick(from, 0)
				if clocks[to].Observe(sent) {
					tick(to, sent)
					return
				}
				assert.Assert(t, event.WallTime(sent).Sub(walls[to]) >= time.Minute, "rejected a time within a minute")
			},
			"faulty peer": func(t *rapid.T) {
				to := rapid.IntRange(0, instances-1).Draw(t, "to")
				ahead := time.Minute + time.Duration(rapid.IntRange(1, 1e9).Draw(t, "ahead"))*time.Millisecond
				assert.Assert(t, !clocks[to].Observe(walls[to].Add(ahead).UnixMilli()<<16))
				now := event.WallTime(tick(to, 0))
				assert.Assert(t, now.Before(highest.Add(time.Minute+time.Second)), "clock advanced too far")
			},
			"jump": func(t *rapid.T) {
				i := rapid.IntRange(0, instances-1).Draw(t, "instance")
				walls[i] = walls[i].Add(time.Duration(rapid.IntRange(-5_000, 5_000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Guards against events lost between two copies, against mirrors that grow with the number of
// events, instances or the length of texts, and against confusing events of two incarnations
// of an instance.
func TestMirrorKeepsTheNewestEventsOfEachInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		instances := rapid.IntRange(1, 3).Draw(t, "instances")
		m := &event.Mirror{Size: size, MaxInstances: instances}
		clock := &event.HybridClock{}
		rings := map[string]*event.Ring{}
		copied := map[string]uint64{}
		names := []string{"a", "b", "c", "d"}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "instance")
				if rings[name] == nil {
					rings[name] = &event.Ring{Size: size, Instance: name, Clock: clock}
				}
				rings[name].Add(event.Event{Detail: strings.Repeat("x", rapid.IntRange(0, 2*event.MaxTextBytes).Draw(t, "length"))})
			},
			"copy": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "instance")
				if rings[name] == nil {
					return
				}
				events := rings[name].After(copied[name], 0)
				m.Add(events)
				assert.Equal(t, m.Add(events), 0, "copied twice")
				if len(events) == 0 {
					return
				}
				copied[name] = m.LastSequence(name)
				assert.DeepEqual(t, newest(m.Events(name), len(events)), events)
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "instance")
				delete(rings, name)
				delete(copied, name)
			},
			"": func(t *rapid.T) {
				all := m.All()
				assert.Assert(t, len(all) <= instances)
				for _, events := range all {
					assert.Assert(t, len(events) <= size)
					for i, e := range events {
						assert.Assert(t, len(e.Detail) <= event.MaxTextBytes)
						assert.Assert(t, i == 0 || e.Time > events[i-1].Time)
					}
				}
				merged := event.Merge(append(all, all...))
				for i := 1; i < len(merged); i++ {
					assert.Assert(t, merged[i].Time > merged[i-1].Time, "out of order or duplicate")
				}
			},
		})
	})
}

func newest(events []event.Event, n int) []event.Event {
	return events[max(len(events)-n, 0):]
}

// Guards against data races between recording and reading, and against events that a reader
// gets twice or out of order.
func TestRingConcurrentReadAndWrite(t *testing.T) {
	r := &event.Ring{Size: 1_000, Instance: "a", Clock: &event.HybridClock{}}
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 5_000 {
				r.Add(event.Event{Kind: event.TaskStarted})
			}
		})
	}
	done := make(chan struct{})
	go func() {
		writers.Wait()
		close(done)
	}()
	for reading := true; reading; {
		select {
		case <-done:
			reading = false
		default:
		}
		events := r.After(0, 0)
		for i := 1; i < len(events); i++ {
			assert.Assert(t, events[i].Sequence > events[i-1].Sequence)
			assert.Assert(t, events[i].Time > events[i-1].Time)
		}
	}
	assert.Equal(t, r.LastSequence(), uint64(20_000))
	assert.Equal(t, r.Dropped(), uint64(19_000))
	assert.Equal(t, len(r.After(0, 0)), 1_000)
}

func BenchmarkRingAdd(b *testing.B) {
	r := &event.Ring{Instance: "a", Clock: &event.HybridClock{}}
	e := event.Event{Kind: event.RequestAnswered, Request: "r-1", Backend: "b-1"}
	b.ReportMetric(float64(unsafe.Sizeof(e)*event.DefaultSize), "ring-bytes")
	b.ReportAllocs()
	for b.Loop() {
		r.Add(e)
	}
}
