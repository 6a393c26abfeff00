package work_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/work"
	"github.com/daisyrack/daisyrack/pkg/lease"
)

// Guards against a task that starts although the answer to a later claim of the
// same owner said that it is not held: the owner would start it elsewhere too.
func TestSyncOvertakenByClaimStartsNothing(t *testing.T) {
	s := newWorker()
	base := claim(t, s).base
	var again work.ClaimReply
	assert.Equal(t, call(t, s, "/v1/claim", work.Claim{Owner: "o", Epoch: 1, Sequence: 3}, &again), http.StatusOK)
	late := work.Sync{Owner: "o", Epoch: 1, Sequence: 2, RenewFromMs: base, Starts: []work.Start{start("t", lease.StayOnCutOff, 0, "")}}
	var refused work.ConflictReply
	assert.Equal(t, call(t, s, "/v1/sync", late, &refused), http.StatusConflict)
	assert.Equal(t, len(s.History().Runs), 0)
}
