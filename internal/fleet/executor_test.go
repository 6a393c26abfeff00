package fleet_test

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/pkg/place"
)

// Entries that differ in any field are not equal: a change that goes unnoticed would leave tasks on an
// executor that drains, or exceed the capacity of one that restarted smaller.
func TestEntriesThatDifferAreNotEqual(t *testing.T) {
	entry := func() fleet.Executor {
		return fleet.Executor{
			ID: "i", Service: "s", Address: "a", Domain: "d", Rack: "r", Labels: []string{"l"},
			Capacity: place.Resources{CPUMillis: 1, MemoryMB: 2, Accelerators: 3}, MinRemaining: 4, Incarnation: 5, EntryVersion: 6,
		}
	}
	a := entry()
	same := entry()
	assert.Assert(t, a.Equal(&same))
	for i := range reflect.TypeFor[fleet.Executor]().NumField() {
		other := entry()
		field := reflect.ValueOf(&other).Elem().Field(i)
		if field.Kind() == reflect.Bool {
			field.SetBool(true)
		} else {
			field.SetZero()
		}
		name := reflect.TypeFor[fleet.Executor]().Field(i).Name
		assert.Equal(t, a.Equal(&other), name == "EntryVersion", name)
	}
}
