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
	// slopeWindow covers several turns of every poll, the slowest of which takes 1 s.
	slopeWindow = 4 * time.Second

	// introduction is the age up to which an instance is told of all others.
	introduction = 10500 * time.Millisecond

	// publications is the number of configuration changes that are timed.
	publications = 3
)

func startRack(b *testing.B, size rack.Size) *rack.Cluster {
	r := &rack.Cluster{Size: size, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}
	assert.NilError(b, r.Start(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	assert.NilError(b, r.WaitReady(ctx))
	return r
}

func stopRack(b *testing.B, r *rack.Cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(b, r.Drain(ctx))
	r.Close()
}

// processorTime returns what the whole process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func domains(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("d%02d", i+1))
	}
	return list
}

// BenchmarkFleetSlope measures entry instances without load, 3 in each failure
// domain: processor time with the platform's stand-in, heap, calls to the
// platform, and the time until a configuration change is in force everywhere.
func BenchmarkFleetSlope(b *testing.B) {
	for _, n := range []int{2, 6, 18} {
		b.Run(fmt.Sprintf("entries=%d", 3*n), func(b *testing.B) {
			for range b.N {
				before, began := heapBytes(), time.Now()
				// A failure domain without workers does not report its owner as recovered.
				r := startRack(b, rack.Size{FailureDomains: domains(n), Entries: 3, Workers: 1})
				time.Sleep(introduction - time.Since(began))
				idle(b, r, float64(3*n))
				b.ReportMetric((heapBytes()-before)/1e6/float64(3*n), "heap-MB/entry")
				publish(b, r)
				stopRack(b, r)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func idle(b *testing.B, r *rack.Cluster, entries float64) {
	counts, processor, began := r.Platform.Counts(), processorTime(b), time.Now()
	time.Sleep(slopeWindow)
	seconds := time.Since(began).Seconds()
	after := r.Platform.Counts()
	b.ReportMetric(100*(processorTime(b)-processor).Seconds()/seconds/entries, "%core/entry")
	b.ReportMetric(float64(after.Reads-counts.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Writes-counts.Writes)/seconds, "writes/s")
}

// publish times changes of one document until they are in force everywhere.
func publish(b *testing.B, r *rack.Cluster) {
	docs, err := rack.ExampleDocuments()
	assert.NilError(b, err)
	i := slices.IndexFunc(docs, func(d config.Document) bool { return d.Kind == config.KindRoute })
	doc := docs[i]
	var slowest, sum time.Duration
	reads := r.Platform.Counts().Reads
	for n := range publications {
		doc.Name = fmt.Sprintf("route-%d", n)
		doc.Body = renamed(b, doc, doc.Name)
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		assert.NilError(b, r.Publish(ctx, []config.Document{doc}))
		cancel()
		took := time.Since(began)
		sum += took
		slowest = max(slowest, took)
	}
	b.ReportMetric(float64(slowest.Milliseconds()), "config-max-ms")
	b.ReportMetric(float64(sum.Milliseconds())/publications, "config-mean-ms")
	b.ReportMetric(float64(r.Platform.Counts().Reads-reads)/sum.Seconds(), "config-reads/s")
}

// renamed returns the body of a document under another name.
func renamed(b *testing.B, doc config.Document, name string) []byte {
	var route config.Route
	assert.NilError(b, json.Unmarshal(doc.Body, &route))
	route.Name = name
	text, err := json.Marshal(route)
	assert.NilError(b, err)
	return text
}

// BenchmarkStoreSlope counts calls to the platform under load, by mechanism:
// three failure domains, 3 backend servers and 4 workers each, 200 requests/s of
// which a quarter is not idempotent.
func BenchmarkStoreSlope(b *testing.B) {
	for _, entries := range []int{1, 2, 3} {
		b.Run(fmt.Sprintf("entries=%d", 3*entries), func(b *testing.B) {
			for range b.N {
				r := startRack(b, rack.Size{FailureDomains: domains(3), Entries: entries, Workers: 4, Backends: 3})
				docs, err := rack.ExampleDocuments()
				assert.NilError(b, err)
				ctx, cancel := context.WithTimeout(context.Background(), 3*slopeWindow)
				assert.NilError(b, r.Publish(ctx, docs))
				load := &rack.LoadGenerator{URLs: r.EntryURLs(), RequestsPerSecond: 200}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					load.Run(ctx)
				}()
				time.Sleep(2 * time.Second)
				storeCalls(b, r, load)
				cancel()
				<-ended
				stopRack(b, r)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// stored are counters whose growth is reported per second.
type stored struct {
	writes, reads, once, rows, saves, sent int64
	processor                              time.Duration
}

func counted(b *testing.B, r *rack.Cluster, load *rack.LoadGenerator) stored {
	counts := r.Platform.Counts()
	s := stored{writes: counts.Writes, reads: counts.Reads, sent: load.Sent.Load(), processor: processorTime(b)}
	for _, e := range r.Entries {
		stats := e.Instance.GroupCommit.Stats()
		s.once += stats.Transactions
		s.rows += stats.CommittedRows
		s.saves += e.Instance.Owner.Counters().SavesCommitted.Load()
	}
	return s
}

func storeCalls(b *testing.B, r *rack.Cluster, load *rack.LoadGenerator) {
	from, began := counted(b, r, load), time.Now()
	time.Sleep(slopeWindow)
	seconds := time.Since(began).Seconds()
	to := counted(b, r, load)
	report := func(n int64, unit string) { b.ReportMetric(float64(n)/seconds, unit) }
	report(to.writes-from.writes, "writes/s")
	report(to.reads-from.reads, "reads/s")
	report(to.once-from.once, "once-writes/s")
	report(to.rows-from.rows, "once-rows/s")
	report(to.saves-from.saves, "save-writes/s")
	report(to.sent-from.sent, "requests/s")
	b.ReportMetric(100*(to.processor-from.processor).Seconds()/seconds, "%core")
}
