package fleet_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/fleet"
)

// A duration beyond int64 must come out the same on all processors, and leave room for a sum.
func TestDurationsAreLimited(t *testing.T) {
	for _, c := range []struct {
		n    float64
		want time.Duration
	}{
		{1e300, fleet.MaxDuration}, {math.Inf(1), fleet.MaxDuration}, {-1e300, -fleet.MaxDuration}, {math.NaN(), 0}, {1.5, 1500 * time.Microsecond},
	} {
		assert.Equal(t, fleet.Times(c.n, time.Millisecond), c.want)
	}
	assert.Equal(t, fleet.Millis(math.MaxInt64), fleet.MaxDuration)
	assert.Equal(t, fleet.Millis(math.MinInt64), -fleet.MaxDuration)
	assert.Equal(t, fleet.Millis(1500), 1500*time.Millisecond)
	sum := fleet.MaxDuration + fleet.MaxDuration
	assert.Assert(t, sum > 0)
}
