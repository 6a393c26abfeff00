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
	// heartbeatCheckInterval is the time between checks for heartbeats that are due.
	heartbeatCheckInterval = 50 * time.Millisecond

	// heartbeatTimeout limits one heartbeat and its reply.
	heartbeatTimeout = time.Second

	// maxHeartbeatsInFlight is the maximum number of concurrent heartbeats.
	maxHeartbeatsInFlight = 128

	// stateCheckInterval is the time between checks for state changes of other instances.
	stateCheckInterval = 250 * time.Millisecond

	// mirrorBatchSize is the maximum number of events that are considered for one heartbeat.
	mirrorBatchSize = 512

	// maxMirroredRequests is the maximum number of request events in one heartbeat: 16 every
	// 500 ms at 115 bytes keep mirroring below 4 KB/s. State changes are always sent.
	maxMirroredRequests = 16
)

// membership exchanges heartbeats with the other entry instances and guards the view of them,
// which only one goroutine may use at a time.
type membership struct {
	instance *Instance
	// inFlight is a semaphore for heartbeats.
	inFlight chan struct{}

	mu     sync.Mutex
	view   member.View
	states map[string]string
	// active is the number of entry instances that are not gone.
	active int
	// mirroredSequence is the sequence number up to which mirroredTo has the events, except for
	// request events that were dropped.
	mirroredSequence uint64
	mirroredTo       string
}

func (inst *Instance) buildMembership() {
	inst.PeerClient = &peer.Client{Dial: inst.security.Dial}
	inst.membership = &membership{instance: inst, inFlight: make(chan struct{}, maxHeartbeatsInFlight), states: make(map[string]string)}
	inst.membership.view.Self = member.Member{
		Name:          inst.Settings.Name,
		Address:       inst.PeerAddress(),
		HTTPAddress:   inst.HTTPAddress(),
		FailureDomain: inst.Settings.FailureDomain,
		State:         member.StateLive,
		Incarnation:   inst.Incarnation,
	}
}

// addresses returns the addresses of other instances: those in the settings and those of known
// members.
func (m *membership) addresses() []string {
	list := append([]string(nil), m.instance.Settings.Peers...)
	for _, s := range m.list(time.Now()) {
		if s.Name != m.instance.Settings.Name && s.State != member.StateGone {
			list = append(list, s.Address)
		}
	}
	return list
}

func (m *membership) list(now time.Time) []member.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Members(now)
}

func (m *membership) owner(now time.Time, domain string) (member.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Owner(now, domain)
}

func (m *membership) applyInstanceList(now time.Time, entries []member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.ApplyInstanceList(now, entries)
}

// self returns this instance as it is announced to others.
func (m *membership) self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Self.ConfigRevision = m.instance.Config.Current().Revision
	m.view.Self.OwnedEpoch = m.instance.Owner.Epoch()
	return m.view.Self
}

func (m *membership) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MarkLeaving()
}

// run sends heartbeats that are due, records state changes, and grants slots to this instance
// while it is the owner.
func (m *membership) run(ctx context.Context) error {
	tick := time.NewTicker(heartbeatCheckInterval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	m.contactPeers(ctx, &wg)
	var lastStateCheck time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		self := m.self()
		now := time.Now()
		for _, target := range m.dueTargets(now) {
			m.sendHeartbeat(ctx, &wg, target, self)
		}
		if now.Sub(lastStateCheck) >= stateCheckInterval {
			lastStateCheck = now
			m.recordStateChanges(now)
		}
		m.instance.slotGranter.grantSelf(now)
	}
}

// contactPeers sends a heartbeat to each address in the settings; the names are not known yet.
func (m *membership) contactPeers(ctx context.Context, wg *sync.WaitGroup) {
	self := m.self()
	for _, address := range m.instance.Settings.Peers {
		m.sendHeartbeat(ctx, wg, member.Member{Address: address}, self)
	}
}

func (m *membership) dueTargets(now time.Time) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.HeartbeatTargets(now)
}

// sendHeartbeat sends one heartbeat in the background. If too many are in flight it counts as
// missed.
func (m *membership) sendHeartbeat(ctx context.Context, wg *sync.WaitGroup, target, self member.Member) {
	select {
	case m.inFlight <- struct{}{}:
	default:
		m.recordMissed(target)
		return
	}
	wg.Go(func() {
		defer func() { <-m.inFlight }()
		m.exchangeHeartbeat(ctx, target, self)
	})
}

func (m *membership) recordMissed(target member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.RecordFailedCall(time.Now(), target.Name)
}

// exchangeHeartbeat sends one heartbeat, with demands for slots and events to mirror if they are
// meant for target, and processes the reply.
func (m *membership) exchangeHeartbeat(ctx context.Context, target, self member.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	msg := &wire.Heartbeat{Sender: memberToWire(self), HybridTime: m.instance.Clock.Now()}
	if m.grantsSlots(target) {
		msg.Demands = demandsToWire(m.instance.Router.CollectDemands())
	}
	events := m.eventsToMirror(target.Name)
	msg.Events = eventsToWire(limitRequestEvents(events))
	sentAt := time.Now()
	res, outcome, err := m.instance.PeerClient.Call(ctx, target.Address, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: msg}})
	reply := res.GetHeartbeat()
	if err != nil || outcome != peer.Answered || reply == nil {
		m.recordMissed(target)
		return
	}
	now := time.Now()
	if len(events) > 0 {
		m.markMirrored(target.Name, events[len(events)-1].Sequence)
	}
	m.instance.Clock.Observe(reply.GetHybridTime())
	m.recordHeartbeat(now, memberFromWire(reply.GetSender()), now.Sub(sentAt))
	m.learnMembers(now, reply.GetMembers())
	if grants := reply.GetGrants(); len(grants) > 0 {
		// The TTL of a grant runs from the time before the owner replied. If it ran from the
		// arrival of the reply, the grant would outlive the owner's record of it.
		m.instance.Router.ApplyGrants(sentAt, grantsFromWire(grants))
	}
}

// grantsSlots reports whether a member owns the failure domain of this instance and therefore
// grants the slots of its backend servers.
func (m *membership) grantsSlots(target member.Member) bool {
	owner, ok := m.owner(time.Now(), m.instance.Settings.FailureDomain)
	return ok && owner.Name == target.Name
}

// recordHeartbeat records a heartbeat or reply of another instance; an rtt of 0 means that none
// was measured.
func (m *membership) recordHeartbeat(now time.Time, other member.Member, rtt time.Duration) {
	m.mu.Lock()
	m.view.ApplySelfReport(now, other, rtt)
	m.mu.Unlock()
	m.instance.ConfigWatcher.OnPeerRevision(other.Address, other.ConfigRevision)
}

// learnMembers adds members that another instance knows.
func (m *membership) learnMembers(now time.Time, others []*wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range others {
		m.view.ApplyPeerReport(now, memberFromWire(o))
	}
}

// mirrorTarget returns the instance that keeps copies of this instance's events: the next one of
// the failure domain by name, wrapping around to the first one. The caller must hold mu.
func (m *membership) mirrorTarget(now time.Time) string {
	first, next := "", ""
	for _, o := range m.view.Available(now, m.view.Self.FailureDomain) {
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

// eventsToMirror returns the events to send with a heartbeat to target, none if target is not the
// mirror target.
func (m *membership) eventsToMirror(target string) []event.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	if target == "" || m.mirrorTarget(time.Now()) != target {
		return nil
	}
	if m.mirroredTo != target {
		m.mirroredTo = target
		m.mirroredSequence = 0
	}
	return m.instance.EventRing.After(m.mirroredSequence, mirrorBatchSize)
}

// limitRequestEvents drops request events beyond maxMirroredRequests.
func limitRequestEvents(events []event.Event) []event.Event {
	requests := 0
	return slices.DeleteFunc(slices.Clone(events), func(e event.Event) bool {
		if e.Request == "" {
			return false
		}
		requests++
		return requests > maxMirroredRequests
	})
}

// markMirrored records that target has the events up to sequence.
func (m *membership) markMirrored(target string, sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mirroredTo == target {
		m.mirroredSequence = max(m.mirroredSequence, sequence)
	}
}

// recordStateChanges records and logs state changes of members and updates the counts of
// instances.
func (m *membership) recordStateChanges(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active = 0
	for _, s := range m.view.Members(now) {
		if s.State != member.StateGone {
			m.active++
		}
		if m.states[s.Name] == s.State {
			continue
		}
		m.states[s.Name] = s.State
		m.instance.record(event.Event{Kind: event.MemberChanged, Detail: s.Name + " " + s.State})
		m.instance.Log.WithField("member", s.Name).WithField("state", s.State).Info("member state changed")
	}
	m.instance.Router.SetPeerCount(m.domainInstances(now))
}

// domainInstances returns the number of entry instances of the failure domain that may hold a
// share of the slots, including this one. The caller must hold mu.
func (m *membership) domainInstances(now time.Time) int {
	count := 1
	for _, s := range m.view.Members(now) {
		if s.FailureDomain == m.view.Self.FailureDomain && s.Name != m.view.Self.Name && s.State != member.StateGone {
			count++
		}
	}
	return count
}

// activeInstances returns the number of entry instances of all failure domains that are not gone.
func (m *membership) activeInstances() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.active)
}

// announceLeave tells the other instances of the failure domain that this one has stopped.
func (m *membership) announceLeave(ctx context.Context) {
	self := m.self()
	self.State = member.StateGone
	self.OwnedEpoch = 0
	var wg sync.WaitGroup
	for _, s := range m.list(time.Now()) {
		if s.Name != self.Name && s.FailureDomain == self.FailureDomain && s.State != member.StateGone {
			m.sendHeartbeat(ctx, &wg, s.Member, self)
		}
	}
	wg.Wait()
}
