package sched_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/internal/plat"
	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/internal/work"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/table"
)

const (
	// measureWindow covers several syncs of each worker, which take place every 2 s.
	measureWindow = 6 * time.Second

	// waitTimeout limits the wait for the state in which a measurement starts.
	waitTimeout = 30 * time.Second
)

// benchCluster is a failure domain with a simulated platform and workers over loopback sockets. Its
// benchmarks measure in real time how cost grows with the size of the failure domain.
type benchCluster struct {
	b         testing.TB
	db        *table.Client
	workers   []*work.Server
	list      table.InstanceList
	config    config.Replica
	bytes     atomic.Int64
	transport *http.Transport
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func newBenchCluster(b testing.TB, workers int) *benchCluster {
	c := &benchCluster{b: b}
	c.transport = &http.Transport{
		MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &c.bytes}, err
		},
	}
	b.Cleanup(c.transport.CloseIdleConnections)
	platform := httptest.NewServer((&plat.Server{Seed: 1}).Handler())
	b.Cleanup(platform.Close)
	c.db = &table.Client{BaseURL: platform.URL, FailureDomain: domain, HTTP: platform.Client()}
	c.config.Apply(config.Update{Full: true})
	for i := range workers {
		c.addWorker(i)
	}
	return c
}

func (c *benchCluster) addWorker(i int) {
	w := &work.Server{
		Name:          fmt.Sprintf("worker-%03d", i),
		FailureDomain: domain,
		Capacity:      work.Resources{CPUMillis: 16_000, MemoryMB: 65_536},
		Seed:          uint64(i),
	}
	server := httptest.NewServer(w.Handler())
	c.b.Cleanup(server.Close)
	c.workers = append(c.workers, w)
	c.list.Instances = append(c.list.Instances, table.Instance{
		Name:          w.Name,
		Role:          "worker",
		Address:       server.Listener.Addr().String(),
		FailureDomain: domain,
		Rack:          fmt.Sprintf("rack-%02d", i/8),
		State:         "live",
		Incarnation:   1,
	})
}

// start starts an owner with the given epoch and returns it with a function that stops it.
func (c *benchCluster) start(epoch int64) (*sched.Owner, func()) {
	ring := &event.Ring{Clock: &event.HybridClock{}}
	o := &sched.Owner{
		Name:             fmt.Sprintf("entry-%d", epoch),
		FailureDomain:    domain,
		FailureDomains:   []string{domain},
		LeaseConfirmedAt: func() (time.Time, bool) { return time.Now(), true },
		ReadRows:         c.db.ScanRows,
		ReadRow:          c.db.ReadRow,
		Commit:           c.db.Commit,
		PutObject:        c.db.PutObject,
		GetObject:        c.db.GetObject,
		Instances:        func() (table.InstanceList, bool) { return c.list, true },
		Config:           &c.config,
		WorkerClient:     &agent.Client{HTTP: &http.Client{Transport: c.transport}},
		RecordEvent:      func(e event.Event) { ring.Add(e) },
		Log:              &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Now:              time.Now,
	}
	o.Init()
	o.OnLeaseAcquired(lease.Lease{FailureDomain: domain, Holder: o.Name, Epoch: epoch})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = o.Run(ctx)
	}()
	return o, func() {
		cancel()
		<-ended
	}
}

// publish publishes services with the given number of tasks each.
func (c *benchCluster) publish(jobs, tasks int) {
	page := config.Update{Revision: c.config.Current().Revision + 1}
	for i := range jobs {
		j := benchJob(config.KindService, fmt.Sprintf("service-%05d", i), tasks)
		doc := config.Document{Kind: j.Kind, Name: j.Name, Body: mustJSON(c.b, j)}
		page.Changes = append(page.Changes, config.Change{
			VersionedDocument: config.VersionedDocument{Document: doc, Version: page.Revision},
			Revision:          page.Revision,
		})
	}
	assert.Assert(c.b, c.config.Apply(page))
}

func benchJob(kind, name string, tasks int) config.Job {
	return config.Job{
		Kind:      kind,
		Name:      name,
		User:      "example",
		Team:      "team-07",
		Tasks:     tasks,
		Resources: config.Resources{CPUMillis: 100, MemoryMB: 256},
		Payload:   []byte(`{"true_cpu_millis":80,"true_memory_mb":200}`),
	}.WithDefaults()
}

// waitFor waits until done returns true and fails the benchmark after waitTimeout.
func (c *benchCluster) waitFor(what string, done func() bool) {
	c.b.Helper()
	for start := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > waitTimeout {
			c.b.Fatalf("%s: not within %s", what, waitTimeout)
		}
	}
}

func (c *benchCluster) awaitRunning(o *sched.Owner, tasks int) {
	c.b.Helper()
	c.waitFor("tasks running", func() bool {
		s := o.Status()
		return s != nil && s.TasksByState["running"] == tasks
	})
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b testing.TB) time.Duration {
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

// reportSteadyCost reports the CPU time and traffic of the owner and the simulated workers while no
// task starts or ends.
func (c *benchCluster) reportSteadyCost(b *testing.B) {
	time.Sleep(2 * time.Second)
	cpuBefore, bytesBefore, start := cpuTime(b), c.bytes.Load(), time.Now()
	time.Sleep(measureWindow)
	seconds := time.Since(start).Seconds()
	workers := float64(len(c.workers))
	used := (cpuTime(b) - cpuBefore).Seconds() / seconds
	b.ReportMetric(100*used, "%core")
	b.ReportMetric(1e6*used/workers, "cpu-us/worker/s")
	b.ReportMetric(float64(c.bytes.Load()-bytesBefore)/seconds/workers, "B/worker/s")
}

// BenchmarkOwnerSlope measures how the steady cost of an owner grows with the number of workers,
// each with 5 tasks. The CPU time includes the simulated workers.
func BenchmarkOwnerSlope(b *testing.B) {
	for _, workers := range []int{16, 64, 222} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, workers)
				c.publish(workers, 5)
				o, stop := c.start(1)
				c.awaitRunning(o, 5*workers)
				c.reportSteadyCost(b)
				stop()
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTaskSlope measures how the memory and the steady CPU time of an owner grow with the
// number of running tasks, 20 in each job, on 222 workers.
func BenchmarkTaskSlope(b *testing.B) {
	for _, tasks := range []int{1_000, 5_000, 20_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, 222)
				c.publish(tasks/20, 20)
				o, stop := c.start(1)
				c.awaitRunning(o, tasks)
				c.reportSteadyCost(b)
				heapWithOwner := heapBytes()
				runtime.KeepAlive(o)
				stop()
				c.transport.CloseIdleConnections()
				ownerHeap := heapWithOwner - heapBytes()
				b.ReportMetric(ownerHeap/1e6, "heap-MB")
				b.ReportMetric(ownerHeap/float64(tasks), "heap-B/task")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// storeEndedJobs stores records of ended jobs as an earlier owner would have, and returns the total
// size of their keys and values.
func (c *benchCluster) storeEndedJobs(jobs int) int {
	written := 0
	for from := 0; from < jobs; from += 100 {
		commit := table.Transaction{}
		for i := from; i < min(from+100, jobs); i++ {
			r := sched.JobRecord{
				Job:        benchJob(config.KindBatch, fmt.Sprintf("report-%05d", i), 5),
				Version:    int64(i),
				State:      sched.JobFinished,
				Done:       []byte{31},
				AcceptedMS: time.Now().UnixMilli(),
				EndedMS:    time.Now().UnixMilli(),
			}
			put := table.Put{Key: "job/" + domain + "/" + r.Job.Name, Value: mustJSON(c.b, r)}
			written += len(put.Key) + len(put.Value)
			commit.Puts = append(commit.Puts, put)
		}
		assert.Equal(c.b, c.db.Commit(context.Background(), commit).Outcome, table.Committed)
	}
	return written
}

// BenchmarkRecoverySlope measures how the time until a new owner has claimed all workers, and its
// memory, grow with the number of ended jobs in the table and of workers. Each worker runs 5 tasks
// of the earlier owner.
func BenchmarkRecoverySlope(b *testing.B) {
	cases := []struct{ jobs, workers int }{{0, 16}, {0, 64}, {0, 222}, {1_000, 222}, {3_333, 222}, {10_000, 222}}
	for _, tc := range cases {
		b.Run(fmt.Sprintf("jobs=%d/workers=%d", tc.jobs, tc.workers), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, tc.workers)
				c.publish(tc.workers, 5)
				o, stop := c.start(1)
				c.awaitRunning(o, 5*tc.workers)
				stop()
				written := c.storeEndedJobs(tc.jobs)
				b.ReportMetric(float64(written)/float64(max(tc.jobs, 1)), "B/row")
				cpuBefore := cpuTime(b)
				o, stop = c.start(2)
				c.waitFor("recovery", func() bool { return o.Counters().RecoveryMS.Load() > 0 })
				b.ReportMetric(float64(o.Counters().RecoveryMS.Load()), "recovery-ms")
				b.ReportMetric(float64((cpuTime(b) - cpuBefore).Milliseconds()), "cpu-ms")
				c.awaitRunning(o, 5*tc.workers)
				heapWithOwner := heapBytes()
				runtime.KeepAlive(o)
				stop()
				b.ReportMetric((heapWithOwner-heapBytes())/1e6, "heap-MB")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkSyncSlope measures syncs without commands. One operation is a sync with each worker,
// which runs 5 tasks. The CPU time includes the simulated workers.
func BenchmarkSyncSlope(b *testing.B) {
	for _, workers := range []int{16, 64, 222} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newBenchCluster(b, workers)
			client := &agent.Client{HTTP: &http.Client{Transport: c.transport}}
			c.claimAndFill(client, 5)
			cpuBefore, bytesBefore, sequence := cpuTime(b), c.bytes.Load(), int64(2)
			b.ResetTimer()
			for range b.N {
				sequence++
				c.syncAll(client, agent.Sync{Owner: "entry-1", Epoch: 1, Sequence: sequence, RenewFromMS: 1})
			}
			b.StopTimer()
			syncs := float64(b.N * workers)
			b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/syncs, "cpu-us/sync")
			b.ReportMetric(float64(c.bytes.Load()-bytesBefore)/syncs, "B/sync")
		})
	}
}

func (c *benchCluster) claimAndFill(client *agent.Client, tasks int) {
	for _, in := range c.list.Instances {
		claimed, outcome, err := client.Claim(context.Background(), in.Address, agent.Claim{Owner: "entry-1", Epoch: 1, Sequence: 1})
		assert.Equal(c.b, outcome, agent.Accepted, "%v", err)
		msg := agent.Sync{Owner: "entry-1", Epoch: 1, Sequence: 2, RenewFromMS: claimed.ClockMS}
		for i := range tasks {
			msg.Starts = append(msg.Starts, agent.Start{
				ID:        fmt.Sprintf("service-%05d/%d", i, i),
				Attempt:   1,
				Job:       fmt.Sprintf("service-%05d", i),
				Class:     "normal",
				Resources: agent.Resources{CPUMillis: 100, MemoryMB: 256},
				OnCutOff:  "stay",
				Payload:   []byte(`{"true_cpu_millis":80,"true_memory_mb":200}`),
			})
		}
		synced, outcome, err := client.Sync(context.Background(), in.Address, msg)
		assert.Equal(c.b, outcome, agent.Accepted, "%v", err)
		assert.Equal(c.b, len(synced.Tasks), tasks)
	}
}

func (c *benchCluster) syncAll(client *agent.Client, msg agent.Sync) {
	for _, in := range c.list.Instances {
		_, outcome, err := client.Sync(context.Background(), in.Address, msg)
		assert.Equal(c.b, outcome, agent.Accepted, "%v", err)
	}
}

// urgentJobs is the number of urgent jobs that are submitted one after the other.
const urgentJobs = 10

// BenchmarkUrgentSlope measures the time from the submission of an urgent job with one task until
// its worker has accepted the start, with free capacity on the workers.
func BenchmarkUrgentSlope(b *testing.B) {
	for _, workers := range []int{16, 64, 222} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, workers)
				c.publish(workers, 5)
				o, stop := c.start(1)
				c.awaitRunning(o, 5*workers)
				c.reportUrgentLatency(b, o)
				stop()
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (c *benchCluster) reportUrgentLatency(b *testing.B, o *sched.Owner) {
	var sum, slowest time.Duration
	for i := range urgentJobs {
		j := benchJob(config.KindBatch, fmt.Sprintf("urgent-%d", i), 1)
		j.Class = "urgent"
		started, start := o.Counters().TasksStarted.Load(), time.Now()
		reply := o.Submit(context.Background(), j, "example")
		assert.Equal(b, reply.Outcome, sched.ReplyAccepted, reply.Reason)
		c.waitFor("urgent start", func() bool { return o.Counters().TasksStarted.Load() > started })
		took := time.Since(start)
		sum += took
		slowest = max(slowest, took)
	}
	b.ReportMetric(float64(sum.Milliseconds())/urgentJobs, "start-mean-ms")
	b.ReportMetric(float64(slowest.Milliseconds()), "start-max-ms")
}
