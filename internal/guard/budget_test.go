package guard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/guard"
)

func open(t *testing.T, b *guard.Budget, source string, now time.Duration) *guard.Member {
	t.Helper()
	m := &guard.Member{Source: source}
	victims, ok := b.Open(m, now)
	assert.Assert(t, ok && len(victims) == 0, "%s is refused at %s", source, now)
	return m
}

// Guards against a crowd of one source that leaves no connection for others.
func TestOneSourceLeavesRoomForOthers(t *testing.T) {
	b := &guard.Budget{Limits: guard.Limits{Connections: 80}}
	for range 70 {
		open(t, b, "crowd", 0)
	}
	_, ok := b.Open(&guard.Member{Source: "crowd"}, 0)
	assert.Assert(t, !ok)
	for i := range 10 {
		open(t, b, fmt.Sprint("other ", i), 0)
	}
	victims, ok := b.Open(&guard.Member{Source: "late"}, 0)
	assert.Assert(t, ok, "the newest connection of the largest source makes room")
	assert.Equal(t, len(victims), 1)
	assert.Equal(t, victims[0].Source, "crowd")
	assert.Equal(t, b.Usage().Connections, 80)
}

// Guards against closing connections that make progress, or whose request runs, while others are stalled.
func TestStalledConnectionsMakeRoomFirst(t *testing.T) {
	b := &guard.Budget{Limits: guard.Limits{Connections: 4}}
	head, running, idle := open(t, b, "a", 0), open(t, b, "b", 0), open(t, b, "c", 0)
	b.Enter(running, guard.Run, 0)
	b.Enter(idle, guard.Idle, 0)
	fresh := open(t, b, "d", 1900*time.Millisecond)
	victims, ok := b.Open(&guard.Member{Source: "e"}, 2*time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, len(victims), 1)
	assert.Assert(t, victims[0] == head)
	b.Enter(fresh, guard.Response, 2*time.Second)
	victims, ok = b.Open(&guard.Member{Source: "f"}, 2500*time.Millisecond)
	assert.Assert(t, !ok && len(victims) == 0, "no source has more connections than the new one would")
}

// Guards against idle connections that keep new ones out, and against a source that makes others lose theirs.
func TestLongIdleConnectionsMakeRoom(t *testing.T) {
	b := &guard.Budget{Limits: guard.Limits{Connections: 8}}
	var many []*guard.Member
	for i := range 6 {
		m := open(t, b, "many", 0)
		b.Enter(m, guard.Idle, time.Duration(i)*time.Second)
		many = append(many, m)
	}
	few := open(t, b, "few", 0)
	b.Enter(few, guard.Idle, 0)
	silent := open(t, b, "many", 5*time.Second)
	for _, c := range []struct {
		now  time.Duration
		want *guard.Member
	}{{5900 * time.Millisecond, many[0]}, {6100 * time.Millisecond, silent}, {6200 * time.Millisecond, many[1]}} {
		victims, ok := b.Open(&guard.Member{Source: "many"}, c.now)
		assert.Assert(t, ok && len(victims) == 1 && victims[0] == c.want, "at %s", c.now)
	}
	victims, ok := b.Open(&guard.Member{Source: "many"}, 6200*time.Millisecond)
	assert.Assert(t, !ok && len(victims) == 0, "the others have not been idle for long, or are of another source")
}

// Guards against bytes of requests that are not complete beyond the budget, and against a large holder that makes
// others lose theirs.
func TestLargestHolderGivesUpBytes(t *testing.T) {
	b := &guard.Budget{Limits: guard.Limits{HeldBytes: 1000}}
	small, first, second := open(t, b, "small", 0), open(t, b, "large", 0), open(t, b, "large", 0)
	for m, n := range map[*guard.Member]int64{small: 300, first: 400, second: 300} {
		victims, ok := b.Hold(m, n, 0)
		assert.Assert(t, ok && len(victims) == 0)
	}
	victims, ok := b.Hold(small, 100, 0)
	assert.Assert(t, ok)
	assert.Equal(t, len(victims), 1)
	assert.Assert(t, victims[0] == second, "the newest of the largest source")
	victims, ok = b.Hold(first, 300, 0)
	assert.Assert(t, !ok && len(victims) == 0, "the largest holder is refused itself")
	assert.Equal(t, b.Usage(), guard.Usage{Connections: 1, Sources: 1, HeldBytes: 400})
	b.Enter(small, guard.Idle, 0)
	assert.Equal(t, b.Usage().HeldBytes, int64(0))
}

// Guards against requests beyond the limit, and against requests that count for ever.
func TestRequestsInProgressAreLimited(t *testing.T) {
	b := &guard.Budget{Limits: guard.Limits{Requests: 8}}
	var begun []*guard.Member
	for range 7 {
		m := open(t, b, "crowd", 0)
		assert.Assert(t, b.Begin(m))
		begun = append(begun, m)
	}
	assert.Assert(t, !b.Begin(open(t, b, "crowd", 0)), "the rest is kept for other sources")
	assert.Assert(t, b.Begin(open(t, b, "other", 0)))
	assert.Assert(t, !b.Begin(open(t, b, "third", 0)))
	b.End(begun[0])
	b.End(begun[0])
	b.Remove(begun[1])
	assert.Equal(t, b.Usage().Requests, 6)
}

// Guards against anything that stays counted after random sequences of events, and against limits that are exceeded.
func TestEverythingIsReleased(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := &guard.Budget{Limits: guard.Limits{Connections: 20, Requests: 10, HeldBytes: 5000}}
		var all []*guard.Member
		for i := range 2000 {
			now := time.Duration(i) * 20 * time.Millisecond
			m := &guard.Member{Source: fmt.Sprint(rng.IntN(4))}
			if len(all) > 0 && rng.IntN(3) > 0 {
				m = all[rng.IntN(len(all))]
			}
			switch rng.IntN(6) {
			case 0:
				if len(all) == 0 || m != all[len(all)-1] {
					m = &guard.Member{Source: m.Source}
					if _, ok := b.Open(m, now); ok {
						all = append(all, m)
					}
				}
			case 1:
				b.Remove(m)
			case 2:
				b.End(m)
			case 3:
				if len(all) > 0 {
					b.Enter(all[rng.IntN(len(all))], guard.Phase(rng.IntN(6)), now)
				}
			case 4:
				if len(all) > 0 {
					b.Hold(all[rng.IntN(len(all))], int64(rng.IntN(1000)), now)
				}
			case 5:
				if len(all) > 0 {
					if next := all[rng.IntN(len(all))]; rng.IntN(2) == 0 {
						b.End(next)
						b.Begin(next)
					}
				}
			}
			u := b.Usage()
			assert.Assert(t, u.Connections <= 20 && u.Requests <= 10 && u.Requests >= 0 && u.HeldBytes >= 0, "seed %d, event %d: %+v", seed, i, u)
		}
		for _, m := range all {
			b.Remove(m)
		}
		assert.Equal(t, b.Usage(), guard.Usage{}, "seed %d", seed)
	}
}

// Guards against defaults that ordinary clients meet, on the smallest and the largest instances of the deployments,
// and against a sum of connections beyond the descriptors.
func TestDerivedLimitsLeaveRoomForOrdinaryLoad(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors int64 }{{144, 3075}, {184, 4100}, {536, 8192}, {536, 10_250}} {
		l := guard.Derive(c.memoryMB, c.descriptors)
		assert.Check(t, l.Connections >= 1000 && l.Requests >= 500 && l.Probes >= 32 && l.Peers >= 128, "%+v: %+v", c, l)
		// 64 bodies at the largest part that is held, beside 1,000 heads of 1 KB.
		assert.Check(t, l.HeldBytes >= 64*25<<10+1000<<10, "%+v: %+v", c, l)
	}
	for _, descriptors := range []int64{0, 100, 300, 512, 3075, 10_250} {
		l := guard.Derive(64, descriptors)
		sum := int64(l.Connections + 2*l.Probes + l.Peers)
		assert.Check(t, l.Connections > 0 && (descriptors < 300 || sum <= descriptors*7/10), "%d: %+v", descriptors, l)
	}
	l := guard.Derive(144, 3075)
	assert.Equal(t, l.Lowered(guard.Limits{}), l)
	lowered := l.Lowered(guard.Limits{Connections: 5, Requests: 1 << 30})
	assert.Equal(t, lowered.Connections, 5)
	assert.Equal(t, lowered.Requests, l.Requests)
}
