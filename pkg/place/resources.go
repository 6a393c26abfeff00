package place

// Limits of the capacity of one worker. They are far above any machine, and the sum over 8 billion
// workers at the limit still fits into an int64; docs/CAPACITY.md builds towards 4,000.
const (
	// MaxCPUMillis is a million cores, in thousandths of a core.
	MaxCPUMillis = 1_000_000_000
	// MaxMemoryMB is 2^50 bytes, in units of 2^20 bytes.
	MaxMemoryMB = 1 << 30
	// MaxAccelerators is a million accelerators.
	MaxAccelerators = 1_000_000
)

// Resources is a vector of the resources of a worker or a task.
type Resources struct {
	// CPUMillis is CPU in thousandths of a core.
	CPUMillis int64 `json:"cpu_millis"`
	// MemoryMB is memory in units of 2^20 bytes.
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMillis + o.CPUMillis, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMillis <= free.CPUMillis && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Max returns the element-wise maximum of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		max(r.CPUMillis, o.CPUMillis),
		max(r.MemoryMB, o.MemoryMB),
		max(r.Accelerators, o.Accelerators),
	}
}

// Min returns the element-wise minimum of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		min(r.CPUMillis, o.CPUMillis),
		min(r.MemoryMB, o.MemoryMB),
		min(r.Accelerators, o.Accelerators),
	}
}

// negative reports whether any dimension is negative.
func (r Resources) negative() bool {
	return r.CPUMillis < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// positive returns r with negative dimensions replaced by zero.
func (r Resources) positive() Resources {
	return r.Max(Resources{})
}

// maxCapacity is the limit of the capacity of one worker and of the need of one task.
var maxCapacity = Resources{MaxCPUMillis, MaxMemoryMB, MaxAccelerators}

// valid reports whether a need is neither negative nor above the limits.
func (r Resources) valid() bool {
	return !r.negative() && r.Fits(maxCapacity)
}
