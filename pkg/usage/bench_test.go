package usage_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/daisyrack/daisyrack/pkg/usage"
)

// BenchmarkBook measures reports, estimates and snapshots of 4,096 jobs.
func BenchmarkBook(b *testing.B) {
	var book usage.Book
	names := make([]string, 4096)
	for i := range names {
		names[i] = "job" + strconv.Itoa(i)
	}
	observe := func(i int) {
		used := usage.Amount{CPUMillis: int64(100 + i%977), MemoryMB: int64(100 + i%1009)}
		book.Observe(names[i%len(names)], used, start.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 100 * len(names) {
		observe(i)
	}
	b.Run("observe", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			observe(i)
		}
	})
	b.Run("size", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			book.Size(names[i%len(names)], usage.Amount{})
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		for range b.N {
			b.ReportMetric(float64(len(book.Snapshot())), "bytes")
		}
	})
}
