package rack_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/rack"
	"github.com/daisyrack/daisyrack/pkg/config"
)

// newBenchmarkCluster starts a cluster of three failure domains and stops it at
// the end of the benchmark.
func newBenchmarkCluster(b *testing.B, entries int, routes map[string]back.ServiceTime) *rack.Cluster {
	b.Helper()
	size := rack.DefaultSize()
	size.Entries = entries
	c := &rack.Cluster{Size: size, ServiceTimes: routes, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	assert.NilError(b, c.Start(context.Background()))
	b.Cleanup(func() { stopCluster(b, c) })
	assert.NilError(b, c.WaitReady(b.Context()))
	return c
}

// BenchmarkConfiguration measures the time from the publish call until every
// entry instance has applied the new revision.
func BenchmarkConfiguration(b *testing.B) {
	for _, entries := range []int{2, 3} {
		b.Run(fmt.Sprintf("instances=%d", 3*entries), func(b *testing.B) {
			c := newBenchmarkCluster(b, entries, nil)
			latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			version := 0
			for b.Loop() {
				version++
				body := fmt.Appendf(nil, `{"kind":"route","name":"r","deadline_ms":%d}`, version)
				start := time.Now()
				assert.NilError(b, c.Publish(b.Context(), []config.Document{{Kind: "route", Name: "r", Body: body}}))
				assert.NilError(b, latencies.RecordValue(time.Since(start).Microseconds()))
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}

// BenchmarkStore measures the rate of platform calls of an idle cluster and of
// one under load.
func BenchmarkStore(b *testing.B) {
	for _, rate := range []int{0, 200} {
		b.Run(fmt.Sprintf("requests_per_second=%d", rate), func(b *testing.B) {
			c := newBenchmarkCluster(b, 3, nil)
			docs, err := rack.ExampleDocuments()
			assert.NilError(b, err)
			assert.NilError(b, c.Publish(b.Context(), docs))
			before, start := c.Platform.Counts(), time.Now()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
				if rate > 0 {
					(&rack.LoadGenerator{URLs: c.EntryURLs(), RequestsPerSecond: rate}).Run(ctx)
				}
				<-ctx.Done()
				cancel()
			}
			after, seconds := c.Platform.Counts(), time.Since(start).Seconds()
			b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
			b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
		})
	}
}

// BenchmarkRequest measures the latency of sequential requests: sent directly to
// a backend server, and through an entry instance.
func BenchmarkRequest(b *testing.B) {
	c := newBenchmarkCluster(b, 3, map[string]back.ServiceTime{"booking": {}, "reorder": {}, "report": {}})
	docs, err := rack.ExampleDocuments()
	assert.NilError(b, err)
	assert.NilError(b, c.Publish(b.Context(), docs))
	targets := map[string]string{
		"direct":               "http://" + c.Backends[0].Address + "/run/booking",
		"entry":                c.EntryURLs()[0] + "/v1/requests/booking",
		"entry_non_idempotent": c.EntryURLs()[0] + "/v1/requests/reorder",
	}
	for _, name := range []string{"direct", "entry", "entry_non_idempotent"} {
		b.Run(name, func(b *testing.B) {
			latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			n := 0
			for b.Loop() {
				n++
				start := time.Now()
				post(b, targets[name], n)
				assert.NilError(b, latencies.RecordValue(time.Since(start).Microseconds()))
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
		})
	}
}

func post(b *testing.B, url string, n int) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	assert.NilError(b, err)
	req.Header.Set("Daisyrack-User", "example")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d", b.Name(), b.N, n))
	req.Header.Set("Request-Id", fmt.Sprintf("bench-%d-%d", time.Now().UnixNano(), n))
	req.Header.Set("Request-Deadline-Ms", "5000")
	res, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	assert.Equal(b, res.StatusCode, http.StatusOK)
}
