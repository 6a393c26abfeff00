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

// TestMain fixes the seed of the properties, so that each run has the same verdict;
// -rapid.seed tries others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

var fleets = []struct{ instances, domains int }{{9, 3}, {54, 18}, {200, 20}}

// fleet is a set of views that exchange heartbeats in virtual time.
type fleet struct {
	views map[string]*member.View
	list  []member.Member
	dead  map[string]bool
	sent  int
	bytes int
}

func newFleet(instances, domains int) *fleet {
	f := &fleet{views: map[string]*member.View{}, dead: map[string]bool{}}
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
		f.list = append(f.list, m)
		f.views[m.Name] = &member.View{Self: m}
	}
	return f
}

// step lets every live instance send its heartbeats and read the list once a second.
func (f *fleet) step(now time.Time) {
	for _, m := range f.list {
		if f.dead[m.Name] {
			continue
		}
		v := f.views[m.Name]
		if now.Nanosecond() == 0 {
			v.ApplyInstanceList(now, f.list)
		}
		for _, target := range v.HeartbeatTargets(now) {
			f.sent++
			f.bytes += size(&wire.Heartbeat{Sender: message(v.Self), HybridTime: now.UnixMilli() << 16})
			if f.dead[target.Name] {
				v.RecordFailedCall(now, target.Name)
				continue
			}
			other := f.views[target.Name]
			other.ApplySelfReport(now, v.Self, 0)
			v.ApplySelfReport(now, other.Self, time.Millisecond)
			f.bytes += size(&wire.HeartbeatReply{Sender: message(other.Self), HybridTime: now.UnixMilli() << 16})
		}
	}
}

func message(m member.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Address: m.Address, HttpAddress: m.HTTPAddress, FailureDomain: m.FailureDomain,
		State: m.State, Incarnation: m.Incarnation, ConfigRevision: m.ConfigRevision, OwnedEpoch: m.OwnedEpoch,
	}
}

// size returns the bytes of a message with its length prefix, without yamux and TCP.
func size(m proto.Message) int {
	return proto.Size(m) + 4
}

func (f *fleet) run(from, to time.Time) {
	for now := from; now.Before(to); now = now.Add(250 * time.Millisecond) {
		f.step(now)
	}
}

// Guards against members that are never found, a dead one that keeps looking live, and heartbeats that grow with the square of the fleet.
func TestFleetFindsEachOtherAndItsDead(t *testing.T) {
	for _, size := range fleets {
		f := newFleet(size.instances, size.domains)
		// One full turn through the members elsewhere, 3 each second.
		turn := time.Duration(size.instances/3+2) * time.Second
		f.run(start, start.Add(turn))
		for name, v := range f.views {
			for _, s := range v.Members(start.Add(turn)) {
				assert.Assert(t, s.State == member.StateLive, "%s sees %s as %s", name, s.Name, s.State)
			}
		}
		f.sent, f.bytes = 0, 0
		f.run(start.Add(turn), start.Add(turn+10*time.Second))
		perSecond := float64(size.instances) * 10
		t.Logf("%3d instances in %2d domains: each sends %.1f heartbeats/s, %.0f bytes/s with the answers; the fleet %.1f KB/s",
			size.instances, size.domains, float64(f.sent)/perSecond, float64(f.bytes)/perSecond, float64(f.bytes)/10_000)
		mates := size.instances/size.domains - 1
		assert.Assert(t, float64(f.sent)/perSecond <= float64(2*mates+3))

		died := start.Add(turn + 10*time.Second)
		f.dead["entry-000"] = true
		f.run(died, died.Add(2500*time.Millisecond))
		mate := f.views[fmt.Sprintf("entry-%03d", size.domains)]
		assert.Equal(t, stateOf(mate, died.Add(2500*time.Millisecond), "entry-000"), member.StateSuspect)
	}
}

// Guards against memory that grows with invented names, and against knowledge that goes back within an incarnation.
func TestKnowledgeIsBoundedAndNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &member.View{Self: peer("self", "d", member.StateLive, 1), MaxMembers: 5}
		now := start
		last := map[string]member.Status{}
		told := map[string]bool{} // gone by its own word, by name and incarnation
		key := func(m member.Member) string { return fmt.Sprint(m.Name, "/", m.Incarnation) }
		t.Repeat(map[string]func(*rapid.T){
			"told": func(t *rapid.T) {
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
					before, known := last[m.Name]
					if m.State == member.StateGone && (!known || m.Incarnation >= before.Incarnation) {
						told[key(m)] = true
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
			"targets": func(*rapid.T) { v.HeartbeatTargets(now) },
			"": func(t *rapid.T) {
				members := v.Members(now)
				assert.Assert(t, len(members) <= 6)
				present := map[string]member.Status{}
				for _, s := range members {
					present[s.Name] = s
					before, known := last[s.Name]
					if !known || before.Incarnation < s.Incarnation {
						continue
					}
					assert.Equal(t, s.Incarnation, before.Incarnation)
					assert.Assert(t, s.ConfigRevision >= before.ConfigRevision)
					if before.State == member.StateLeaving {
						assert.Assert(t, s.State == member.StateLeaving || s.State == member.StateGone)
					}
					assert.Assert(t, !told[key(s.Member)] || s.State == member.StateGone)
				}
				last = present
				for k := range told {
					if _, ok := present[k[:1]]; !ok {
						delete(told, k)
					}
				}
			},
		})
	})
}

// Guards against members that are kept for ever.
func TestSilentAndGoneMembersAreForgotten(t *testing.T) {
	v := &member.View{Self: peer("a", "d", member.StateLive, 1)}
	v.ApplySelfReport(start, peer("gone", "d", member.StateGone, 1), 0)
	v.ApplySelfReport(start, peer("silent", "d", member.StateLive, 1), 0)
	v.ApplyInstanceList(start, []member.Member{peer("unheard", "d", member.StateLive, 1)})
	v.HeartbeatTargets(start.Add(59 * time.Minute))
	assert.Equal(t, len(v.Members(start.Add(59*time.Minute))), 4)
	v.HeartbeatTargets(start.Add(time.Hour))
	assert.Equal(t, len(v.Members(start.Add(time.Hour))), 1)
}

// Guards against a member that answers late being taken for a fast one, and against noise being taken for slowness.
func TestSlowMembersAreFoundByTheMedianOfTheirDomain(t *testing.T) {
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

// BenchmarkSecond measures one second of a view's work: heartbeats to and from others, their answers and the list.
func BenchmarkSecond(b *testing.B) {
	for _, size := range fleets {
		b.Run(strconv.Itoa(size.instances), func(b *testing.B) {
			f := newFleet(size.instances, size.domains)
			self := f.list[0]
			v := f.views[self.Name]
			v.ApplyInstanceList(start, f.list)
			b.ReportAllocs()
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Second)
				v.ApplyInstanceList(now, f.list)
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
