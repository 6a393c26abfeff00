package share_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/share"
	"github.com/daisyrack/daisyrack/pkg/place"
)

func res(cpu, memory, accelerators int64) place.Resources {
	return place.Resources{CPUMillis: cpu, MemoryMB: memory, Accelerators: accelerators}
}

// Guards against starts above the quota in any one resource, and against a limit of 0 that lets nothing run.
func TestEachResourceIsBounded(t *testing.T) {
	for _, c := range []struct {
		limit, used, assumed, need place.Resources
		most, room                 int
	}{
		{limit: res(4000, 0, 0), need: res(1000, 9000, 9), most: 9, room: 4},
		{limit: res(4000, 0, 0), used: res(1000, 0, 0), assumed: res(1500, 0, 0), need: res(1000, 0, 0), most: 9, room: 1},
		{limit: res(4000, 2000, 0), used: res(1000, 1000, 0), need: res(1000, 500, 0), most: 9, room: 2},
		{limit: res(4000, 2000, 1), used: res(0, 0, 1), need: res(1000, 500, 1), most: 9, room: 0},
		{limit: res(4000, 0, 1), used: res(0, 0, 2), need: res(1000, 0, 0), most: 9, room: 0},
		{limit: res(4000, 0, 0), used: res(4000, 0, 0), need: res(0, 10, 0), most: 9, room: 9},
		{limit: res(4000, 0, 0), used: res(5000, 0, 0), need: res(0, 10, 0), most: 9, room: 0},
		{need: res(1000, 500, 1), used: res(1e15, 1e15, 1e15), most: 9, room: 9},
		{limit: res(4000, 0, 0), need: res(5000, 0, 0), most: 9, room: 1},
		{limit: res(4000, 0, 0), assumed: res(1, 0, 0), need: res(5000, 0, 0), most: 9, room: 0},
		{limit: res(4000, 0, 0), used: res(5000, 0, 0), need: res(5000, 0, 0), most: 9, room: 0},
	} {
		q := share.Quota{Limit: c.limit, Assumed: c.assumed}
		if c.used != (place.Resources{}) {
			q.Count(c.used, 1)
		}
		assert.Equal(t, q.Room(c.need, c.most), c.room, "%+v", c)
		assert.Equal(t, q.Allows(c.need, 1), c.room > 0, "%+v", c)
		if c.room > 1 {
			assert.Assert(t, q.Allows(c.need, c.room), "%+v", c)
		}
		if c.room < c.most {
			assert.Assert(t, !q.Allows(c.need, c.room+1) || c.room == 0 && !q.Allows(c.need, 1), "%+v", c)
		}
	}
}

// Guards against a quota that is exhausted by runs that have ended, and against a single large run that counts as an
// excess.
func TestRunsThatEndNoLongerCount(t *testing.T) {
	q := share.Quota{Limit: res(4000, 0, 0)}
	q.Count(res(5000, 100, 0), 1)
	assert.Assert(t, !q.Exceeded())
	q.Count(res(1000, 0, 0), 1)
	assert.Assert(t, q.Exceeded())
	q.Count(res(5000, 100, 0), -1)
	q.Count(res(1000, 0, 0), -1)
	assert.Equal(t, q, share.Quota{Limit: res(4000, 0, 0)})
	assert.Assert(t, q.EverAllows(res(5000, 0, 0), 1))
	assert.Assert(t, q.EverAllows(res(1000, 0, 0), 4))
	assert.Assert(t, !q.EverAllows(res(1000, 0, 0), 5))
}
