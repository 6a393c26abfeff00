package fleet

import (
	"math"
	"time"
)

// MaxDuration limits the durations and clocks that are read, in both directions. A clock may count from
// 1970, and the sum of two still fits into a time.Duration.
const MaxDuration = 100 * 365 * 24 * time.Hour

// Times returns n units, limited to MaxDuration. A float beyond int64 converts to different integers on
// arm64 and on x86-64, so it is limited before the conversion.
func Times(n float64, unit time.Duration) time.Duration {
	if math.IsNaN(n) {
		return 0
	}
	return time.Duration(min(max(n*float64(unit), -float64(MaxDuration)), float64(MaxDuration)))
}

// Millis returns n milliseconds, limited to MaxDuration.
func Millis(n int64) time.Duration {
	const limit = int64(MaxDuration / time.Millisecond)
	return time.Duration(min(max(n, -limit), limit)) * time.Millisecond
}
