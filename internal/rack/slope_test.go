package rack_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/rack"
	"github.com/daisyrack/daisyrack/pkg/config"
)

const (
	// measurementWindow covers several rounds of each poll; the longest interval is 1 s.
	measurementWindow = 4 * time.Second

	// introductionPeriod is a little longer than the age of 10 s up to which an
	// instance gets the full member list in the responses to its heartbeats.
	introductionPeriod = 10500 * time.Millisecond

	// publications is the number of timed configuration changes.
	publications = 3
)

func startCluster(b *testing.B, size rack.Size) *rack.Cluster {
	c := &rack.Cluster{Size: size, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	assert.NilError(b, c.Start(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	assert.NilError(b, c.WaitReady(ctx))
	return c
}

func stopCluster(b *testing.B, c *rack.Cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(b, c.Drain(ctx))
	c.Close()
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func domainNames(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("d%02d", i+1))
	}
	return list
}

// BenchmarkFleetSlope measures how the cost of idle entry instances grows with
// their number, at 3 in each failure domain: CPU time including the stand-ins,
// heap, calls to the platform, and the time until all instances have applied a
// configuration change.
func BenchmarkFleetSlope(b *testing.B) {
	for _, n := range []int{2, 6, 18} {
		b.Run(fmt.Sprintf("entries=%d", 3*n), func(b *testing.B) {
			for range b.N {
				before, start := liveHeapBytes(), time.Now()
				// Without workers, the owner of a failure domain is never reported as recovered.
				c := startCluster(b, rack.Size{FailureDomains: domainNames(n), Entries: 3, Workers: 1})
				time.Sleep(introductionPeriod - time.Since(start))
				reportIdleCost(b, c, float64(3*n))
				b.ReportMetric((liveHeapBytes()-before)/1e6/float64(3*n), "heap-MB/entry")
				reportPublishTime(b, c)
				stopCluster(b, c)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func reportIdleCost(b *testing.B, c *rack.Cluster, entries float64) {
	before, cpuBefore, start := c.Platform.Counts(), cpuTime(b), time.Now()
	time.Sleep(measurementWindow)
	seconds := time.Since(start).Seconds()
	after := c.Platform.Counts()
	b.ReportMetric(100*(cpuTime(b)-cpuBefore).Seconds()/seconds/entries, "%core/entry")
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
}

// reportPublishTime measures the time until all instances have applied a change
// of one document.
func reportPublishTime(b *testing.B, c *rack.Cluster) {
	docs, err := rack.ExampleDocuments()
	assert.NilError(b, err)
	i := slices.IndexFunc(docs, func(d config.Document) bool { return d.Kind == config.KindRoute })
	doc := docs[i]
	var slowest, sum time.Duration
	reads := c.Platform.Counts().Reads
	for n := range publications {
		doc.Name = fmt.Sprintf("route-%d", n)
		doc.Body = bodyWithName(b, doc, doc.Name)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		assert.NilError(b, c.Publish(ctx, []config.Document{doc}))
		cancel()
		elapsed := time.Since(start)
		sum += elapsed
		slowest = max(slowest, elapsed)
	}
	b.ReportMetric(float64(slowest.Milliseconds()), "config-max-ms")
	b.ReportMetric(float64(sum.Milliseconds())/publications, "config-mean-ms")
	b.ReportMetric(float64(c.Platform.Counts().Reads-reads)/sum.Seconds(), "config-reads/s")
}

// bodyWithName returns the body of a route document with another name.
func bodyWithName(b *testing.B, doc config.Document, name string) []byte {
	var route config.Route
	assert.NilError(b, json.Unmarshal(doc.Body, &route))
	route.Name = name
	text, err := json.Marshal(route)
	assert.NilError(b, err)
	return text
}

// BenchmarkStoreSlope measures how the rate of platform calls under load grows
// with the number of entry instances, by origin of the calls: three failure
// domains with 3 backend servers and 4 workers each, and 200 requests/s of which
// a quarter is not idempotent.
func BenchmarkStoreSlope(b *testing.B) {
	for _, entries := range []int{1, 2, 3} {
		b.Run(fmt.Sprintf("entries=%d", 3*entries), func(b *testing.B) {
			for range b.N {
				c := startCluster(b, rack.Size{FailureDomains: domainNames(3), Entries: entries, Workers: 4, Backends: 3})
				docs, err := rack.ExampleDocuments()
				assert.NilError(b, err)
				ctx, cancel := context.WithTimeout(context.Background(), 3*measurementWindow)
				assert.NilError(b, c.Publish(ctx, docs))
				load := &rack.LoadGenerator{URLs: c.EntryURLs(), RequestsPerSecond: 200}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					load.Run(ctx)
				}()
				time.Sleep(2 * time.Second)
				reportStoreCalls(b, c, load)
				cancel()
				<-ended
				stopCluster(b, c)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// counters are cumulative values whose increase per second is reported.
type counters struct {
	writes, reads, claimTransactions, claimRows, saves, sent int64
	cpuTime                                                  time.Duration
}

func readCounters(b *testing.B, c *rack.Cluster, load *rack.LoadGenerator) counters {
	counts := c.Platform.Counts()
	s := counters{writes: counts.Writes, reads: counts.Reads, sent: load.Sent.Load(), cpuTime: cpuTime(b)}
	for _, e := range c.Entries {
		stats := e.Instance.GroupCommit.Stats()
		s.claimTransactions += stats.Transactions
		s.claimRows += stats.CommittedRows
		s.saves += e.Instance.Owner.Counters().SavesCommitted.Load()
	}
	return s
}

func reportStoreCalls(b *testing.B, c *rack.Cluster, load *rack.LoadGenerator) {
	before, start := readCounters(b, c, load), time.Now()
	time.Sleep(measurementWindow)
	seconds := time.Since(start).Seconds()
	after := readCounters(b, c, load)
	report := func(n int64, unit string) { b.ReportMetric(float64(n)/seconds, unit) }
	report(after.writes-before.writes, "writes/s")
	report(after.reads-before.reads, "reads/s")
	report(after.claimTransactions-before.claimTransactions, "once-writes/s")
	report(after.claimRows-before.claimRows, "once-rows/s")
	report(after.saves-before.saves, "save-writes/s")
	report(after.sent-before.sent, "requests/s")
	b.ReportMetric(100*(after.cpuTime-before.cpuTime).Seconds()/seconds, "%core")
}
