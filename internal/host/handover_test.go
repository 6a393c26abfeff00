package host_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/wire"
)

// Guards against a task that runs twice: leases that an owner has told of are out of date once there was another owner.
func TestSuccessorUsesLeasesOfTheLastOwnerOnly(t *testing.T) {
	for _, tt := range []struct {
		ended int64
		want  map[string]time.Duration
	}{
		{ended: 3, want: map[string]time.Duration{"x0": 7 * time.Second}},
		{ended: 2},
	} {
		owner, r, _ := startFollower(t)
		r.mu.Lock()
		r.commits, r.clock = true, time.Hour
		r.mu.Unlock()
		owner.mu.Lock()
		owner.reply = &wire.FollowReply{Resigned: true, EndedEpoch: tt.ended, Leases: []*wire.Lease{{Executor: "x0", ExpiresMs: 7000}}}
		owner.mu.Unlock()
		waitFor(t, "the takeover", func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.inTerm
		})
		assert.DeepEqual(t, r.driver.PriorLeases, tt.want)
	}
}
