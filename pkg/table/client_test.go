package table_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/table"
	"github.com/daisyrack/daisyrack/pkg/table/fake"
)

// Guards against a commit that is applied twice, or reported with a wrong outcome, when its request
// or response is lost.
func TestCommitResolvesLostResponses(t *testing.T) {
	guarded := table.Transaction{
		Checks: []table.Check{{Key: "a"}},
		Puts:   []table.Put{{Key: "a", Value: []byte("1")}},
	}
	blind := table.Transaction{Puts: []table.Put{{Key: "a", Value: []byte("1")}}}
	cases := []struct {
		name    string
		tx      table.Transaction
		faults  []fake.Fault // of the calls in order; later calls have none
		want    table.Outcome
		applied int
	}{
		{"no fault", guarded, nil, table.Committed, 1},
		{"response lost", guarded, []fake.Fault{{DropResponse: true}}, table.Committed, 1},
		{"response lost, blind write", blind, []fake.Fault{{DropResponse: true}}, table.Committed, 1},
		{"response slower than the timeout", guarded, []fake.Fault{{ResponseDelay: 5 * time.Second}}, table.Committed, 1},
		{"response and token read lost", guarded, []fake.Fault{{DropResponse: true}, {DropRequest: true}}, table.Committed, 1},
		{"request lost", guarded, []fake.Fault{{DropRequest: true}}, table.Committed, 1},
		{"request lost, blind write", blind, []fake.Fault{{DropRequest: true}}, table.Unknown, 0},
		{"request and resend lost", guarded, []fake.Fault{{DropRequest: true}, {}, {DropRequest: true}}, table.Committed, 1},
		{"late effect after the resend", guarded, []fake.Fault{{LateEffect: time.Second}}, table.Committed, 1},
		{"late effect before the resend", guarded, []fake.Fault{{LateEffect: time.Millisecond}, {}, {RequestDelay: time.Second}}, table.Committed, 1},
		{"refused", guarded, []fake.Fault{{Status: 503}}, table.Refused, 0},
		{"too many calls", guarded, []fake.Fault{{Status: 429}}, table.Refused, 0},
		{"gateway timeout after the effect", guarded, []fake.Fault{{Status: 504}}, table.Committed, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := fake.Table{Fault: fake.Sequence(false, append(tc.faults, fake.Fault{})...)}
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

// Guards against a conflict with another writer's row that is reported as a commit of the lost
// request.
func TestCommitReportsConflictWithOtherWriterAfterLostRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		insert := table.Transaction{
			Checks: []table.Check{{Key: "a"}},
			Puts:   []table.Put{{Key: "a", Value: []byte("1")}},
		}
		first := true
		store.Fault = func(call fake.Call) fake.Fault {
			drop := first && call.Caller == "loser"
			first = first && !drop
			return fake.Fault{DropRequest: drop}
		}
		assert.Equal(t, store.Client("winner").Commit(t.Context(), insert).Outcome, table.Committed)
		res := store.Client("loser").Commit(t.Context(), insert)
		assert.Equal(t, res.Outcome, table.Conflict)
		assert.DeepEqual(t, res.Conflicts, []table.Check{{Key: "a", Version: 1}})
	})
}

// Guards against the outcome Unknown for a commit that was never sent.
func TestCommitIsRefusedWithoutConnection(t *testing.T) {
	dial := func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	client := table.Client{BaseURL: "http://table", HTTP: &http.Client{Transport: &http.Transport{DialContext: dial}}}
	ctx, cancel := context.WithCancel(t.Context())
	assert.Equal(t, client.Commit(ctx, table.Transaction{}).Outcome, table.Refused)
	cancel()
	assert.Equal(t, client.Commit(ctx, table.Transaction{}).Outcome, table.Refused)
	assert.Equal(t, client.LostAnswers.Load(), int64(0))
}

// Guards against a scan that ends after its first page or exceeds its share of the read budget.
func TestScanRowsReadsEveryPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store fake.Table
		client := store.Client("a")
		const pages = 5
		tx := table.Transaction{Puts: []table.Put{{Key: "other/x"}, {Key: "jobz"}}}
		for i := range pages * table.MaxPageRows {
			tx.Puts = append(tx.Puts, table.Put{Key: fmt.Sprintf("job/%d", i)})
		}
		assert.Equal(t, client.Commit(t.Context(), tx).Outcome, table.Committed)
		start := time.Now()
		rows, version, err := client.ScanRows(t.Context(), "job/")
		assert.NilError(t, err)
		assert.Equal(t, len(rows), pages*table.MaxPageRows)
		assert.Equal(t, version, int64(1))
		assert.Assert(t, time.Since(start) >= pages*time.Second/200)

		store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: 503} })
		_, _, err = client.ScanRows(t.Context(), "job/")
		assert.ErrorContains(t, err, "status 503")
	})
}

// Guards against object names that are changed by the escaping of paths.
func TestObjectNamesAreKept(t *testing.T) {
	var store fake.Table
	client := store.Client("a")
	names := []string{"usage/a", "once/a%2Fb/c", "once/a/b/c", "once/u/k?x#y", "once/u/\u00e4 %"}
	for _, name := range names {
		assert.NilError(t, client.PutObject(t.Context(), name, []byte(name)))
	}
	for _, name := range names {
		b, found, err := client.GetObject(t.Context(), name)
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.Equal(t, string(b), name)
		assert.NilError(t, client.DeleteObject(t.Context(), name))
	}
	_, found, err := client.GetObject(t.Context(), names[0])
	assert.NilError(t, err)
	assert.Assert(t, !found)
	assert.Equal(t, store.ObjectCount(), 0)
}
