package trial_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route/trial"
)

// Guards against a router whose policy is worse than a simple one or than one with HAVEN's
// counting, which is left out because it loses. Run with -v for the figures.
func TestRoutersPolicyHasTheLowestTail(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		p99 := make(map[string]time.Duration)
		for _, r := range trial.Run(seed) {
			t.Logf("seed %d  %-25s p50 %6.1f ms  p99 %6.1f ms", seed, r.Policy,
				r.P50.Seconds()*1000, r.P99.Seconds()*1000)
			p99[r.Policy] = r.P99
		}
		for name, d := range p99 {
			assert.Check(t, p99["peak EWMA"] <= d, name)
		}
	}
}
