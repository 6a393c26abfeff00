package route_test

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// BenchmarkPick measures the selection among the backend servers of one failure domain.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{17, 50} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var r route.Router
			var list []route.Backend
			for i := range n {
				list = append(list, route.Backend{Name: strconv.Itoa(i), Slots: 8})
			}
			r.SetPeerCount(1)
			r.UpdateBackends(list)
			b.ReportAllocs()
			for b.Loop() {
				slot, _ := r.Acquire("r")
				r.Release(slot)
			}
		})
	}
}

// BenchmarkDo measures the latency that the router adds to direct requests over the same protocol.
// Both kinds of requests alternate.
func BenchmarkDo(b *testing.B) {
	address := newFakeBackend(b, "a").listen()
	var r route.Router
	r.SetPeerCount(1)
	r.UpdateBackends([]route.Backend{{Name: "a", Address: address, Slots: 8, Connections: 60}})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols, DisableCompression: true}}
	defer client.CloseIdleConnections()
	body := make([]byte, 1024)

	direct, routed := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	n := 0
	for b.Loop() {
		n++
		id := strconv.Itoa(n)
		start := time.Now()
		req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/run/r", bytes.NewReader(body))
		req.Header.Set("Request-Id", id)
		res, err := client.Do(req)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		middle := time.Now()
		slot, _ := r.Acquire("r")
		resp := r.Do(b.Context(), slot, route.Request{ID: id, Route: "r", Body: body})
		end := time.Now()
		assert.Equal(b, resp.Outcome, route.Answered)
		_ = direct.RecordValue(middle.Sub(start).Microseconds())
		_ = routed.RecordValue(end.Sub(middle).Microseconds())
	}
	for _, q := range []float64{50, 99} {
		directMicros, routedMicros := float64(direct.ValueAtQuantile(q)), float64(routed.ValueAtQuantile(q))
		name := "_p" + strconv.Itoa(int(q)) + "_us"
		b.ReportMetric(directMicros, "direct"+name)
		b.ReportMetric(routedMicros, "router"+name)
		b.ReportMetric(routedMicros-directMicros, "added"+name)
	}
	assert.NilError(b, r.Drain(b.Context()))
}
