package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/member"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func peer(name, domain, state string, incarnation int64) member.Member {
	return member.Member{
		Name:          name,
		Address:       "10.0.0.1:1",
		FailureDomain: domain,
		State:         state,
		Incarnation:   incarnation,
	}
}

func stateOf(v *member.View, now time.Time, name string) string {
	for _, s := range v.Members(now) {
		if s.Name == name {
			return s.State
		}
	}
	return "unknown"
}

// Guards against a lagging or second-hand source overriding what the member reported about itself.
func TestSelfReportsOverrideOtherSources(t *testing.T) {
	selfReport := func(ms int, state string, incarnation int64) func(*member.View) {
		return func(v *member.View) { v.ApplySelfReport(at(ms), peer("b", "d", state, incarnation), time.Millisecond) }
	}
	peerReport := func(ms int, state string, incarnation int64) func(*member.View) {
		return func(v *member.View) { v.ApplyPeerReport(at(ms), peer("b", "d", state, incarnation)) }
	}
	inList := func(ms int, state string, incarnation int64) func(*member.View) {
		return func(v *member.View) { v.ApplyInstanceList(at(ms), []member.Member{peer("b", "d", state, incarnation)}) }
	}
	failedCall := func(ms int) func(*member.View) {
		return func(v *member.View) { v.RecordFailedCall(at(ms), "b") }
	}
	cases := []struct {
		name  string
		steps []func(*member.View)
		want  string
	}{
		{"self-reported", []func(*member.View){selfReport(0, "live", 1)}, "live"},
		{"only in list", []func(*member.View){inList(0, "live", 1)}, "suspect"},
		{"only reported by peer", []func(*member.View){peerReport(0, "live", 1)}, "suspect"},
		{"listed as gone and unknown", []func(*member.View){inList(0, "gone", 1)}, "unknown"},
		{"listed as gone, heard recently", []func(*member.View){selfReport(0, "live", 1), inList(1000, "gone", 1)}, "live"},
		{"listed as gone, unresponsive", []func(*member.View){selfReport(0, "live", 1), inList(1600, "gone", 1)}, "gone"},
		{"old incarnation listed as gone", []func(*member.View){selfReport(0, "live", 2), inList(1600, "gone", 1)}, "live"},
		{"gone, then listed as live", []func(*member.View){selfReport(0, "gone", 1), inList(1600, "live", 1)}, "gone"},
		{"self-reported gone, then a late message", []func(*member.View){selfReport(0, "gone", 1), selfReport(1, "live", 1)}, "gone"},
		{"gone by list, then self-reported live", []func(*member.View){selfReport(0, "live", 1), inList(1600, "gone", 1), selfReport(1700, "live", 1)}, "live"},
		{"gone, then restarted", []func(*member.View){selfReport(0, "gone", 1), selfReport(1, "live", 2)}, "live"},
		{"restarted, then a late message", []func(*member.View){selfReport(0, "live", 2), selfReport(1, "gone", 1)}, "live"},
		{"leaving persists", []func(*member.View){selfReport(0, "leaving", 1), selfReport(1, "live", 1)}, "leaving"},
		{"leaving reported by peer", []func(*member.View){selfReport(0, "live", 1), peerReport(1, "leaving", 1)}, "leaving"},
		{"leaving ends with the incarnation", []func(*member.View){selfReport(0, "leaving", 1), selfReport(1, "live", 2)}, "live"},
		{"gone reported by peer is ignored", []func(*member.View){selfReport(0, "live", 1), peerReport(1, "gone", 1)}, "live"},
		{"call failed recently", []func(*member.View){selfReport(0, "live", 1), failedCall(500)}, "live"},
		{"call failed", []func(*member.View){selfReport(0, "live", 1), failedCall(100)}, "suspect"},
		{"call failed, then self-reported", []func(*member.View){selfReport(0, "live", 1), failedCall(100), selfReport(200, "live", 1)}, "live"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := &member.View{Self: peer("a", "d", "live", 1)}
			for _, step := range c.steps {
				step(v)
			}
			assert.Equal(t, stateOf(v, at(1700), "b"), c.want)
		})
	}
}

// Guards against calls to an instance that has lost its lease.
func TestOwnerIsMemberWithHighestEpoch(t *testing.T) {
	v := &member.View{Self: peer("a", "d", "live", 1)}
	old := peer("b", "d", "live", 1)
	old.OwnedEpoch = 4
	v.ApplySelfReport(start, old, 0)
	next := peer("c", "d", "live", 1)
	next.OwnedEpoch = 5
	v.ApplySelfReport(start, next, 0)
	owner, ok := v.Owner(start, "d")
	assert.Assert(t, ok)
	assert.Equal(t, owner.Name, "c")
	next.State = member.StateGone
	v.ApplySelfReport(start, next, 0)
	_, ok = v.Owner(start, "d")
	assert.Assert(t, !ok)
}
