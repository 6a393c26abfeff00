package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/member"
	"github.com/daisyrack/daisyrack/pkg/peer"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

const (
	// beatInterval is how often it is checked which heartbeats are due.
	beatInterval = 50 * time.Millisecond

	// beatTimeout bounds one heartbeat.
	beatTimeout = time.Second

	// maxBeats bounds the heartbeats in progress.
	maxBeats = 128

	// noticeInterval is how often the states of the others are looked at.
	noticeInterval = 250 * time.Millisecond

	// mirrorBatch bounds the events looked at for one heartbeat.
	mirrorBatch = 512

	// mirrorRequests bounds the events of requests that go with one heartbeat:
	// 16 every 500 ms at 115 bytes keep the copies within 4 KB/s. Changes of
	// state always go.
	mirrorRequests = 16
)

// members guards the membership view, which one goroutine may use at a time.
type members struct {
	node  *Instance
	beats chan struct{}

	mu     sync.Mutex
	view   member.View
	states map[string]string
	// count is the number of entry instances that have not ended.
	count int
	// sent is the last event that the mirroring peer has.
	sent   uint64
	sentTo string
}

func (n *Instance) buildMembers() {
	n.PeerClient = &peer.Client{Dial: n.security.Dial}
	n.members = &members{node: n, beats: make(chan struct{}, maxBeats), states: make(map[string]string)}
	n.members.view.Self = member.Member{
		Name:          n.Settings.Name,
		Address:       n.PeerAddress(),
		HTTPAddress:   n.HTTPAddress(),
		FailureDomain: n.Settings.FailureDomain,
		State:         member.StateLive,
		Incarnation:   n.Incarnation,
	}
}

// addresses returns where to find other instances: those known and those of the settings.
func (m *members) addresses() []string {
	list := append([]string(nil), m.node.Settings.Peers...)
	for _, s := range m.list(time.Now()) {
		if s.Name != m.node.Settings.Name && s.State != member.StateGone {
			list = append(list, s.Address)
		}
	}
	return list
}

func (m *members) list(now time.Time) []member.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Members(now)
}

func (m *members) owner(now time.Time, domain string) (member.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Owner(now, domain)
}

func (m *members) listed(now time.Time, entries []member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Listed(now, entries)
}

// self returns this instance as others are to see it.
func (m *members) self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Self.ConfigRevision = m.node.Config.Current().Revision
	m.view.Self.OwnedEpoch = m.node.Owner.Epoch()
	return m.view.Self
}

func (m *members) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Leave()
}

// run sends the heartbeats that are due and notices changes.
func (m *members) run(ctx context.Context) error {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	m.greet(ctx, &wg)
	var noticed time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		self := m.self()
		now := time.Now()
		for _, target := range m.due(now) {
			m.beat(ctx, &wg, target, self)
		}
		if now.Sub(noticed) >= noticeInterval {
			noticed = now
			m.notice(now)
		}
		m.node.lender.borrow(now)
	}
}

// greet calls the addresses of the settings, whose names are not known yet.
func (m *members) greet(ctx context.Context, wg *sync.WaitGroup) {
	self := m.self()
	for _, address := range m.node.Settings.Peers {
		m.beat(ctx, wg, member.Member{Address: address}, self)
	}
}

func (m *members) due(now time.Time) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Targets(now)
}

// beat sends one heartbeat; above the bound it counts as missed.
func (m *members) beat(ctx context.Context, wg *sync.WaitGroup, target, self member.Member) {
	select {
	case m.beats <- struct{}{}:
	default:
		m.missed(target)
		return
	}
	wg.Go(func() {
		defer func() { <-m.beats }()
		m.exchange(ctx, target, self)
	})
}

func (m *members) missed(target member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Missed(time.Now(), target.Name)
}

func (m *members) exchange(ctx context.Context, target, self member.Member) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	msg := &wire.Heartbeat{Sender: toWire(self), HybridTime: m.node.Clock.Now()}
	if m.lends(target) {
		msg.Demands = demandsToWire(m.node.Router.CollectDemands())
	}
	events := m.toMirror(target.Name)
	msg.Events = eventsToWire(thin(events))
	sentAt := time.Now()
	res, outcome, err := m.node.PeerClient.Call(ctx, target.Address, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: msg}})
	reply := res.GetHeartbeat()
	if err != nil || outcome != peer.Answered || reply == nil {
		m.missed(target)
		return
	}
	now := time.Now()
	if len(events) > 0 {
		m.mirrored(target.Name, events[len(events)-1].Sequence)
	}
	m.node.Clock.Observe(reply.GetHybridTime())
	m.heard(now, fromWire(reply.GetSender()), now.Sub(sentAt))
	m.learn(now, reply.GetMembers())
	if grants := reply.GetGrants(); len(grants) > 0 {
		// The owner counts the lease from before it answered; counted from the
		// arrival, it would outlive the owner's record of it.
		m.node.Router.ApplyGrants(sentAt, grantsFromWire(grants))
	}
}

// lends tells whether a member owns the failure domain of this instance and so
// lends the slots of its backend servers.
func (m *members) lends(target member.Member) bool {
	owner, ok := m.owner(time.Now(), m.node.Settings.FailureDomain)
	return ok && owner.Name == target.Name
}

func (m *members) heard(now time.Time, other member.Member, rtt time.Duration) {
	m.mu.Lock()
	m.view.Heard(now, other, rtt)
	m.mu.Unlock()
	m.node.ConfigWatcher.OnPeerRevision(other.Address, other.ConfigRevision)
}

func (m *members) learn(now time.Time, others []*wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range others {
		m.view.Learned(now, fromWire(o))
	}
}

// mirror returns the next instance of the failure domain, which keeps copies of
// this instance's events.
func (m *members) mirror(now time.Time) string {
	first, next := "", ""
	for _, o := range m.view.Live(now, m.view.Self.FailureDomain) {
		if o.Name == m.view.Self.Name {
			continue
		}
		if first == "" {
			first = o.Name
		}
		if next == "" && o.Name > m.view.Self.Name {
			next = o.Name
		}
	}
	if next != "" {
		return next
	}
	return first
}

// toMirror returns the events that go with a heartbeat to the mirroring instance.
func (m *members) toMirror(target string) []event.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	if target == "" || m.mirror(time.Now()) != target {
		return nil
	}
	if m.sentTo != target {
		m.sentTo = target
		m.sent = 0
	}
	return m.node.EventRing.After(m.sent, mirrorBatch)
}

// thin leaves out the events of requests beyond the bound.
func thin(events []event.Event) []event.Event {
	requests := 0
	return slices.DeleteFunc(slices.Clone(events), func(e event.Event) bool {
		if e.Request == "" {
			return false
		}
		requests++
		return requests > mirrorRequests
	})
}

func (m *members) mirrored(target string, sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sentTo == target {
		m.sent = max(m.sent, sequence)
	}
}

// notice records changes of the other instances' states.
func (m *members) notice(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count = 0
	for _, s := range m.view.Members(now) {
		if s.State != member.StateGone {
			m.count++
		}
		if m.states[s.Name] == s.State {
			continue
		}
		m.states[s.Name] = s.State
		m.node.record(event.Event{Kind: event.MemberChanged, Detail: s.Name + " " + s.State})
		m.node.Log.WithField("member", s.Name).WithField("state", s.State).Info("member changed")
	}
	m.node.Router.SetPeerCount(m.peers(now))
}

// peers counts the entry instances of the failure domain that may hold shares.
func (m *members) peers(now time.Time) int {
	n := 1
	for _, s := range m.view.Members(now) {
		if s.FailureDomain == m.view.Self.FailureDomain && s.Name != m.view.Self.Name && s.State != member.StateGone {
			n++
		}
	}
	return n
}

// entries counts the entry instances of all failure domains that have not ended.
func (m *members) entries() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.count)
}

// farewell tells the others that this instance has ended.
func (m *members) farewell(ctx context.Context) {
	self := m.self()
	self.State = member.StateGone
	self.OwnedEpoch = 0
	var wg sync.WaitGroup
	for _, s := range m.list(time.Now()) {
		if s.Name != self.Name && s.FailureDomain == self.FailureDomain && s.State != member.StateGone {
			m.beat(ctx, &wg, s.Member, self)
		}
	}
	wg.Wait()
}
