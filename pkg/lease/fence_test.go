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

// Guards against a worker that obeys an older owner or two owners of one epoch.
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

// Guards against a claim that outlives its proven base.
func TestFenceLapsesAfterItsNewestBase(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name  string
		bases []time.Duration
		base  time.Duration // base that counts, 0 for none
	}{
		{"no base", nil, 0},
		{"base in the future", []time.Duration{now + 1}, 0},
		{"newest base", []time.Duration{now - 10, now}, now},
		{"older base arrives late", []time.Duration{now, now - 10}, now},
		{"future base after a good one", []time.Duration{now - 10, now + 10}, now - 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f lease.Fence
			for _, base := range c.bases {
				f.Renew(base, now)
			}
			for kind, limit := range map[lease.CutOffPolicy]time.Duration{
				lease.MoveOnCutOff: 20 * time.Second, lease.StayOnCutOff: 3900 * time.Second, "": 20 * time.Second,
			} {
				assert.Equal(t, f.Expired(kind, c.base+limit-1), c.base == 0)
				assert.Assert(t, f.Expired(kind, c.base+limit))
			}
		})
	}
}

// waits are the waiting times of section 4 of the design before a restart elsewhere, on the owner's clock.
var waits = map[lease.CutOffPolicy]time.Duration{lease.MoveOnCutOff: 22 * time.Second, lease.StayOnCutOff: 4096 * time.Second}

// owner is one of the two owners of the model.
type owner struct {
	name   string
	epoch  int64
	heard  []time.Duration // clocks of the worker that it received
	proven []time.Duration // newest proven base, none at first

	renewing int  // clocks heard when the renewal in progress began, -1 without one
	stored   bool // the renewal took effect in the store
}

// message is a sync on its way to the worker.
type message struct {
	from *owner
	base []time.Duration
}

// model is one worker and two owners in real time, which is also the owners' clock.
type model struct {
	fence    lease.Fence
	rate     float64 // of the worker's clock
	kind     lease.CutOffPolicy
	now      time.Duration
	inFlight []message

	older, newer *owner
	acquired     time.Duration // 0 while the older owner has the lease
	claimed      bool
	lastSync     time.Duration // when the newer owner last sent a proven base
}

func (m *model) clock() time.Duration {
	return time.Duration(float64(m.now) * m.rate)
}

// elsewhere is the moment from which the newer owner may start the tasks of this worker elsewhere.
func (m *model) elsewhere() time.Duration {
	return max(m.acquired, m.lastSync) + waits[m.kind]
}

func (m *model) mayStartElsewhere() bool {
	return m.acquired > 0 && m.now >= m.elsewhere()
}

// actions are the events that a network and pauses allow in any order.
func (m *model) actions(t *rapid.T) map[string]func(o *owner) {
	return map[string]func(o *owner){
		"pause": func(*owner) { m.now += time.Duration(rapid.Int64Range(1, int64(waits[m.kind])/4).Draw(t, "for")) },
		"pause until a start elsewhere is allowed": func(*owner) { m.now = max(m.now, m.elsewhere()) },
		"send":    m.send,
		"deliver": func(*owner) { m.deliver(t) },
		"begin renewal": func(o *owner) {
			o.renewing = len(o.heard)
			o.stored = false
		},
		"store renewal": func(o *owner) { o.stored = o.stored || o.renewing >= 0 && (o == m.newer || m.acquired == 0) },
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
	if o == m.newer && m.acquired == 0 {
		return
	}
	ok, _ := m.fence.Claim(o.name, o.epoch)
	m.claimed = m.claimed || o == m.newer
	assert.Equal(t, ok, o == m.newer || !m.claimed)
	if ok {
		o.heard = append(o.heard, m.clock())
	}
}

func (o *owner) endRenewal() {
	if o.stored && o.renewing > 0 {
		o.proven = []time.Duration{slices.Max(append(o.proven, o.heard[:o.renewing]...))}
	}
	o.renewing = -1
	o.stored = false
}

func (m *model) send(o *owner) {
	m.inFlight = append(m.inFlight, message{from: o, base: o.proven})
	if o == m.newer && o.proven != nil {
		m.lastSync = m.now
	}
}

// deliver hands any message in flight to the worker; it stays in flight and may arrive again.
func (m *model) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	msg := m.inFlight[rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")]
	if !m.fence.Admit(msg.from.name, msg.from.epoch) {
		return
	}
	for _, base := range msg.base {
		m.fence.Renew(base, m.clock())
	}
	msg.from.heard = append(msg.from.heard, m.clock())
	accepted := !m.fence.Expired(m.kind, m.clock())
	if msg.from == m.older && accepted {
		assert.Assert(t, !m.claimed, "start of the older owner accepted after the claim")
		assert.Assert(t, !m.mayStartElsewhere(),
			"start of the older owner accepted at %v, lease acquired at %v", m.now, m.acquired)
	}
}

// rounds of the property; 100 checks alone miss faults that need a rare order of events.
const rounds = 20

// Guards against a task on the worker of a paused or delayed owner while the newer owner may start it elsewhere.
func TestOlderOwnerNeverStartsWhatTheNewerMayStartElsewhere(t *testing.T) {
	for range rounds {
		rapid.Check(t, checkRestartElsewhere)
	}
}

func checkRestartElsewhere(t *rapid.T) {
	m := &model{
		now:   time.Hour,
		rate:  rapid.SampledFrom([]float64{1 / 1.05, 1, 1.05}).Draw(t, "rate"),
		kind:  rapid.SampledFrom([]lease.CutOffPolicy{lease.MoveOnCutOff, lease.StayOnCutOff}).Draw(t, "kind"),
		older: &owner{name: "older", epoch: 1, renewing: -1},
		newer: &owner{name: "newer", epoch: 2, renewing: -1},
	}
	m.claim(t, m.older)
	actions := m.actions(t)
	names := slices.Sorted(maps.Keys(actions))
	names = append(names, "send", "send", "deliver", "deliver", "deliver", "store renewal", "end renewal", "pause")
	for range rapid.IntRange(1, 300).Draw(t, "steps") {
		o := m.older
		if m.acquired > 0 && rapid.Bool().Draw(t, "newer") {
			o = m.newer
		}
		actions[rapid.SampledFrom(names).Draw(t, "event")](o)
		assert.Assert(t, !m.mayStartElsewhere() || m.fence.Expired(m.kind, m.clock()),
			"tasks still run at %v, lease acquired at %v", m.now, m.acquired)
	}
}
