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
	// serviceTime and the 24 slots of a failure domain give 240 requests/s.
	serviceTime = 100 * time.Millisecond

	urgentPerSecond = 100
	floodPerSecond  = 2400
	floodWindow     = 8 * time.Second
)

// sender sends requests of one class at a steady rate and keeps the waiting
// time of the answered ones: their whole time less the service time.
type sender struct {
	url, class string
	perSecond  int

	mu       sync.Mutex
	waits    *hdrhistogram.Histogram
	answered int
	refused  int
}

func (s *sender) run(ctx context.Context, client *http.Client) {
	s.waits = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	tick := time.NewTicker(time.Second / time.Duration(s.perSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
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
	began := time.Now()
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
	_ = s.waits.RecordValue(max(1, (time.Since(began) - serviceTime).Microseconds()))
}

// BenchmarkFlood measures urgent requests alone and under a flood of deferrable
// ones ten times what the failure domain can run, through one entry instance.
func BenchmarkFlood(b *testing.B) {
	for _, flood := range []int{0, floodPerSecond} {
		name := "calm"
		if flood > 0 {
			name = "flood"
		}
		b.Run(name, func(b *testing.B) {
			r := rackFor(b, 1, map[string]back.ServiceTime{"report": {Min: serviceTime, Mean: serviceTime}})
			docs, err := rack.ExampleDocuments()
			assert.NilError(b, err)
			assert.NilError(b, r.Publish(b.Context(), docs))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
			url := r.EntryURLs()[0] + "/v1/requests/report"
			urgent := &sender{url: url, class: "urgent", perSecond: urgentPerSecond}
			cheap := &sender{url: url, class: "deferrable", perSecond: max(1, flood)}
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), floodWindow)
				var wg sync.WaitGroup
				wg.Go(func() { urgent.run(ctx, client) })
				if flood > 0 {
					wg.Go(func() { cheap.run(ctx, client) })
				}
				wg.Wait()
				cancel()
			}
			b.ReportMetric(float64(urgent.waits.ValueAtQuantile(50))/1000, "urgent-p50-ms")
			b.ReportMetric(float64(urgent.waits.ValueAtQuantile(99))/1000, "urgent-p99-ms")
			b.ReportMetric(float64(urgent.refused), "urgent-refused")
			b.ReportMetric(float64(urgent.answered), "urgent-answered")
			b.ReportMetric(float64(cheap.answered), "cheap-answered")
			b.ReportMetric(float64(cheap.refused), "cheap-refused")
		})
	}
}
