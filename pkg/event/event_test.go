package event_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/event"
)

// Guards against dropped events that are not counted, and wrong sequence numbers after the ring wraps.
func TestRingKeepsTheNewestEvents(t *testing.T) {
	r := &event.Ring{Size: 4, Instance: "a"}
	for range 10 {
		r.Add(event.Event{Kind: event.TaskStarted})
	}
	assert.Equal(t, r.Dropped(), uint64(6))
	got := r.After(0, 0)
	assert.Equal(t, len(got), 4)
	assert.Equal(t, got[0].Sequence, uint64(7))
	assert.Equal(t, got[0].Instance, "a")
	assert.Equal(t, len(r.After(8, 1)), 1)
	assert.Equal(t, len(r.After(10, 0)), 0)
}

// Guards against memory allocation for each recorded event.
func TestRingAddDoesNotAllocate(t *testing.T) {
	r := &event.Ring{Size: 64, Instance: "a", Clock: &event.HybridClock{}}
	e := event.Event{Kind: event.RequestAnswered, Request: "r"}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { r.Add(e) }), 0.0)
}

// Guards against events of a crashed instance that are lost, duplicated or out of order after merging.
func TestMirrorAndMergeReturnEachEventOnceInOrder(t *testing.T) {
	a := []event.Event{{Time: 1, Instance: "a", Sequence: 1}, {Time: 5, Instance: "a", Sequence: 2}}
	b := []event.Event{{Time: 3, Instance: "b", Sequence: 1}, {Time: 5, Instance: "b", Sequence: 2}}
	m := &event.Mirror{}
	assert.Equal(t, m.Add(a), 2)
	assert.Equal(t, m.Add(a), 0)
	assert.Equal(t, m.LastSequence("a"), uint64(2))
	got := event.Merge([][]event.Event{b, a, m.Events("a")})
	assert.DeepEqual(t, got, []event.Event{a[0], b[0], a[1], b[1]})
}

// Guards against a trace that a viewer cannot read.
func TestChromeTraceIsValidJSON(t *testing.T) {
	cases := [][]event.Event{
		nil,
		{{Time: 1 << 16, Instance: "a", Sequence: 1, Kind: event.TaskEnded, Worker: "w", DurationUS: 5}, {Instance: "b", Kind: event.StoreDown}},
	}
	for _, events := range cases {
		var out bytes.Buffer
		assert.NilError(t, event.WriteChromeTrace(&out, events))
		var doc struct {
			TraceEvents []map[string]any `json:"traceEvents"`
		}
		assert.NilError(t, json.Unmarshal(out.Bytes(), &doc))
		instants := 0
		for _, e := range doc.TraceEvents {
			if e["ph"] != "M" {
				instants++
			}
		}
		assert.Equal(t, instants, len(events))
	}
}

// Guards against a filter that matches other jobs or instances.
func TestFilterMatchesAllSetFields(t *testing.T) {
	e := event.Event{Job: "j", Instance: "a", Kind: event.TaskEnded}
	assert.Assert(t, event.Filter{}.Match(e))
	assert.Assert(t, event.Filter{Job: "j", Instance: "a"}.Match(e))
	assert.Assert(t, !event.Filter{Job: "j", Instance: "b"}.Match(e))
	assert.Assert(t, !event.Filter{Worker: "w"}.Match(e))
}
