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

// rackFor starts a rack of three failure domains that stops with the benchmark.
func rackFor(b *testing.B, entries int, routes map[string]back.ServiceTime) *rack.Cluster {
	b.Helper()
	size := rack.DefaultSize()
	size.Entries = entries
	r := &rack.Cluster{Size: size, ServiceTimes: routes, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	assert.NilError(b, r.Start(context.Background()))
	b.Cleanup(func() { stopRack(b, r) })
	assert.NilError(b, r.WaitReady(b.Context()))
	return r
}

// BenchmarkConfiguration measures the time from a publication's commit call
// until its revision is in force on every entry instance.
func BenchmarkConfiguration(b *testing.B) {
	for _, entries := range []int{2, 3} {
		b.Run(fmt.Sprintf("instances=%d", 3*entries), func(b *testing.B) {
			r := rackFor(b, entries, nil)
			times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			version := 0
			for b.Loop() {
				version++
				body := fmt.Appendf(nil, `{"kind":"route","name":"r","deadline_ms":%d}`, version)
				began := time.Now()
				assert.NilError(b, r.Publish(b.Context(), []config.Document{{Kind: "route", Name: "r", Body: body}}))
				assert.NilError(b, times.RecordValue(time.Since(began).Microseconds()))
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}

// BenchmarkStore measures the platform calls of an idle rack and of one under load.
func BenchmarkStore(b *testing.B) {
	for _, rate := range []int{0, 200} {
		b.Run(fmt.Sprintf("requests_per_second=%d", rate), func(b *testing.B) {
			r := rackFor(b, 3, nil)
			docs, err := rack.ExampleDocuments()
			assert.NilError(b, err)
			assert.NilError(b, r.Publish(b.Context(), docs))
			before, began := r.Platform.Counts(), time.Now()
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
				if rate > 0 {
					(&rack.LoadGenerator{URLs: r.EntryURLs(), RequestsPerSecond: rate}).Run(ctx)
				}
				<-ctx.Done()
				cancel()
			}
			after, seconds := r.Platform.Counts(), time.Since(began).Seconds()
			b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
			b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
		})
	}
}

// BenchmarkRequest measures a request sent to a backend server directly and the
// same through an entry instance, one at a time, in the same run.
func BenchmarkRequest(b *testing.B) {
	r := rackFor(b, 3, map[string]back.ServiceTime{"booking": {}, "reorder": {}, "report": {}})
	docs, err := rack.ExampleDocuments()
	assert.NilError(b, err)
	assert.NilError(b, r.Publish(b.Context(), docs))
	targets := map[string]string{
		"direct":               "http://" + r.Backends[0].Address + "/run/booking",
		"entry":                r.EntryURLs()[0] + "/v1/requests/booking",
		"entry_non_idempotent": r.EntryURLs()[0] + "/v1/requests/reorder",
	}
	for _, name := range []string{"direct", "entry", "entry_non_idempotent"} {
		b.Run(name, func(b *testing.B) {
			times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			n := 0
			for b.Loop() {
				n++
				began := time.Now()
				post(b, targets[name], n)
				assert.NilError(b, times.RecordValue(time.Since(began).Microseconds()))
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-us")
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
