package team_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/team"
)

const ms = time.Millisecond

// strict are the limits of the deployments that revoke keys strictly.
var strict = team.Limits{Revocation: 5000 * ms, Addition: 3000 * ms}

// rounding is how much the store's clock, in milliseconds, and times in float64 may make a confirmation younger.
const rounding = 2 * ms

// plays is the number of random plays; faults of a few milliseconds show up in one of a thousand.
const plays = 20_000

// events are the kinds of events of a play. Reads of the follower are rare, so that it depends on the owner.
var events = []string{"owner reads", "owner reads", "follower reads", "sent", "arrives", "arrives", "arrives", "freezes"}

// never is later than the end of each play.
const never = 1000 * time.Hour

// clock is a clock that runs at a rate of its own.
type clock struct {
	origin time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.origin + time.Duration(float64(now)*c.rate)
}

func drawClock(r *rand.Rand) clock {
	return clock{origin: time.Duration(r.Int64N(int64(1000 * time.Hour))), rate: 1 + float64(r.IntN(9)-4)/1000}
}

// Guards against an instance that accepts a revoked key too late: whatever is slow, lost, frozen or cut off, and
// whichever way confirmations take, a key is accepted for no longer than the limit after its removal.
func TestRevokedKeyIsNotAcceptedAfterTheLimit(t *testing.T) {
	with, without := team.NewDirectory([]fleet.Team{{Name: "a", KeyHashes: []fleet.KeyHash{fleet.HashKey("k")}}}), team.NewDirectory(nil)
	for seed := range uint64(plays) {
		r := rand.New(rand.NewPCG(seed, 0))
		store := drawClock(r)
		// A configuration with version 2 removes the key at removedAt; all times are by an ideal clock.
		removedAt := never
		type instance struct {
			clock
			team.Freshness
			version int
			// resumesAt is when a frozen instance goes on.
			resumesAt time.Duration
		}
		instances := []*instance{{clock: drawClock(r), version: 1}, {clock: drawClock(r), version: 1}}
		// reply is a message of the owner that has not arrived yet.
		type reply struct {
			version   int
			confirmed time.Duration
		}
		var replies []reply
		latency := func() time.Duration {
			latencies := []time.Duration{0, 1, 4, 40, 300, 1200, 6000}
			return latencies[r.IntN(len(latencies))] * ms
		}
		newest := func(now time.Duration) int {
			if now >= removedAt {
				return 2
			}
			return 1
		}
		var now time.Duration
		for step := range 100 {
			now += latency()
			if step >= 10 && removedAt == never && r.IntN(10) == 0 {
				removedAt = now + latency()
			}
			event := events[r.IntN(len(events))]
			i := instances[1]
			if event == "owner reads" || event == "freezes" && r.IntN(2) == 0 {
				i = instances[0]
			}
			if now < i.resumesAt {
				continue
			}
			switch event {
			case "owner reads", "follower reads":
				// The store reads its rows some time after the read was sent, and its clock some time after that. Nothing
				// else happens meanwhile.
				read := team.Read{SentAt: i.at(now)}
				now += latency()
				version := newest(now)
				now += latency()
				read.StoreClock = store.at(now).Truncate(ms)
				now += latency()
				read.ReceivedAt = i.at(now)
				if r.IntN(5) > 0 {
					i.version = max(i.version, version)
					i.Confirm(read)
				}
			case "sent": // a reply of the owner
				if confirmed, ok := instances[0].StoreClock(); ok && now >= instances[0].resumesAt {
					replies = append(replies, reply{instances[0].version, confirmed.Truncate(ms)})
				}
			case "arrives": // any reply sent so far, with or without the configuration
				if len(replies) == 0 {
					break
				}
				reply := replies[r.IntN(len(replies))]
				if r.IntN(2) == 0 {
					i.version = max(i.version, reply.version)
				}
				if i.version >= reply.version {
					i.ConfirmStoreClock(reply.confirmed, i.at(now))
				}
			case "freezes": // its boot time goes on
				i.resumesAt = now + latency()
			}
			// A request that was sent just now.
			age := i.Confirmation().Age(i.at(now))
			directory := map[int]*team.Directory{1: with, 2: without}[i.version]
			if late := now - removedAt; strict.Decide(directory, "k", age).Verdict == team.Allowed && late > strict.Revocation {
				t.Fatalf("seed %d: accepted %s after the removal", seed, late)
			}
			if late := i.at(now) - age - i.at(removedAt); i.version == 1 && age != team.NeverConfirmed && late > rounding {
				t.Fatalf("seed %d: confirmed as the newest %s after the removal", seed, late)
			}
		}
	}
}

// Guards against needless refusals: with confirmations from the owner five times a second and reads of its own only
// when they are due, a follower keeps a young confirmation and hardly reads.
func TestFollowerReadsRarely(t *testing.T) {
	store, owner, follower := clock{time.Hour, 1.002}, clock{time.Minute, 1}, clock{5 * time.Hour, 0.998}
	var ofOwner, ofFollower team.Freshness
	read := func(f *team.Freshness, c clock, now time.Duration) {
		f.Confirm(team.Read{SentAt: c.at(now), ReceivedAt: c.at(now + 4*ms), StoreClock: store.at(now + 2*ms).Truncate(ms)})
	}
	var ownerReads, followerReads int
	var oldest time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
		if ofOwner.NextRead(strict, true, 0.5) <= owner.at(now) {
			read(&ofOwner, owner, now)
			ownerReads++
		}
		if ofFollower.NextRead(strict, false, 0) <= follower.at(now) {
			read(&ofFollower, follower, now)
			followerReads++
		}
		if confirmed, ok := ofOwner.StoreClock(); ok && now%(200*ms) == 0 {
			ofFollower.ConfirmStoreClock(confirmed.Truncate(ms), follower.at(now))
		}
		oldest = max(oldest, ofFollower.Confirmation().Age(follower.at(now)))
	}
	t.Logf("reads of the owner %d, of the follower %d in 60 s; oldest confirmation %s", ownerReads, followerReads, oldest)
	assert.Assert(t, ownerReads <= 121 && followerReads <= 5, "reads of the owner %d, of the follower %d", ownerReads, followerReads)
	assert.Assert(t, oldest < 900*ms, "oldest confirmation %s", oldest)
}

// Guards against a follower that never reads itself although the owner confirms nothing.
func TestFollowerReadsItselfWithoutTheOwner(t *testing.T) {
	var f team.Freshness
	assert.Assert(t, f.NextRead(strict, false, 1) == 0)
	f.Confirm(team.Read{SentAt: 10 * time.Second, ReceivedAt: 10 * time.Second, StoreClock: time.Second})
	for _, c := range []struct {
		stagger float64
		want    time.Duration
	}{{0, 11200 * ms}, {1, 11800 * ms}} {
		assert.Equal(t, f.NextRead(strict, false, c.stagger), c.want)
	}
}

// Guards against a confirmation from the future, which would hold for hours: the store's clock has started anew.
func TestStoreClockThatStartsAnew(t *testing.T) {
	var f team.Freshness
	f.ConfirmStoreClock(time.Hour, 10*time.Second)
	assert.Equal(t, f.Confirmation().Age(10*time.Second), team.NeverConfirmed)
	f.Confirm(team.Read{SentAt: 10 * time.Second, ReceivedAt: 10 * time.Second, StoreClock: time.Second})
	f.ConfirmStoreClock(time.Hour, 12*time.Second)
	assert.Equal(t, f.Confirmation().Age(12*time.Second), 2*time.Second)
	assert.Assert(t, f.NextRead(strict, false, 0) == 0, "the clocks have to be related again")
}

// Guards against verdicts that promise too much, or refuse keys for good that may have just been added.
func TestVerdictsByAge(t *testing.T) {
	d := team.NewDirectory([]fleet.Team{{Name: "a", KeyHashes: []fleet.KeyHash{fleet.HashKey("k")}}})
	for _, c := range []struct {
		limits         team.Limits
		age            time.Duration
		known, unknown team.Verdict
		ready          bool
	}{
		{strict, 0, team.Allowed, team.NoTeam, true},
		{strict, 2500 * ms, team.Allowed, team.NoTeam, true},
		{strict, 2849 * ms, team.Allowed, team.NoTeam, false},
		{strict, 2850 * ms, team.Allowed, team.UnconfirmedKey, false},
		{strict, 4749 * ms, team.Allowed, team.UnconfirmedKey, false},
		{strict, 4750 * ms, team.Unconfirmed, team.Unconfirmed, false},
		{strict, team.NeverConfirmed, team.Unconfirmed, team.Unconfirmed, false},
		{team.Limits{Addition: 3000 * ms}, team.NeverConfirmed, team.Allowed, team.UnconfirmedKey, true},
		{team.Limits{}, team.NeverConfirmed, team.Allowed, team.NoTeam, true},
	} {
		assert.Equal(t, c.limits.Decide(d, "k", c.age).Verdict, c.known, "%s", c.age)
		assert.Equal(t, c.limits.Decide(d, "x", c.age).Verdict, c.unknown, "%s", c.age)
		assert.Equal(t, c.limits.Ready(c.age), c.ready, "%s", c.age)
	}
}

// Guards against a limit of a few milliseconds that floods the store.
func TestShortLimitDoesNotFloodTheStore(t *testing.T) {
	l := team.Limits{Revocation: ms}
	var f team.Freshness
	f.Confirm(team.Read{})
	assert.Assert(t, f.NextRead(l, true, 0) >= 50*ms && f.NextRead(l, false, 0) >= 50*ms)
}
