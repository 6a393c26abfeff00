package work_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/work"
	"github.com/daisyrack/daisyrack/pkg/lease"
)

// Guards against a delayed sync that starts a task after a later claim of the same owner. The reply to
// that claim did not list the task, so the owner would start it on another worker as well.
func TestSyncDelayedPastClaimIsRejected(t *testing.T) {
	s := newWorker()
	renewFrom := claim(t, s).renewFrom
	var again work.ClaimReply
	assert.Equal(t, call(t, s, "/v1/claim", work.Claim{Owner: "o", Epoch: 1, Sequence: 3}, &again), http.StatusOK)
	late := work.Sync{Owner: "o", Epoch: 1, Sequence: 2, RenewFromMs: renewFrom, Starts: []work.Start{start("t", lease.StayOnCutOff, 0, "")}}
	var refused work.ConflictReply
	assert.Equal(t, call(t, s, "/v1/sync", late, &refused), http.StatusConflict)
	assert.Equal(t, len(s.History().Runs), 0)
}
