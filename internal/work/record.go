package work

// Run is one run of a task; a task that has not ended has EndMs 0.
type Run struct {
	ID       string `json:"id"`
	Attempt  int64  `json:"attempt"`
	Job      string `json:"job"`
	StartMs  int64  `json:"start_ms"`
	EndMs    int64  `json:"end_ms"`
	EndState string `json:"end"`
}

// History is what the worker did since its start, across incarnations.
type History struct {
	Name     string    `json:"name"`
	Capacity Resources `json:"capacity"`
	// PeakGranted is the highest sum granted at one moment, for each dimension.
	PeakGranted Resources `json:"peak"`
	Runs        []Run     `json:"runs"`
}

// endCrashed marks a run that a crash ended; the other ends are the states of a task.
const endCrashed = "crashed"

func (r Resources) plus(o Resources) Resources {
	return Resources{
		CPUMillis:    r.CPUMillis + o.CPUMillis,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

func (r Resources) fits(limit Resources) bool {
	return r.CPUMillis <= limit.CPUMillis && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

func (r Resources) peak(o Resources) Resources {
	return Resources{
		CPUMillis:    max(r.CPUMillis, o.CPUMillis),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// valid keeps every amount in a range whose sums can not overflow.
func (r Resources) valid() bool {
	const limit = 1 << 40
	return min(r.CPUMillis, r.MemoryMB, r.Accelerators) >= 0 &&
		max(r.CPUMillis, r.MemoryMB, r.Accelerators) <= limit
}
