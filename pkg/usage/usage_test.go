package usage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/usage"
)

var start = time.Unix(1_700_000_000, 0).UTC()

// Guards against a declared size that is kept, or dropped too early, when reports differ.
func TestSizeFollowsReports(t *testing.T) {
	b := usage.Book{Capacity: usage.Amount{CPUMillis: 16_000, MemoryMB: 65_536}}
	declared := usage.Amount{CPUMillis: 8_000, MemoryMB: 32_768}
	assert.Equal(t, b.Size("a", declared), declared)
	for i := range 40 {
		b.Observe("a", usage.Amount{CPUMillis: 1_000, MemoryMB: 2_048}, start.Add(time.Duration(i)*time.Second))
	}
	got := b.Size("a", declared)
	assert.Assert(t, got.CPUMillis >= 1_000 && got.CPUMillis <= 1_300, "%+v", got)
	assert.Assert(t, got.MemoryMB >= 2_048 && got.MemoryMB <= 2_700, "%+v", got)
	b.Observe("a", usage.Amount{CPUMillis: 99_000, MemoryMB: 9_000}, start.Add(time.Minute))
	assert.Equal(t, b.Size("a", declared), usage.Amount{CPUMillis: 16_000, MemoryMB: 9_000})
}

// Guards against estimates that are lost or changed by a restart.
func TestSnapshotRestoresEstimates(t *testing.T) {
	var b, c usage.Book
	for i := range 40 {
		b.Observe("a", usage.Amount{CPUMillis: int64(100 * i), MemoryMB: 2_048}, start.Add(time.Duration(i)*time.Second))
		b.Finished("a", time.Duration(i)*time.Minute)
	}
	assert.NilError(t, c.Restore(b.Snapshot()))
	assert.Equal(t, c.Size("a", usage.Amount{}), b.Size("a", usage.Amount{}))
	assert.Equal(t, string(c.Snapshot()), string(b.Snapshot()))
	assert.ErrorIs(t, c.Restore([]byte(`{"version":9}`)), usage.ErrSnapshot)
	run, known := c.RunTime("a", 0)
	assert.Assert(t, known && run > 30*time.Minute && run < 45*time.Minute, "%v", run)
}
