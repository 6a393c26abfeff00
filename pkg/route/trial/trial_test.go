package trial_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route/trial"
)

// The policy of the router must not have a higher tail latency than any other policy. The router
// does not use HAVEN's counting, because it has a higher tail latency here. Use -v to see the
// figures.
func TestRouterPolicyHasTheLowestTail(t *testing.T) {
	for _, slow := range []float64{5, 1} {
		for seed := uint64(1); seed <= 2; seed++ {
			p99 := make(map[string]time.Duration)
			for _, r := range trial.Run(seed, slow) {
				t.Logf("slow %v seed %d  %-25s p50 %6.1f ms  p99 %6.1f ms", slow, seed, r.Policy,
					r.P50.Seconds()*1000, r.P99.Seconds()*1000)
				p99[r.Policy] = r.P99
			}
			for name, d := range p99 {
				// With equal servers, all good policies differ by only a few percent.
				limit := map[float64]time.Duration{5: d, 1: d + d/20}[slow]
				assert.Check(t, p99["peak EWMA"] <= limit, name)
			}
		}
	}
}
