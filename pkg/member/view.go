package member

import (
	"slices"
	"strings"
	"time"
)

const (
	defaultDomainInterval = 500 * time.Millisecond
	defaultRemoteInterval = time.Second
	defaultRemoteFanout   = 3
	defaultSuspectAfter   = 1500 * time.Millisecond
	defaultSlowFactor     = 4
	// defaultMinSlowRTT is well above the half millisecond between nearby processes, so
	// that scheduling noise does not make a member look slow.
	defaultMinSlowRTT = 5 * time.Millisecond
	defaultRetention  = time.Hour
	defaultMaxMembers = 1_024
	// rttSmoothing is the inverse weight of a new sample in the smoothed round trip time: 1/8, as in TCP.
	rttSmoothing = 8
)

// View is one instance's knowledge of all others. Set the exported fields before
// the first call; the goroutine that owns the View may change Self at any time.
type View struct {
	// Self is the instance that owns the view.
	Self Member
	// DomainInterval is the time between heartbeats to each member of the same failure domain; 0 means 500 ms.
	DomainInterval time.Duration
	// RemoteInterval is the time between rounds of heartbeats to other failure domains; 0 means 1 s.
	RemoteInterval time.Duration
	// RemoteFanout is the number of members of other failure domains in one round; 0 means 3.
	RemoteFanout int
	// SuspectAfter is the time that a heartbeat may remain unanswered before the member
	// is suspect; 0 means 1.5 s.
	SuspectAfter time.Duration
	// SlowFactor is the multiple of its domain's median round trip time above which a member
	// is slow; 0 means 4.
	SlowFactor int
	// MinSlowRTT is the round trip time up to which a member is never slow; 0 means 5 ms.
	MinSlowRTT time.Duration
	// Retention is the time after which gone and unresponsive members are evicted; 0 means 1 h.
	Retention time.Duration
	// MaxMembers limits the number of other members; 0 means 1,024.
	MaxMembers int

	records map[string]*record
	// epochs holds the highest owned epoch reported for each failure domain.
	epochs          map[string]int64
	lastRemoteRound time.Time
	rejected        uint64
}

// ApplySelfReport applies what a member reported about itself in a call or an answer.
// An rtt of 0 means that no round trip time was measured.
func (v *View) ApplySelfReport(now time.Time, m Member, rtt time.Duration) {
	r := v.recordFor(now, m)
	if r == nil || m.Incarnation < r.member.Incarnation {
		return
	}
	m.ConfigRevision = max(m.ConfigRevision, r.member.ConfigRevision)
	r.member = m
	r.lastHeard = now
	r.unansweredSince = time.Time{}
	if rtt > 0 {
		r.rtt = smoothRTT(r.rtt, rtt)
	}
	r.leaving = r.leaving || m.State == StateLeaving
	if m.State == StateGone {
		r.reportedGone = true
		r.setGone(now)
	}
	// An instance that still sends messages is alive, even if the platform's list has it as gone.
	r.gone = r.reportedGone
	v.updateEpoch(m)
}

// updateEpoch keeps the highest epoch of each domain, for at most MaxMembers domains.
func (v *View) updateEpoch(m Member) {
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

func smoothRTT(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/rttSmoothing
}

// ApplyPeerReport applies what another instance reported about a member: addresses, a
// higher incarnation and that it is leaving. It does not show that the member is alive.
func (v *View) ApplyPeerReport(now time.Time, m Member) {
	r := v.applySecondHand(now, m)
	if r != nil && m.State == StateLeaving {
		r.leaving = true
	}
}

// ApplyInstanceList applies the platform's list of instances. The list lags, so it does not
// mark members as gone that were heard from within SuspectAfter, and does not revive gone members.
func (v *View) ApplyInstanceList(now time.Time, list []Member) {
	for _, m := range list {
		r := v.applySecondHand(now, m)
		if r == nil {
			continue
		}
		if m.State == StateLeaving {
			r.leaving = true
		}
		if m.State == StateGone && !v.heardRecently(now, r) {
			r.setGone(now)
		}
	}
}

func (v *View) heardRecently(now time.Time, r *record) bool {
	return !r.lastHeard.IsZero() && now.Sub(r.lastHeard) < v.suspectAfter()
}

// applySecondHand returns the record of m after updating its addresses if m was never heard
// from. It returns nil if m has an older incarnation, is gone and unknown, or cannot be kept.
func (v *View) applySecondHand(now time.Time, m Member) *record {
	if _, known := v.records[m.Name]; !known && m.State == StateGone {
		return nil
	}
	r := v.recordFor(now, m)
	if r == nil || m.Incarnation < r.member.Incarnation {
		return nil
	}
	if r.lastHeard.IsZero() {
		r.setAddresses(m)
	}
	return r
}

// recordFor returns the record of m. It creates a new one if m is unknown or has a higher
// incarnation, and returns nil if m is this instance, has no name or exceeds MaxMembers.
func (v *View) recordFor(now time.Time, m Member) *record {
	if m.Name == "" || m.Name == v.Self.Name {
		return nil
	}
	r, known := v.records[m.Name]
	if known && m.Incarnation <= r.member.Incarnation {
		return r
	}
	if !known && len(v.records) >= v.maxMembers() && !v.evictOne() {
		v.rejected++
		return nil
	}
	fresh := &record{addedAt: now}
	fresh.member = Member{Name: m.Name, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain}
	if known {
		fresh.lastSent = r.lastSent
	}
	if v.records == nil {
		v.records = make(map[string]*record)
	}
	v.records[m.Name] = fresh
	return fresh
}

// RecordFailedCall records that a call to the named member failed at the given time.
func (v *View) RecordFailedCall(now time.Time, name string) {
	r, ok := v.records[name]
	if ok && r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
}

// HeartbeatTargets returns the members that are due for a heartbeat, sorted by name, and
// records the heartbeat as sent. It also evicts members whose retention has passed.
func (v *View) HeartbeatTargets(now time.Time) []Member {
	v.evictExpired(now)
	var targets []Member
	var remote []*record
	for _, r := range v.records {
		switch {
		case r.gone || r.member.Address == "":
		case r.member.FailureDomain != v.Self.FailureDomain:
			remote = append(remote, r)
		case now.Sub(r.lastSent) >= v.domainInterval():
			targets = append(targets, r.markSent(now))
		}
	}
	if now.Sub(v.lastRemoteRound) >= v.remoteInterval() {
		v.lastRemoteRound = now
		slices.SortFunc(remote, compareLastSent)
		for _, r := range remote[:min(len(remote), v.remoteFanout())] {
			targets = append(targets, r.markSent(now))
		}
	}
	slices.SortFunc(targets, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

func compareLastSent(a, b *record) int {
	if c := a.lastSent.Compare(b.lastSent); c != 0 {
		return c
	}
	return strings.Compare(a.member.Name, b.member.Name)
}

func (r *record) markSent(now time.Time) Member {
	r.lastSent = now
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
	return r.member
}

// Members returns all members including this instance, sorted by name.
func (v *View) Members(now time.Time) []Status {
	medians := v.medians()
	all := make([]Status, 0, len(v.records)+1)
	self := Status{Member: v.Self}
	if self.State == "" {
		self.State = StateLive
	}
	all = append(all, self)
	for _, r := range v.records {
		s := Status{Member: r.member, Age: now.Sub(r.lastActivity()), RTT: r.rtt}
		s.State = v.state(now, r, medians)
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Available returns the members of a failure domain that accept work, including slow ones
// and this instance, sorted by name.
func (v *View) Available(now time.Time, domain string) []Member {
	var live []Member
	for _, s := range v.Members(now) {
		if s.FailureDomain == domain && (s.State == StateLive || s.State == StateSlow) {
			live = append(live, s.Member)
		}
	}
	return live
}

// Owner returns the member that reported the highest epoch of a failure domain. If that
// member is gone there is no owner, even if another member claims a lower epoch.
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

// RejectedMembers returns how often an unknown member was not added because of MaxMembers.
func (v *View) RejectedMembers() uint64 {
	return v.rejected
}

// state returns the state of a member; medians holds the median round trip time of each domain.
func (v *View) state(now time.Time, r *record, medians map[string]time.Duration) string {
	switch {
	case r.gone:
		return StateGone
	case r.leaving:
		return StateLeaving
	case r.lastHeard.IsZero():
		return StateSuspect
	case !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= v.suspectAfter():
		return StateSuspect
	case r.rtt > v.minSlowRTT() && r.rtt > medians[r.member.FailureDomain]*time.Duration(v.slowFactor()):
		return StateSlow
	}
	return StateLive
}

// medians returns the lower median of the round trip times to each failure domain.
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

// evictExpired removes members that have been gone or unresponsive for Retention.
func (v *View) evictExpired(now time.Time) {
	for name, r := range v.records {
		since := r.lastActivity()
		if r.gone {
			since = r.goneAt
		}
		if now.Sub(since) >= v.retention() {
			delete(v.records, name)
		}
	}
}

// evictOne removes the member that has been gone for longest or, if none is gone, the
// oldest that was never heard from. It reports whether there was one.
func (v *View) evictOne() bool {
	var oldest *record
	for _, r := range v.records {
		if !r.gone && !r.lastHeard.IsZero() {
			continue
		}
		if oldest == nil || evictsBefore(r, oldest) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(v.records, oldest.member.Name)
	return true
}

func evictsBefore(a, b *record) bool {
	if a.gone != b.gone {
		return a.gone
	}
	if a.gone {
		return a.goneAt.Before(b.goneAt)
	}
	return a.addedAt.Before(b.addedAt)
}

func (v *View) domainInterval() time.Duration {
	return durationOr(v.DomainInterval, defaultDomainInterval)
}

func (v *View) remoteInterval() time.Duration {
	return durationOr(v.RemoteInterval, defaultRemoteInterval)
}

func (v *View) suspectAfter() time.Duration { return durationOr(v.SuspectAfter, defaultSuspectAfter) }

func (v *View) minSlowRTT() time.Duration { return durationOr(v.MinSlowRTT, defaultMinSlowRTT) }
func (v *View) retention() time.Duration  { return durationOr(v.Retention, defaultRetention) }
func (v *View) remoteFanout() int         { return intOr(v.RemoteFanout, defaultRemoteFanout) }
func (v *View) slowFactor() int           { return intOr(v.SlowFactor, defaultSlowFactor) }
func (v *View) maxMembers() int           { return intOr(v.MaxMembers, defaultMaxMembers) }

func durationOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

func intOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
