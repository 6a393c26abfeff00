package health_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/health"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against placing tasks again and again on a worker where every task fails.
func TestFaultyWorkerIsQuarantinedAndProbed(t *testing.T) {
	var h health.Tracker
	for i := range 5 {
		ok, _ := h.Usable(start, "w")
		assert.Assert(t, ok, "after %d failures", i)
		h.RecordFailure(start, "w", "job"+strconv.Itoa(i%3))
	}
	ok, _ := h.Usable(start.Add(9*time.Second), "w")
	assert.Assert(t, !ok)
	now := start.Add(10 * time.Second)
	ok, probe := h.Usable(now, "w")
	assert.Assert(t, ok && probe)
	h.RecordProbeStart(now, "w")
	ok, _ = h.Usable(now, "w")
	assert.Assert(t, !ok, "second probe")
	h.RecordFailure(now, "w", "job0")
	ok, _ = h.Usable(now.Add(19*time.Second), "w")
	assert.Assert(t, !ok, "quarantine did not double")
	h.RecordSuccess(now.Add(20*time.Second), "w", "job0")
	ok, probe = h.Usable(now.Add(20*time.Second), "w")
	assert.Assert(t, ok && !probe)
}

// Guards against a crash-looping job that causes healthy workers to be quarantined.
func TestCrashLoopingJobIsBackedOff(t *testing.T) {
	var h health.Tracker
	now := start
	for i := range 30 {
		h.RecordFailure(now, "w"+strconv.Itoa(i%5), "loop")
		now = h.NextAttempt(now, "loop")
	}
	assert.DeepEqual(t, h.BackedOff(), []string{"loop"})
	assert.Equal(t, len(h.Quarantined()), 0)
	assert.Equal(t, h.NextAttempt(now.Add(-time.Second), "loop").Equal(now), true)
	h.RecordSuccess(now, "w0", "loop")
	assert.Equal(t, h.NextAttempt(start, "loop"), start)
}
