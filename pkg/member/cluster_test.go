package member_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyrack/daisyrack/pkg/member"
	"github.com/daisyrack/daisyrack/pkg/wire"
)

// TestMain sets a fixed seed so that property tests are reproducible; the flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

var clusterSizes = []struct{ instances, domains int }{{9, 3}, {54, 18}, {200, 20}}

// cluster is a set of views that exchange heartbeats in virtual time.
type cluster struct {
	views          map[string]*member.View
	members        []member.Member
	crashed        map[string]bool
	sentHeartbeats int
	sentBytes      int
}

func newCluster(instances, domains int) *cluster {
	c := &cluster{views: map[string]*member.View{}, crashed: map[string]bool{}}
	for i := range instances {
		m := member.Member{
			Name:           fmt.Sprintf("entry-%03d", i),
			Address:        fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
			HTTPAddress:    fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			FailureDomain:  fmt.Sprintf("region-1/domain-%02d", i%domains),
			State:          member.StateLive,
			Incarnation:    1_796_000_000_000,
			ConfigRevision: 7_200,
		}
		c.members = append(c.members, m)
		c.views[m.Name] = &member.View{Self: m}
	}
	return c
}

// tick lets every running instance send its heartbeats and, once a second, read the list.
func (c *cluster) tick(now time.Time) {
	for _, m := range c.members {
		if c.crashed[m.Name] {
			continue
		}
		v := c.views[m.Name]
		if now.Nanosecond() == 0 {
			v.ApplyInstanceList(now, c.members)
		}
		for _, target := range v.HeartbeatTargets(now) {
			c.sentHeartbeats++
			c.sentBytes += frameSize(&wire.Heartbeat{Sender: toWire(v.Self), HybridTime: now.UnixMilli() << 16})
			if c.crashed[target.Name] {
				v.RecordFailedCall(now, target.Name)
				continue
			}
			other := c.views[target.Name]
			other.ApplySelfReport(now, v.Self, 0)
			v.ApplySelfReport(now, other.Self, time.Millisecond)
			c.sentBytes += frameSize(&wire.HeartbeatReply{Sender: toWire(other.Self), HybridTime: now.UnixMilli() << 16})
		}
	}
}

func toWire(m member.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Address: m.Address, HttpAddress: m.HTTPAddress, FailureDomain: m.FailureDomain,
		State: m.State, Incarnation: m.Incarnation, ConfigRevision: m.ConfigRevision, OwnedEpoch: m.OwnedEpoch,
	}
}

// frameSize returns the size of a message with its length prefix, without the overhead of yamux and TCP.
func frameSize(m proto.Message) int {
	return proto.Size(m) + 4
}

func (c *cluster) run(from, to time.Time) {
	for now := from; now.Before(to); now = now.Add(250 * time.Millisecond) {
		c.tick(now)
	}
}

// Guards against members that are never discovered, a crashed member that is still seen as
// live, and heartbeat traffic that grows with the square of the number of instances.
func TestClusterDiscoversMembersAndDetectsCrash(t *testing.T) {
	for _, size := range clusterSizes {
		c := newCluster(size.instances, size.domains)
		// One full pass over the members of other failure domains, 3 each second.
		warmup := time.Duration(size.instances/3+2) * time.Second
		c.run(start, start.Add(warmup))
		for name, v := range c.views {
			for _, s := range v.Members(start.Add(warmup)) {
				assert.Assert(t, s.State == member.StateLive, "%s sees %s as %s", name, s.Name, s.State)
			}
		}
		c.sentHeartbeats, c.sentBytes = 0, 0
		c.run(start.Add(warmup), start.Add(warmup+10*time.Second))
		perSecond := float64(size.instances) * 10
		t.Logf("%3d instances in %2d domains: each sends %.1f heartbeats/s, %.0f bytes/s with the answers; the fleet %.1f KB/s",
			size.instances, size.domains, float64(c.sentHeartbeats)/perSecond, float64(c.sentBytes)/perSecond, float64(c.sentBytes)/10_000)
		domainPeers := size.instances/size.domains - 1
		assert.Assert(t, float64(c.sentHeartbeats)/perSecond <= float64(2*domainPeers+3))

		crashedAt := start.Add(warmup + 10*time.Second)
		c.crashed["entry-000"] = true
		c.run(crashedAt, crashedAt.Add(2500*time.Millisecond))
		domainPeer := c.views[fmt.Sprintf("entry-%03d", size.domains)]
		assert.Equal(t, stateOf(domainPeer, crashedAt.Add(2500*time.Millisecond), "entry-000"), member.StateSuspect)
	}
}

// Guards against memory that grows with the number of reported names, and against state and
// configuration revision going backwards within an incarnation.
func TestViewIsBoundedAndMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &member.View{Self: peer("self", "d", member.StateLive, 1), MaxMembers: 5}
		now := start
		previous := map[string]member.Status{}
		reportedGone := map[string]bool{} // members that reported their own end, by name and incarnation
		key := func(m member.Member) string { return fmt.Sprint(m.Name, "/", m.Incarnation) }
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				m := peer(
					fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "name")),
					"d",
					rapid.SampledFrom([]string{"live", "leaving", "gone"}).Draw(t, "state"),
					rapid.Int64Range(1, 3).Draw(t, "incarnation"),
				)
				m.ConfigRevision = rapid.Int64Range(0, 9).Draw(t, "revision")
				switch rapid.IntRange(0, 2).Draw(t, "source") {
				case 0:
					v.ApplySelfReport(now, m, time.Millisecond)
					before, known := previous[m.Name]
					if m.State == member.StateGone && (!known || m.Incarnation >= before.Incarnation) {
						reportedGone[key(m)] = true
					}
				case 1:
					v.ApplyPeerReport(now, m)
				case 2:
					v.ApplyInstanceList(now, []member.Member{m})
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeats": func(*rapid.T) { v.HeartbeatTargets(now) },
			"": func(t *rapid.T) {
				members := v.Members(now)
				assert.Assert(t, len(members) <= 6)
				present := map[string]member.Status{}
				for _, s := range members {
					present[s.Name] = s
					before, known := previous[s.Name]
					if !known || before.Incarnation < s.Incarnation {
						continue
					}
					assert.Equal(t, s.Incarnation, before.Incarnation)
					assert.Assert(t, s.ConfigRevision >= before.ConfigRevision)
					if before.State == member.StateLeaving {
						assert.Assert(t, s.State == member.StateLeaving || s.State == member.StateGone)
					}
					assert.Assert(t, !reportedGone[key(s.Member)] || s.State == member.StateGone)
				}
				previous = present
				for k := range reportedGone {
					if _, ok := present[k[:1]]; !ok {
						delete(reportedGone, k)
					}
				}
			},
		})
	})
}

// Guards against members that are kept forever.
func TestUnresponsiveAndGoneMembersAreEvicted(t *testing.T) {
	v := &member.View{Self: peer("a", "d", member.StateLive, 1)}
	v.ApplySelfReport(start, peer("gone", "d", member.StateGone, 1), 0)
	v.ApplySelfReport(start, peer("silent", "d", member.StateLive, 1), 0)
	v.ApplyInstanceList(start, []member.Member{peer("unheard", "d", member.StateLive, 1)})
	v.HeartbeatTargets(start.Add(59 * time.Minute))
	assert.Equal(t, len(v.Members(start.Add(59*time.Minute))), 4)
	v.HeartbeatTargets(start.Add(time.Hour))
	assert.Equal(t, len(v.Members(start.Add(time.Hour))), 1)
}

// Guards against slow members that are not detected, and against jitter below MinSlowRTT or
// SlowFactor that makes a member slow.
func TestSlowMembersAreDetectedByDomainMedian(t *testing.T) {
	cases := []struct {
		rtt  time.Duration
		want string
	}{
		{4 * time.Millisecond, member.StateLive},
		{7 * time.Millisecond, member.StateLive},
		{9 * time.Millisecond, member.StateSlow},
	}
	for _, c := range cases {
		v := &member.View{Self: peer("a", "d", member.StateLive, 1)}
		for _, name := range []string{"b", "c", "e"} {
			v.ApplySelfReport(start, peer(name, "d", member.StateLive, 1), 2*time.Millisecond)
		}
		v.ApplySelfReport(start, peer("f", "d", member.StateLive, 1), c.rtt)
		assert.Equal(t, stateOf(v, start, "f"), c.want, "%v", c.rtt)
		assert.Equal(t, len(v.Available(start, "d")), 5)
	}
}

// BenchmarkSecond measures one second of a view's work: heartbeats sent and received, their
// answers and the instance list.
func BenchmarkSecond(b *testing.B) {
	for _, size := range clusterSizes {
		b.Run(strconv.Itoa(size.instances), func(b *testing.B) {
			c := newCluster(size.instances, size.domains)
			self := c.members[0]
			v := c.views[self.Name]
			v.ApplyInstanceList(start, c.members)
			b.ReportAllocs()
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Second)
				v.ApplyInstanceList(now, c.members)
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					for _, m := range v.HeartbeatTargets(now) {
						v.ApplySelfReport(now, m, time.Millisecond)
						v.ApplySelfReport(now, m, 0)
					}
				}
				v.Members(now)
			}
		})
	}
}
