package work

import (
	"time"

	"github.com/daisyrack/daisyrack/pkg/lease"
)

const (
	// never is the end time of a service.
	never = time.Duration(1<<63 - 1)

	// maxRun is ten years. A longer run time could overflow the clock.
	maxRun = maxRunMs * time.Millisecond
)

// task is a Task with the state of its simulation. Times are readings of the worker's clock.
type task struct {
	Task
	actual       payload
	started      time.Duration
	endsAt       time.Duration // never for a service
	cpuLimit     int64         // CPU limit in millicores set by a throttle, 0 for none
	historyIndex int           // index in RunHistory.Runs
}

func newTask(st Start, now time.Duration, failOnStart bool) *task {
	actual := decodePayload(st.Payload)
	runMs := st.RunMs
	if actual.TrueRunMs > 0 {
		runMs = min(actual.TrueRunMs, maxRunMs)
	}
	actual.Fail = actual.Fail || failOnStart
	t := &task{
		Task: Task{
			ID: st.ID, Attempt: st.Attempt, Job: st.Job, Class: st.Class, Resources: st.Resources,
			OnCutOff: st.OnCutOff, State: Running, StartedMs: now.Milliseconds(),
		},
		actual:  actual,
		started: now,
		endsAt:  never,
	}
	if actual.TrueCPUMillis <= 0 {
		t.actual.TrueCPUMillis = st.Resources.CPUMillis
	}
	if actual.TrueMemoryMB <= 0 {
		t.actual.TrueMemoryMB = st.Resources.MemoryMB
	}
	if failOnStart || (actual.Fail && runMs == 0) {
		t.endsAt = now
	} else if runMs > 0 {
		t.endsAt = now + time.Duration(runMs)*time.Millisecond
	}
	return t
}

// nextEnd returns the time and state in which the task ends by itself, or is stopped because the
// owner's lease has expired, whichever is earlier.
func (t *task) nextEnd(f *lease.Fence) (time.Duration, State) {
	end, state := t.endsAt, Succeeded
	if t.actual.Fail {
		state = Failed
	}
	if expiresAt, _ := f.ExpiresAt(t.OnCutOff); expiresAt < end {
		return expiresAt, Stopped
	}
	return end, state
}

// speed returns the fraction of the CPU usage of the task that its throttle allows.
func (t *task) speed() float64 {
	if t.cpuLimit == 0 || t.cpuLimit >= t.actual.TrueCPUMillis {
		return 1
	}
	return float64(t.cpuLimit) / float64(t.actual.TrueCPUMillis)
}

// throttle changes the CPU limit and scales the remaining run time in inverse proportion.
func (t *task) throttle(limit int64, now time.Duration) {
	oldSpeed := t.speed()
	t.cpuLimit = max(0, limit)
	if t.endsAt != never {
		remaining := float64(t.endsAt-now) * oldSpeed / t.speed()
		t.endsAt = now + time.Duration(min(remaining, float64(maxRun)))
	}
}
