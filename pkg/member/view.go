package member

import (
	"slices"
	"strings"
	"time"
)

const (
	defaultDomainInterval = 500 * time.Millisecond
	defaultRemoteInterval = time.Second
	defaultRemoteTargets  = 3
	defaultSuspectAfter   = 1500 * time.Millisecond
	defaultSlowFactor     = 4
	// defaultMinSlowRTT keeps scheduling noise between processes half a millisecond apart from looking slow.
	defaultSlowFloor   = 5 * time.Millisecond
	defaultForgetAfter = time.Hour
	defaultMaxMembers  = 1_024
	// rttPart is the part of a new round trip in the smoothed one, as in TCP.
	rttPart = 8
)

// View is one instance's knowledge of all others. Set the exported fields before
// the first call; Self may be changed by the owner at any time.
type View struct {
	// Self is the instance that owns the view.
	Self Member
	// DomainInterval is the time between heartbeats to a member of the own failure domain; 0 means 500 ms.
	DomainInterval time.Duration
	// RemoteInterval is the time between turns of heartbeats to other failure domains; 0 means 1 s.
	RemoteInterval time.Duration
	// RemoteFanout is the number of members elsewhere in one turn; 0 means 3.
	RemoteFanout int
	// SuspectAfter is the time without an answer after which a member is suspect; 0 means 1.5 s.
	SuspectAfter time.Duration
	// SlowFactor is the multiple of the median round trip of its domain above which a member is slow; 0 means 4.
	SlowFactor int
	// MinSlowRTT is a round trip that is never called slow; 0 means 5 ms.
	MinSlowRTT time.Duration
	// Retention is the time after which gone and silent members are forgotten; 0 means 1 h.
	Retention time.Duration
	// MaxMembers bounds the members known; 0 means 1,024.
	MaxMembers int

	records map[string]*record
	// epochs holds the highest owned epoch heard of each failure domain.
	epochs     map[string]int64
	remoteTurn time.Time
	refused    uint64
}

// ApplySelfReport takes over what a member says of itself, by a call or an answer. An rtt of
// 0 means that none was measured.
func (v *View) ApplySelfReport(now time.Time, m Member, rtt time.Duration) {
	r := v.record(now, m)
	if r == nil || m.Incarnation < r.member.Incarnation {
		return
	}
	m.ConfigRevision = max(m.ConfigRevision, r.member.ConfigRevision)
	r.member = m
	r.heard = now
	r.unanswered = time.Time{}
	if rtt > 0 {
		r.rtt = smooth(r.rtt, rtt)
	}
	r.leaving = r.leaving || m.State == StateLeaving
	if m.State == StateGone {
		r.goneByItself = true
		r.setGone(now)
	}
	// An instance that still speaks was called gone by the list too early.
	r.gone = r.goneByItself
	v.hearEpoch(m)
}

// hearEpoch keeps the highest epoch of each domain, for at most as many domains as members.
func (v *View) hearEpoch(m Member) {
	if m.OwnedEpoch <= v.epochs[m.FailureDomain] {
		return
	}
	if _, ok := v.epochs[m.FailureDomain]; !ok && len(v.epochs) >= v.maxMembers() {
		return
	}
	if v.epochs == nil {
		v.epochs = make(map[string]int64)
	}
	v.epochs[m.FailureDomain] = m.OwnedEpoch
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/rttPart
}

// ApplyPeerReport takes over what another instance says of a member: addresses, a higher
// incarnation and that it is leaving. It is no proof of life.
func (v *View) ApplyPeerReport(now time.Time, m Member) {
	r := v.hearsay(now, m)
	if r != nil && m.State == StateLeaving {
		r.leaving = true
	}
}

// ApplyInstanceList takes over the platform's list, which lags: members that were heard
// within SuspectAfter are not gone, and gone members are not revived.
func (v *View) ApplyInstanceList(now time.Time, list []Member) {
	for _, m := range list {
		r := v.hearsay(now, m)
		if r == nil {
			continue
		}
		if m.State == StateLeaving {
			r.leaving = true
		}
		if m.State == StateGone && !v.heardLately(now, r) {
			r.setGone(now)
		}
	}
}

func (v *View) heardLately(now time.Time, r *record) bool {
	return !r.heard.IsZero() && now.Sub(r.heard) < v.suspectAfter()
}

// hearsay returns the record of m with its addresses, or nil when m is older than
// what is known or is the end of an unknown member.
func (v *View) hearsay(now time.Time, m Member) *record {
	if _, known := v.records[m.Name]; !known && m.State == StateGone {
		return nil
	}
	r := v.record(now, m)
	if r == nil || m.Incarnation < r.member.Incarnation {
		return nil
	}
	if r.heard.IsZero() {
		r.setAddresses(m)
	}
	return r
}

// record returns the record of m, a new one when m is unknown or has a higher
// incarnation, and nil when m can not be kept.
func (v *View) record(now time.Time, m Member) *record {
	if m.Name == "" || m.Name == v.Self.Name {
		return nil
	}
	r, known := v.records[m.Name]
	if known && m.Incarnation <= r.member.Incarnation {
		return r
	}
	if !known && len(v.records) >= v.maxMembers() && !v.forgetOne() {
		v.refused++
		return nil
	}
	fresh := &record{added: now}
	fresh.member = Member{Name: m.Name, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain}
	if known {
		fresh.sent = r.sent
	}
	if v.records == nil {
		v.records = make(map[string]*record)
	}
	v.records[m.Name] = fresh
	return fresh
}

// RecordFailedCall records that a call to a member failed.
func (v *View) RecordFailedCall(now time.Time, name string) {
	r, ok := v.records[name]
	if ok && r.unanswered.IsZero() {
		r.unanswered = now
	}
}

// HeartbeatTargets returns the members to send a heartbeat to now and counts it as sent.
func (v *View) HeartbeatTargets(now time.Time) []Member {
	v.forget(now)
	var targets []Member
	var remote []*record
	for _, r := range v.records {
		switch {
		case r.gone || r.member.Address == "":
		case r.member.FailureDomain != v.Self.FailureDomain:
			remote = append(remote, r)
		case now.Sub(r.sent) >= v.domainInterval():
			targets = append(targets, r.send(now))
		}
	}
	if now.Sub(v.remoteTurn) >= v.remoteInterval() {
		v.remoteTurn = now
		slices.SortFunc(remote, bySent)
		for _, r := range remote[:min(len(remote), v.remoteTargets())] {
			targets = append(targets, r.send(now))
		}
	}
	slices.SortFunc(targets, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

func bySent(a, b *record) int {
	if c := a.sent.Compare(b.sent); c != 0 {
		return c
	}
	return strings.Compare(a.member.Name, b.member.Name)
}

func (r *record) send(now time.Time) Member {
	r.sent = now
	if r.unanswered.IsZero() {
		r.unanswered = now
	}
	return r.member
}

// Members returns all members with this instance, sorted by name.
func (v *View) Members(now time.Time) []Status {
	medians := v.medians()
	all := make([]Status, 0, len(v.records)+1)
	self := Status{Member: v.Self}
	if self.State == "" {
		self.State = StateLive
	}
	all = append(all, self)
	for _, r := range v.records {
		s := Status{Member: r.member, Age: now.Sub(r.lastSign()), RTT: r.rtt}
		s.State = v.state(now, r, medians)
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Available returns the members of a failure domain that take work, slow ones and this
// instance included, sorted by name.
func (v *View) Available(now time.Time, domain string) []Member {
	var live []Member
	for _, s := range v.Members(now) {
		if s.FailureDomain == domain && (s.State == StateLive || s.State == StateSlow) {
			live = append(live, s.Member)
		}
	}
	return live
}

// Owner returns the member with the highest owned epoch heard of a failure domain.
// There is none while that member is gone, even if another claims a lower epoch.
func (v *View) Owner(now time.Time, domain string) (Member, bool) {
	epoch := v.epochs[domain]
	if v.Self.FailureDomain == domain && v.Self.OwnedEpoch > 0 && v.Self.OwnedEpoch >= epoch {
		return v.Self, true
	}
	for _, r := range v.records {
		if epoch > 0 && r.member.OwnedEpoch == epoch && r.member.FailureDomain == domain && !r.gone {
			m := r.member
			m.State = v.state(now, r, v.medians())
			return m, true
		}
	}
	return Member{}, false
}

// MarkLeaving marks this instance as leaving.
func (v *View) MarkLeaving() {
	v.Self.State = StateLeaving
}

// RejectedMembers returns the number of members that were not kept because MaxMembers were known.
func (v *View) RejectedMembers() uint64 {
	return v.refused
}

// state returns the state of a record; medians holds the median round trip of each domain.
func (v *View) state(now time.Time, r *record, medians map[string]time.Duration) string {
	switch {
	case r.gone:
		return StateGone
	case r.leaving:
		return StateLeaving
	case r.heard.IsZero():
		return StateSuspect
	case !r.unanswered.IsZero() && now.Sub(r.unanswered) >= v.suspectAfter():
		return StateSuspect
	case r.rtt > v.slowFloor() && r.rtt > medians[r.member.FailureDomain]*time.Duration(v.slowFactor()):
		return StateSlow
	}
	return StateLive
}

// medians returns the lower median of the round trips to each failure domain.
func (v *View) medians() map[string]time.Duration {
	samples := make(map[string][]time.Duration)
	for _, r := range v.records {
		if r.rtt > 0 && !r.gone {
			domain := r.member.FailureDomain
			samples[domain] = append(samples[domain], r.rtt)
		}
	}
	medians := make(map[string]time.Duration, len(samples))
	for domain, all := range samples {
		slices.Sort(all)
		medians[domain] = all[(len(all)-1)/2]
	}
	return medians
}

// forget removes members that have been gone or silent for Retention.
func (v *View) forget(now time.Time) {
	for name, r := range v.records {
		since := r.lastSign()
		if r.gone {
			since = r.goneAt
		}
		if now.Sub(since) >= v.forgetAfter() {
			delete(v.records, name)
		}
	}
}

// forgetOne makes room by forgetting the member that has been gone, or else unheard, for longest.
func (v *View) forgetOne() bool {
	var oldest *record
	for _, r := range v.records {
		if !r.gone && !r.heard.IsZero() {
			continue
		}
		if oldest == nil || less(r, oldest) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(v.records, oldest.member.Name)
	return true
}

func less(a, b *record) bool {
	if a.gone != b.gone {
		return a.gone
	}
	if a.gone {
		return a.goneAt.Before(b.goneAt)
	}
	return a.added.Before(b.added)
}

func (v *View) domainInterval() time.Duration { return span(v.DomainInterval, defaultDomainInterval) }

func (v *View) remoteInterval() time.Duration { return span(v.RemoteInterval, defaultRemoteInterval) }
func (v *View) suspectAfter() time.Duration   { return span(v.SuspectAfter, defaultSuspectAfter) }
func (v *View) slowFloor() time.Duration      { return span(v.MinSlowRTT, defaultSlowFloor) }
func (v *View) forgetAfter() time.Duration    { return span(v.Retention, defaultForgetAfter) }
func (v *View) remoteTargets() int            { return number(v.RemoteFanout, defaultRemoteTargets) }
func (v *View) slowFactor() int               { return number(v.SlowFactor, defaultSlowFactor) }
func (v *View) maxMembers() int               { return number(v.MaxMembers, defaultMaxMembers) }

func span(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

func number(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
