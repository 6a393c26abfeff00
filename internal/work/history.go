package work

// Run is one run of a task. EndMs is 0 while the task is running.
type Run struct {
	ID       string `json:"id"`
	Attempt  int64  `json:"attempt"`
	Job      string `json:"job"`
	StartMs  int64  `json:"start_ms"`
	EndMs    int64  `json:"end_ms"`
	EndState string `json:"end"`
}

// RunHistory contains all runs since the start of the fake worker, across incarnations.
type RunHistory struct {
	Name     string    `json:"name"`
	Capacity Resources `json:"capacity"`
	// PeakGranted is the maximum of each resource that was granted at any one time.
	PeakGranted Resources `json:"peak"`
	Runs        []Run     `json:"runs"`
}

// endStateCrashed is the end state of a run that ended in a crash. Other runs end in a State.
const endStateCrashed = "crashed"

func (r Resources) add(o Resources) Resources {
	return Resources{
		CPUMillis:    r.CPUMillis + o.CPUMillis,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

func (r Resources) fits(limit Resources) bool {
	return r.CPUMillis <= limit.CPUMillis && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

func (r Resources) componentMax(o Resources) Resources {
	return Resources{
		CPUMillis:    max(r.CPUMillis, o.CPUMillis),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// valid reports whether no amount is negative or so large that a sum of amounts could overflow.
func (r Resources) valid() bool {
	const limit = 1 << 40
	return min(r.CPUMillis, r.MemoryMB, r.Accelerators) >= 0 &&
		max(r.CPUMillis, r.MemoryMB, r.Accelerators) <= limit
}
