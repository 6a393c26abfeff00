package work

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/lease"
)

const (
	// never is the end of a service.
	never = time.Duration(1<<63 - 1)

	// maxRun is ten years; a longer run would overflow the clock.
	maxRun = maxRunMs * time.Millisecond
)

// task is a Task with what the simulation needs; times are readings of the worker's clock.
type task struct {
	Task
	truth   payload
	started time.Duration
	ends    time.Duration // never for a service
	limit   int64         // processors allowed by a throttle, 0 for none
	run     int           // index in the record
}

func newTask(st Start, now time.Duration, failAtOnce bool) *task {
	truth := decodePayload(st.Payload)
	runMs := st.RunMs
	if truth.TrueRunMs > 0 {
		runMs = min(truth.TrueRunMs, maxRunMs)
	}
	truth.Fail = truth.Fail || failAtOnce
	t := &task{
		Task: Task{
			ID: st.ID, Attempt: st.Attempt, Job: st.Job, Class: st.Class, Resources: st.Resources,
			OnCutOff: st.OnCutOff, State: Running, StartedMs: now.Milliseconds(),
		},
		truth:   truth,
		started: now,
		ends:    never,
	}
	if truth.TrueCPUMillis <= 0 {
		t.truth.TrueCPUMillis = st.Resources.CPUMillis
	}
	if truth.TrueMemoryMB <= 0 {
		t.truth.TrueMemoryMB = st.Resources.MemoryMB
	}
	if failAtOnce || (truth.Fail && runMs == 0) {
		t.ends = now
	} else if runMs > 0 {
		t.ends = now + time.Duration(runMs)*time.Millisecond
	}
	return t
}

// due returns when the task ends by itself or by the fence, and in which state.
func (t *task) due(f *lease.Fence) (time.Duration, State) {
	end, state := t.ends, Succeeded
	if t.truth.Fail {
		state = Failed
	}
	if until, _ := f.ExpiresAt(t.OnCutOff); until < end {
		return until, Stopped
	}
	return end, state
}

// speed is the part of the wanted processors that the throttle leaves.
func (t *task) speed() float64 {
	if t.limit == 0 || t.limit >= t.truth.TrueCPUMillis {
		return 1
	}
	return float64(t.limit) / float64(t.truth.TrueCPUMillis)
}

// throttle changes the processors allowed; what is left of the run takes longer or shorter in proportion.
func (t *task) throttle(limit int64, now time.Duration) {
	before := t.speed()
	t.limit = max(0, limit)
	if t.ends != never {
		left := float64(t.ends-now) * before / t.speed()
		t.ends = now + time.Duration(min(left, float64(maxRun)))
	}
}
