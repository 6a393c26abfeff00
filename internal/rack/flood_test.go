package rack_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/back"
	"github.com/daisyrack/daisyrack/internal/rack"
)

const (
	// serviceTime gives a capacity of 240 requests/s with the 24 slots of a failure domain.
	serviceTime = 100 * time.Millisecond

	urgentRate  = 100
	floodRate   = 2400
	floodWindow = 8 * time.Second
)

// sender sends requests of one class at a constant rate and records the waiting
// time of the answered ones, which is their latency minus the service time.
type sender struct {
	url, class string
	rate       int

	mu       sync.Mutex
	waits    *hdrhistogram.Histogram
	answered int
	refused  int
}

func (s *sender) run(ctx context.Context, client *http.Client) {
	s.waits = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	ticker := time.NewTicker(time.Second / time.Duration(s.rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			wg.Go(func() { s.send(client) })
		}
	}
}

func (s *sender) send(client *http.Client) {
	req, err := http.NewRequest(http.MethodPost, s.url, strings.NewReader("x"))
	if err != nil {
		return
	}
	req.Header.Set("Daisyrack-User", s.class)
	req.Header.Set("Daisyrack-Class", s.class)
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return
	}
	_ = res.Body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.StatusCode != http.StatusOK {
		s.refused++
		return
	}
	s.answered++
	_ = s.waits.RecordValue(max(1, (time.Since(start) - serviceTime).Microseconds()))
}

// BenchmarkFlood measures the waiting time of urgent requests through one entry
// instance, alone and together with deferrable requests at ten times the
// capacity of the failure domain.
func BenchmarkFlood(b *testing.B) {
	for _, rate := range []int{0, floodRate} {
		name := "calm"
		if rate > 0 {
			name = "flood"
		}
		b.Run(name, func(b *testing.B) {
			c := newBenchmarkCluster(b, 1, map[string]back.ServiceTime{"report": {Min: serviceTime, Mean: serviceTime}})
			docs, err := rack.ExampleDocuments()
			assert.NilError(b, err)
			assert.NilError(b, c.Publish(b.Context(), docs))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
			url := c.EntryURLs()[0] + "/v1/requests/report"
			urgent := &sender{url: url, class: "urgent", rate: urgentRate}
			deferrable := &sender{url: url, class: "deferrable", rate: max(1, rate)}
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), floodWindow)
				var wg sync.WaitGroup
				wg.Go(func() { urgent.run(ctx, client) })
				if rate > 0 {
					wg.Go(func() { deferrable.run(ctx, client) })
				}
				wg.Wait()
				cancel()
			}
			b.ReportMetric(float64(urgent.waits.ValueAtQuantile(50))/1000, "urgent-p50-ms")
			b.ReportMetric(float64(urgent.waits.ValueAtQuantile(99))/1000, "urgent-p99-ms")
			b.ReportMetric(float64(urgent.refused), "urgent-refused")
			b.ReportMetric(float64(urgent.answered), "urgent-answered")
			b.ReportMetric(float64(deferrable.answered), "cheap-answered")
			b.ReportMetric(float64(deferrable.refused), "cheap-refused")
		})
	}
}
