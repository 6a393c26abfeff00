package table_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// Guards against a write that is applied twice, or reported wrongly, when an answer is lost.
func TestCommitResolvesLostAnswers(t *testing.T) {
	guarded := table.Commit{
		Checks: []table.Check{{Key: "a"}},
		Puts:   []table.Put{{Key: "a", Value: []byte("1")}},
	}
	blind := table.Commit{Puts: []table.Put{{Key: "a", Value: []byte("1")}}}
	cases := []struct {
		name    string
		tx      table.Commit
		faults  []fake.Fault // of the calls in order; later calls have none
		want    table.Outcome
		applied int
	}{
		{"no fault", guarded, nil, table.Committed, 1},
		{"answer lost", guarded, []fake.Fault{{Lose: true}}, table.Committed, 1},
		{"answer lost, blind", blind, []fake.Fault{{Lose: true}}, table.Committed, 1},
		{"answer slower than the timeout", guarded, []fake.Fault{{After: 5 * time.Second}}, table.Committed, 1},
		{"answer and token read lost", guarded, []fake.Fault{{Lose: true}, {Drop: true}}, table.Committed, 1},
		{"request lost", guarded, []fake.Fault{{Drop: true}}, table.Committed, 1},
		{"request lost, blind", blind, []fake.Fault{{Drop: true}}, table.Unknown, 0},
		{"request and repeat lost", guarded, []fake.Fault{{Drop: true}, {}, {Drop: true}}, table.Committed, 1},
		{"request late, repeat first", guarded, []fake.Fault{{Late: time.Second}}, table.Committed, 1},
		{"request late, before the repeat", guarded, []fake.Fault{{Late: time.Millisecond}, {}, {Before: time.Second}}, table.Committed, 1},
		{"refused", guarded, []fake.Fault{{Status: 503}}, table.Refused, 0},
		{"too many calls", guarded, []fake.Fault{{Status: 429}}, table.Refused, 0},
		{"gateway timeout after the effect", guarded, []fake.Fault{{Status: 504}}, table.Committed, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store fake.Table
				calls := 0
				store.Fault = func(fake.Call) fake.Fault {
					calls++
					if calls <= len(tc.faults) {
						return tc.faults[calls-1]
					}
					return fake.Fault{}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				res := store.Client("a").Commit(ctx, tc.tx)
				assert.Equal(t, res.Outcome, tc.want, "%v", res.Err)
				time.Sleep(5 * time.Second)
				assert.Equal(t, store.Stats().Applied, tc.applied)
				if row, ok := store.Get("a"); ok {
					assert.Equal(t, res.Version, row.Version)
				}
			})
		})
	}
}

// Guards against a conflict with another writer that is taken for the own lost write.
func TestCommitReportsForeignConflictAfterLostRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		insert := table.Commit{
			Checks: []table.Check{{Key: "a"}},
			Puts:   []table.Put{{Key: "a", Value: []byte("1")}},
		}
		first := true
		store.Fault = func(call fake.Call) fake.Fault {
			drop := first && call.Caller == "loser"
			first = first && !drop
			return fake.Fault{Drop: drop}
		}
		assert.Equal(t, store.Client("winner").Commit(t.Context(), insert).Outcome, table.Committed)
		res := store.Client("loser").Commit(t.Context(), insert)
		assert.Equal(t, res.Outcome, table.Conflict)
		assert.DeepEqual(t, res.Conflicts, []table.Check{{Key: "a", Version: 1}})
	})
}
