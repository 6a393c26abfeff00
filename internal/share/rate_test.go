package share_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/share"
)

// Guards against jobs of a team within its rate that count as beyond it, and against a new version of the configuration
// that fills the bucket.
func TestRate(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var r share.Rate
	assert.Assert(t, r.Take(start), "no rate is known")
	r.Set(start, 2)
	for range 8 {
		assert.Assert(t, r.Take(start), "the bucket of a new owner is full")
	}
	assert.Assert(t, !r.Take(start))
	later := start.Add(500 * time.Millisecond)
	assert.Assert(t, r.Take(later), "a job beyond the rate leaves no debt")
	r.Set(later, 2)
	assert.Assert(t, !r.Take(later))
	r.Set(later, 20)
	assert.Assert(t, r.Take(later.Add(100*time.Millisecond)))
	var small share.Rate
	small.Set(start, 0.1)
	for range 3 {
		assert.Assert(t, small.Take(start))
	}
	assert.Assert(t, !small.Take(start.Add(9*time.Second)))
	assert.Assert(t, small.Take(start.Add(11*time.Second)))
}
