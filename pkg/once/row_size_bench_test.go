package once_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// BenchmarkRowSlope measures, for several response sizes, the rows and bytes that a finished claim
// writes, and the size of the row that is kept.
func BenchmarkRowSlope(b *testing.B) {
	for _, size := range []int{100, 1 << 10, once.MaxInlineBytes} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			var written, kept, writes int
			r := &once.Deduplicator{
				Instance: "entry-d00-1",
				Commit: func(_ context.Context, w table.Write) table.Result {
					writes++
					kept = 0
					for _, p := range w.Puts {
						kept += len(p.Key) + len(p.Value)
					}
					written += kept
					return table.Result{Outcome: table.Committed, Version: int64(writes)}
				},
			}
			body := []byte(strings.Repeat("x", size))
			ctx := context.Background()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				claim, v := r.Claim(ctx, "example/team-07", fmt.Sprintf("2f1c2a4e-7b1d-4a51-9c7c-%012d", i), 1)
				assert.Equal(b, v, once.Run)
				r.Finish(ctx, claim, once.Response{Status: 200, Body: body, ContentType: "application/json"})
			}
			b.StopTimer()
			r.Drain(ctx)
			b.ReportMetric(float64(writes)/float64(b.N), "rows/request")
			b.ReportMetric(float64(written)/float64(b.N), "B-written/request")
			b.ReportMetric(float64(kept), "B-kept/request")
		})
	}
}
