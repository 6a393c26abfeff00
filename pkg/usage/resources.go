package usage

// Resources is what a task uses or requests. Accelerators are allocated as whole devices and
// therefore not estimated.
type Resources struct {
	// CPUMillis is processor time in thousandths of a core.
	CPUMillis int64 `json:"cpu_millis"`
	// MemoryMB is memory in units of 2^20 bytes.
	MemoryMB int64 `json:"memory_mb"`
}

// Max returns the larger of both values in each dimension.
func (a Resources) Max(o Resources) Resources {
	return Resources{max(a.CPUMillis, o.CPUMillis), max(a.MemoryMB, o.MemoryMB)}
}

// scale returns a multiplied by factor, rounded up.
func (a Resources) scale(factor float64) Resources {
	return Resources{scaleUp(a.CPUMillis, factor), scaleUp(a.MemoryMB, factor)}
}

// capAt returns a limited to limit in the dimensions that limit sets.
func (a Resources) capAt(limit Resources) Resources {
	if limit.CPUMillis > 0 {
		a.CPUMillis = min(a.CPUMillis, limit.CPUMillis)
	}
	if limit.MemoryMB > 0 {
		a.MemoryMB = min(a.MemoryMB, limit.MemoryMB)
	}
	return a
}
