package usage

// Resources is what a task uses or asks for. Accelerators are whole devices and not learned.
type Resources struct {
	// CPUMillis is processor time in thousandths of a core.
	CPUMillis int64 `json:"cpu_millis"`
	// MemoryMB is memory in units of 2^20 bytes.
	MemoryMB int64 `json:"memory_mb"`
}

// Max returns the larger value of a and o in each dimension.
func (a Resources) Max(o Resources) Resources {
	return Resources{max(a.CPUMillis, o.CPUMillis), max(a.MemoryMB, o.MemoryMB)}
}

// times returns a times factor, rounded up.
func (a Resources) times(factor float64) Resources {
	return Resources{scaled(a.CPUMillis, factor), scaled(a.MemoryMB, factor)}
}

// cap lowers a to limit where limit is set.
func (a Resources) cap(limit Resources) Resources {
	if limit.CPUMillis > 0 {
		a.CPUMillis = min(a.CPUMillis, limit.CPUMillis)
	}
	if limit.MemoryMB > 0 {
		a.MemoryMB = min(a.MemoryMB, limit.MemoryMB)
	}
	return a
}
