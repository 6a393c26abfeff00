package table_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// BenchmarkGroup measures writes and transactions per second, and writes per transaction, with 512
// writers per processor and a store that responds after 5 ms or at once. Each write has one check
// and one put.
func BenchmarkGroup(b *testing.B) {
	cases := []struct {
		perSecond float64
		delay     time.Duration
	}{{0, 0}, {0, 5 * time.Millisecond}, {10, 5 * time.Millisecond}, {3, 5 * time.Millisecond}, {1.3, 5 * time.Millisecond}}
	for _, bc := range cases {
		b.Run(fmt.Sprintf("tx_per_s=%v/delay=%v", bc.perSecond, bc.delay), func(b *testing.B) {
			var version atomic.Int64
			commit := func(context.Context, table.Transaction) table.Result {
				time.Sleep(bc.delay)
				return table.Result{Outcome: table.Committed, Version: version.Add(1)}
			}
			g := &table.GroupCommitter{Commit: commit, TransactionsPerSecond: bc.perSecond, MaxPending: 1 << 16}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error)
			go func() { ended <- g.Run(ctx) }()
			var key atomic.Int64
			b.SetParallelism(512)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					g.Do(ctx, put(fmt.Sprint(key.Add(1)), 0))
				}
			})
			b.StopTimer()
			cancel()
			if err := <-ended; err != nil {
				b.Error(err)
			}
			stats := g.Stats()
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(stats.CommittedWrites)/seconds, "writes/s")
			b.ReportMetric(float64(stats.CommittedTransactions)/seconds, "tx/s")
			b.ReportMetric(float64(stats.CommittedWrites)/float64(stats.CommittedTransactions), "writes/tx")
			b.ReportMetric(0, "ns/op")
		})
	}
}
