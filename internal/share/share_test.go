package share_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/share"
)

// Guards against debts and credits that last: what a team has had, or has not had, counts for a few seconds.
func TestServiceIsForgottenWithinSeconds(t *testing.T) {
	var steady, idle share.Account
	for range 600 {
		steady.Advance(100*time.Millisecond, 10)
		idle.Advance(100*time.Millisecond, 0)
	}
	assert.Assert(t, math.Abs(steady.Service(10)-40) < 0.1, "%f", steady.Service(10))
	assert.Equal(t, idle.Service(0), 0.0)
	steady.Advance(10*time.Second, 0)
	assert.Assert(t, steady.Service(0) < 2, "%f", steady.Service(0))
	before := steady.Service(0)
	steady.Advance(-time.Second, 5)
	assert.Equal(t, steady.Service(0), before)
}

// Guards against an order where there is room for all, and against weights that do not count.
func TestTurnsFollowWeights(t *testing.T) {
	claims := []share.Claim{{Weight: 3, Cores: 80}, {Weight: 1, Cores: 80}, {Weight: 9, Cores: 0}}
	assert.Assert(t, math.IsInf(share.Level(160, claims), 1))
	assert.Equal(t, share.Turn(1e9, 1e9, 1, share.Level(160, claims)), 0.0)
	level := share.Level(100, claims)
	assert.Equal(t, level, 25*4.0)
	assert.Equal(t, share.Turn(300, 0, 3, level), 0.0)
	assert.Equal(t, share.Turn(100, 0, 1, level), 0.0)
	assert.Assert(t, share.Turn(160, 0, 1, level) > 0)
	assert.Assert(t, share.Turn(300, 0, 1, level) > share.Turn(200, 0, 1, level))
	assert.Assert(t, share.Turn(100, 100, 1, level) > 0)
	assert.Assert(t, share.Turn(1, 0, 1, share.Level(-5, claims)) > 0)
	assert.Equal(t, share.Weight(0, []float64{3, 0, 0.5}), 0.5)
	assert.Equal(t, share.Weight(2, []float64{3, 0, 0.5}), 2.0)
	assert.Equal(t, share.Weight(0, []float64{0}), 1.0)
}

// Guards against estimates that decide alone: they are off by up to 90%.
func TestChargesAreBounded(t *testing.T) {
	assert.Equal(t, share.Charge(2, 0), 0.5)
	assert.Equal(t, share.Charge(2, time.Second), 2.0)
	assert.Equal(t, share.Charge(2, time.Hour), 8.0)
}
