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

// Guards against a source that lags or speaks for others overruling what the member itself says.
func TestDirectKnowledgeOutranksOtherSources(t *testing.T) {
	heard := func(ms int, state string, incarnation int64) func(*member.View) {
		return func(v *member.View) { v.ApplySelfReport(at(ms), peer("b", "d", state, incarnation), time.Millisecond) }
	}
	learned := func(ms int, state string, incarnation int64) func(*member.View) {
		return func(v *member.View) { v.ApplyPeerReport(at(ms), peer("b", "d", state, incarnation)) }
	}
	listed := func(ms int, state string, incarnation int64) func(*member.View) {
		return func(v *member.View) { v.ApplyInstanceList(at(ms), []member.Member{peer("b", "d", state, incarnation)}) }
	}
	missed := func(ms int) func(*member.View) {
		return func(v *member.View) { v.RecordFailedCall(at(ms), "b") }
	}
	cases := []struct {
		name  string
		steps []func(*member.View)
		want  string
	}{
		{"heard", []func(*member.View){heard(0, "live", 1)}, "live"},
		{"only listed", []func(*member.View){listed(0, "live", 1)}, "suspect"},
		{"only learned", []func(*member.View){learned(0, "live", 1)}, "suspect"},
		{"listed as gone and unknown", []func(*member.View){listed(0, "gone", 1)}, "unknown"},
		{"listed as gone while heard", []func(*member.View){heard(0, "live", 1), listed(1000, "gone", 1)}, "live"},
		{"listed as gone and silent", []func(*member.View){heard(0, "live", 1), listed(1600, "gone", 1)}, "gone"},
		{"old incarnation listed as gone", []func(*member.View){heard(0, "live", 2), listed(1600, "gone", 1)}, "live"},
		{"gone, then listed as live", []func(*member.View){heard(0, "gone", 1), listed(1600, "live", 1)}, "gone"},
		{"gone by itself, then a late message", []func(*member.View){heard(0, "gone", 1), heard(1, "live", 1)}, "gone"},
		{"gone by list, then heard", []func(*member.View){heard(0, "live", 1), listed(1600, "gone", 1), heard(1700, "live", 1)}, "live"},
		{"gone, then returned", []func(*member.View){heard(0, "gone", 1), heard(1, "live", 2)}, "live"},
		{"returned, then a late message", []func(*member.View){heard(0, "live", 2), heard(1, "gone", 1)}, "live"},
		{"leaving stays", []func(*member.View){heard(0, "leaving", 1), heard(1, "live", 1)}, "leaving"},
		{"leaving learned", []func(*member.View){heard(0, "live", 1), learned(1, "leaving", 1)}, "leaving"},
		{"leaving ends with the incarnation", []func(*member.View){heard(0, "leaving", 1), heard(1, "live", 2)}, "live"},
		{"gone learned is hearsay", []func(*member.View){heard(0, "live", 1), learned(1, "gone", 1)}, "live"},
		{"missed lately", []func(*member.View){heard(0, "live", 1), missed(500)}, "live"},
		{"missed", []func(*member.View){heard(0, "live", 1), missed(100)}, "suspect"},
		{"missed, then heard", []func(*member.View){heard(0, "live", 1), missed(100), heard(200, "live", 1)}, "live"},
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
func TestOwnerHasTheHighestEpoch(t *testing.T) {
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
