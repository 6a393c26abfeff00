package lease_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/lease"
)

// A worker must not accept commands of a former owner or of two owners in the same epoch.
func TestFenceAdmitsOnlyTheHighestClaim(t *testing.T) {
	for _, c := range []struct {
		name    string
		owner   string
		epoch   int64
		ok      bool
		current int64
	}{
		{"older owner", "a", 4, false, 5},
		{"same owner from an older epoch", "b", 4, false, 5},
		{"same owner again", "b", 5, true, 5},
		{"other owner of the same epoch", "a", 5, false, 5},
		{"newer owner", "a", 6, true, 6},
		{"owner without a name", "", 7, false, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f lease.Fence
			assert.Assert(t, !f.Admit("", 0), "a fence without a claim admits nobody")
			f.Claim("b", 5)
			ok, current := f.Claim(c.owner, c.epoch)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, current, c.current)
			assert.Equal(t, f.Admit(c.owner, c.epoch), c.ok)
			assert.Equal(t, f.Admit("b", 5), c.current == 5)
		})
	}
	var f lease.Fence
	ok, _ := f.Claim("a", 0)
	assert.Assert(t, !ok, "epochs begin at 1")
}

// A claim must expire one timeout after the latest valid renewal time.
func TestFenceExpiresAfterLatestRenewalTime(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name         string
		renewalTimes []time.Duration
		latest       time.Duration // latest valid renewal time, 0 for none
	}{
		{"no renewal time", nil, 0},
		{"renewal time in the future", []time.Duration{now + 1}, 0},
		{"latest renewal time", []time.Duration{now - 10, now}, now},
		{"older renewal time arrives late", []time.Duration{now, now - 10}, now},
		{"future renewal time after a valid one", []time.Duration{now - 10, now + 10}, now - 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f lease.Fence
			for _, renewalTime := range c.renewalTimes {
				f.Renew(renewalTime, now)
			}
			for policy, timeout := range map[lease.CutOffPolicy]time.Duration{
				lease.MoveOnCutOff: 20 * time.Second, lease.StayOnCutOff: 3900 * time.Second, "": 20 * time.Second,
			} {
				assert.Equal(t, f.Expired(policy, c.latest+timeout-1), c.latest == 0)
				assert.Assert(t, f.Expired(policy, c.latest+timeout))
			}
		})
	}
}

// restartDelays are the delays of section 4 of the design before a restart elsewhere, on the owner's clock.
var restartDelays = map[lease.CutOffPolicy]time.Duration{lease.MoveOnCutOff: 22 * time.Second, lease.StayOnCutOff: 4096 * time.Second}

// owner is one of the two owners of the model.
type owner struct {
	name      string
	epoch     int64
	clocks    []time.Duration // readings of the worker's clock that it received
	confirmed []time.Duration // latest renewal time, none at first

	renewing int  // number of clocks when the renewal in progress began, -1 without one
	stored   bool // the renewal was committed to the store
}

// message is a sync in flight to the worker.
type message struct {
	from         *owner
	renewalTimes []time.Duration
}

// model is one worker and two owners. Its time is also the owners' clock.
type model struct {
	fence    lease.Fence
	rate     float64 // of the worker's clock relative to the model's time
	policy   lease.CutOffPolicy
	now      time.Duration
	inFlight []message

	former, current *owner
	acquired        time.Duration // when the current owner acquired the lease, 0 before
	claimed         bool
	lastSync        time.Duration // when the current owner last sent a renewal time
}

func (m *model) clock() time.Duration {
	return time.Duration(float64(m.now) * m.rate)
}

// restartAllowedAt returns when the current owner may restart the tasks of this worker elsewhere.
func (m *model) restartAllowedAt() time.Duration {
	return max(m.acquired, m.lastSync) + restartDelays[m.policy]
}

func (m *model) mayRestartElsewhere() bool {
	return m.acquired > 0 && m.now >= m.restartAllowedAt()
}

// actions returns the events that can occur in any order under network faults and pauses.
func (m *model) actions(t *rapid.T) map[string]func(o *owner) {
	return map[string]func(o *owner){
		"pause": func(*owner) {
			m.now += time.Duration(rapid.Int64Range(1, int64(restartDelays[m.policy])/4).Draw(t, "for"))
		},
		"pause until a start elsewhere is allowed": func(*owner) { m.now = max(m.now, m.restartAllowedAt()) },
		"send":    m.send,
		"deliver": func(*owner) { m.deliver(t) },
		"begin renewal": func(o *owner) {
			o.renewing = len(o.clocks)
			o.stored = false
		},
		"store renewal": func(o *owner) { o.stored = o.stored || o.renewing >= 0 && (o == m.current || m.acquired == 0) },
		"end renewal":   func(o *owner) { o.endRenewal() },
		"acquire": func(*owner) {
			if m.acquired == 0 {
				m.acquired = m.now
			}
		},
		"claim": func(o *owner) { m.claim(t, o) },
	}
}

func (m *model) claim(t *rapid.T, o *owner) {
	if o == m.current && m.acquired == 0 {
		return
	}
	ok, _ := m.fence.Claim(o.name, o.epoch)
	m.claimed = m.claimed || o == m.current
	assert.Equal(t, ok, o == m.current || !m.claimed)
	if ok {
		o.clocks = append(o.clocks, m.clock())
	}
}

func (o *owner) endRenewal() {
	if o.stored && o.renewing > 0 {
		o.confirmed = []time.Duration{slices.Max(append(o.confirmed, o.clocks[:o.renewing]...))}
	}
	o.renewing = -1
	o.stored = false
}

func (m *model) send(o *owner) {
	m.inFlight = append(m.inFlight, message{from: o, renewalTimes: o.confirmed})
	if o == m.current && o.confirmed != nil {
		m.lastSync = m.now
	}
}

// deliver delivers any message in flight to the worker. The message stays in flight and may be
// delivered again.
func (m *model) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	msg := m.inFlight[rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")]
	if !m.fence.Admit(msg.from.name, msg.from.epoch) {
		return
	}
	for _, renewalTime := range msg.renewalTimes {
		m.fence.Renew(renewalTime, m.clock())
	}
	msg.from.clocks = append(msg.from.clocks, m.clock())
	accepted := !m.fence.Expired(m.policy, m.clock())
	if msg.from == m.former && accepted {
		assert.Assert(t, !m.claimed, "start of the former owner accepted after the claim")
		assert.Assert(t, !m.mayRestartElsewhere(),
			"start of the former owner accepted at %v, lease acquired at %v", m.now, m.acquired)
	}
}

// rounds is how often the property is checked. A single round of 100 checks misses faults that need
// a rare order of events.
const rounds = 20

// A worker must not start or run a task of a paused or delayed former owner once the current owner
// may start it elsewhere.
func TestFormerOwnerNeverStartsTaskRestartableElsewhere(t *testing.T) {
	for range rounds {
		rapid.Check(t, checkRestartElsewhere)
	}
}

func checkRestartElsewhere(t *rapid.T) {
	m := &model{
		now:     time.Hour,
		rate:    rapid.SampledFrom([]float64{1 / 1.05, 1, 1.05}).Draw(t, "rate"),
		policy:  rapid.SampledFrom([]lease.CutOffPolicy{lease.MoveOnCutOff, lease.StayOnCutOff}).Draw(t, "policy"),
		former:  &owner{name: "former", epoch: 1, renewing: -1},
		current: &owner{name: "current", epoch: 2, renewing: -1},
	}
	m.claim(t, m.former)
	actions := m.actions(t)
	names := slices.Sorted(maps.Keys(actions))
	names = append(names, "send", "send", "deliver", "deliver", "deliver", "store renewal", "end renewal", "pause")
	for range rapid.IntRange(1, 300).Draw(t, "steps") {
		o := m.former
		if m.acquired > 0 && rapid.Bool().Draw(t, "current") {
			o = m.current
		}
		actions[rapid.SampledFrom(names).Draw(t, "event")](o)
		assert.Assert(t, !m.mayRestartElsewhere() || m.fence.Expired(m.policy, m.clock()),
			"tasks still run at %v, lease acquired at %v", m.now, m.acquired)
	}
}
