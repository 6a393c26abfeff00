package fleet_test

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// boundFields tells, for each field of each call, whether a call with it may only reach the incarnation that it is
// meant for. Each part of a start depends on the ticket, the lease and the room that it was decided with.
var boundFields = map[string]map[string]bool{
	"Start": {
		"Task": true, "Number": true, "Text": true, "Checkpoint": true, "Ticket": true, "LeaseEnd": true,
		"Incarnation": true, "Epoch": true,
	},
	"Stop":     {"Task": false, "Number": false, "Epoch": false},
	"Throttle": {"Task": false, "Number": false, "Percent": false, "Epoch": false},
	"Poll": {
		"LeaseEnd": true, "AckedSequence": true, "Epoch": false, "Wait": false,
		"KnownSequence": false, "Incarnation": false, "Timeout": false, // not sent
	},
}

// Guards against a task that runs twice and against ends that are lost: a field that belongs to one incarnation and
// reaches the next one. A new field has to say whether it does.
func TestFieldsThatBelongToOneIncarnation(t *testing.T) {
	const incarnation = 7
	for _, call := range []any{&fleet.Start{}, &fleet.Stop{}, &fleet.Throttle{}, &fleet.Poll{}} {
		kind := reflect.TypeOf(call).Elem()
		assert.Equal(t, kind.NumField(), len(boundFields[kind.Name()]), "fields of %s", kind.Name())
		for i := range kind.NumField() {
			bound, known := boundFields[kind.Name()][kind.Field(i).Name]
			assert.Assert(t, known, "%s.%s is not in the table", kind.Name(), kind.Field(i).Name)
			v := reflect.New(kind)
			if f := v.Elem().FieldByName("Incarnation"); f.IsValid() {
				f.SetInt(incarnation)
			}
			switch f := v.Elem().Field(i); f.Kind() {
			case reflect.String:
				f.SetString("a")
			case reflect.Struct:
				f.Set(reflect.ValueOf(fleet.TaskID{Job: "a"}))
			default:
				f.SetInt(incarnation)
			}
			want := int64(0)
			if bound {
				want = incarnation
			}
			target := v.Interface().(interface{ Target() int64 }).Target()
			assert.Equal(t, target, want, "%s.%s", kind.Name(), kind.Field(i).Name)
		}
	}
}
