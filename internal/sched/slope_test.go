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
	// slopeWindow covers several syncs of each worker, one every 2 s.
	slopeWindow = 6 * time.Second

	// slopeLimit bounds the wait for a state that a slope starts from.
	slopeLimit = 30 * time.Second
)

// fleet is one failure domain over loopback sockets, for slopes in real time.
type fleet struct {
	b         testing.TB
	db        *table.Client
	workers   []*work.Server
	list      table.InstanceList
	config    config.Holder
	bytes     atomic.Int64
	transport *http.Transport
}

// countedConn counts the bytes of both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func newFleet(b testing.TB, workers int) *fleet {
	f := &fleet{b: b}
	f.transport = &http.Transport{
		MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countedConn{conn, &f.bytes}, err
		},
	}
	b.Cleanup(f.transport.CloseIdleConnections)
	platform := httptest.NewServer((&plat.Server{Seed: 1}).Handler())
	b.Cleanup(platform.Close)
	f.db = &table.Client{BaseURL: platform.URL, FailureDomain: domain, HTTP: platform.Client()}
	f.config.Apply(config.Page{Whole: true})
	for i := range workers {
		f.addWorker(i)
	}
	return f
}

func (f *fleet) addWorker(i int) {
	w := &work.Server{
		Name:          fmt.Sprintf("worker-%03d", i),
		FailureDomain: domain,
		Capacity:      work.Resources{CPUMillis: 16_000, MemoryMB: 65_536},
		Seed:          uint64(i),
	}
	server := httptest.NewServer(w.Handler())
	f.b.Cleanup(server.Close)
	f.workers = append(f.workers, w)
	f.list.Instances = append(f.list.Instances, table.Instance{
		Name:          w.Name,
		Role:          "worker",
		Address:       server.Listener.Addr().String(),
		FailureDomain: domain,
		Rack:          fmt.Sprintf("rack-%02d", i/8),
		State:         "live",
		Incarnation:   1,
	})
}

// start starts an owner of the given epoch; the returned function ends it.
func (f *fleet) start(epoch int64) (*sched.Owner, func()) {
	ring := &event.Ring{Clock: &event.Clock{}}
	o := &sched.Owner{
		Name:             fmt.Sprintf("entry-%d", epoch),
		FailureDomain:    domain,
		FailureDomains:   []string{domain},
		LeaseConfirmedAt: func() (time.Time, bool) { return time.Now(), true },
		Rows:             f.db.AllRows,
		Row:              f.db.Row,
		Commit:           f.db.Commit,
		PutObject:        f.db.PutObject,
		Object:           f.db.Object,
		Instances:        func() (table.InstanceList, bool) { return f.list, true },
		Config:           &f.config,
		WorkerClient:     &agent.Client{HTTP: &http.Client{Transport: f.transport}},
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

// publish puts services with the given number of tasks into force.
func (f *fleet) publish(jobs, tasks int) {
	page := config.Page{Revision: f.config.Current().Revision + 1}
	for i := range jobs {
		j := slopeJob(config.KindService, fmt.Sprintf("service-%05d", i), tasks)
		doc := config.Document{Kind: j.Kind, Name: j.Name, Body: mustJSON(f.b, j)}
		page.Changes = append(page.Changes, config.Change{
			Entry:    config.Entry{Document: doc, Version: page.Revision},
			Revision: page.Revision,
		})
	}
	assert.Assert(f.b, f.config.Apply(page))
}

func slopeJob(kind, name string, tasks int) config.Job {
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

// wait waits until done is true.
func (f *fleet) wait(what string, done func() bool) {
	f.b.Helper()
	for began := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > slopeLimit {
			f.b.Fatalf("%s: not within %s", what, slopeLimit)
		}
	}
}

func (f *fleet) awaitRunning(o *sched.Owner, tasks int) {
	f.b.Helper()
	f.wait("tasks running", func() bool {
		s := o.Status()
		return s != nil && s.TasksByState["running"] == tasks
	})
}

// processorTime returns what the whole process has used.
func processorTime(b testing.TB) time.Duration {
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

// steady reports what an owner and the workers' stand-ins cost while nothing changes.
func (f *fleet) steady(b *testing.B) {
	time.Sleep(2 * time.Second)
	processor, carried, began := processorTime(b), f.bytes.Load(), time.Now()
	time.Sleep(slopeWindow)
	seconds := time.Since(began).Seconds()
	workers := float64(len(f.workers))
	used := (processorTime(b) - processor).Seconds() / seconds
	b.ReportMetric(100*used, "%core")
	b.ReportMetric(1e6*used/workers, "cpu-us/worker/s")
	b.ReportMetric(float64(f.bytes.Load()-carried)/seconds/workers, "B/worker/s")
}

// BenchmarkOwnerSlope measures the steady cost of an owner against the number
// of workers, each with 5 tasks. Processor time includes the stand-ins.
func BenchmarkOwnerSlope(b *testing.B) {
	for _, workers := range []int{16, 64, 222} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, workers)
				f.publish(workers, 5)
				o, stop := f.start(1)
				f.awaitRunning(o, 5*workers)
				f.steady(b)
				stop()
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTaskSlope measures the memory of an owner and its steady processor
// time against the number of running tasks, 20 in each job, on 222 workers.
func BenchmarkTaskSlope(b *testing.B) {
	for _, tasks := range []int{1_000, 5_000, 20_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, 222)
				f.publish(tasks/20, 20)
				o, stop := f.start(1)
				f.awaitRunning(o, tasks)
				f.steady(b)
				with := heapBytes()
				runtime.KeepAlive(o)
				stop()
				f.transport.CloseIdleConnections()
				held := with - heapBytes()
				b.ReportMetric(held/1e6, "heap-MB")
				b.ReportMetric(held/float64(tasks), "heap-B/task")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// seed writes the records of ended jobs as an earlier owner has left them, and
// returns the bytes of their keys and values.
func (f *fleet) seed(jobs int) int {
	written := 0
	for from := 0; from < jobs; from += 100 {
		c := table.Commit{}
		for i := from; i < min(from+100, jobs); i++ {
			r := sched.JobRecord{
				Job:        slopeJob(config.KindBatch, fmt.Sprintf("report-%05d", i), 5),
				Version:    int64(i),
				State:      sched.JobFinished,
				Done:       []byte{31},
				AcceptedMS: time.Now().UnixMilli(),
				EndedMS:    time.Now().UnixMilli(),
			}
			put := table.Put{Key: "job/" + domain + "/" + r.Job.Name, Value: mustJSON(f.b, r)}
			written += len(put.Key) + len(put.Value)
			c.Puts = append(c.Puts, put)
		}
		assert.Equal(f.b, f.db.Commit(context.Background(), c).Outcome, table.Committed)
	}
	return written
}

// BenchmarkRecoverySlope measures a new owner's time until all workers are
// claimed, and its memory, against the ended jobs in the table and the workers.
// Each worker runs 5 tasks of the earlier owner.
func BenchmarkRecoverySlope(b *testing.B) {
	cases := []struct{ jobs, workers int }{{0, 16}, {0, 64}, {0, 222}, {1_000, 222}, {3_333, 222}, {10_000, 222}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("jobs=%d/workers=%d", c.jobs, c.workers), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, c.workers)
				f.publish(c.workers, 5)
				o, stop := f.start(1)
				f.awaitRunning(o, 5*c.workers)
				stop()
				written := f.seed(c.jobs)
				b.ReportMetric(float64(written)/float64(max(c.jobs, 1)), "B/row")
				processor := processorTime(b)
				o, stop = f.start(2)
				f.wait("recovery", func() bool { return o.Counters().RecoveryMS.Load() > 0 })
				b.ReportMetric(float64(o.Counters().RecoveryMS.Load()), "recovery-ms")
				b.ReportMetric(float64((processorTime(b) - processor).Milliseconds()), "cpu-ms")
				f.awaitRunning(o, 5*c.workers)
				with := heapBytes()
				runtime.KeepAlive(o)
				stop()
				b.ReportMetric((with-heapBytes())/1e6, "heap-MB")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkSyncSlope measures syncs without commands: one operation is one
// sync with each worker, 5 tasks each. Processor time includes the stand-ins.
func BenchmarkSyncSlope(b *testing.B) {
	for _, workers := range []int{16, 64, 222} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFleet(b, workers)
			client := &agent.Client{HTTP: &http.Client{Transport: f.transport}}
			f.claimAndFill(client, 5)
			processor, carried, sequence := processorTime(b), f.bytes.Load(), int64(2)
			b.ResetTimer()
			for range b.N {
				sequence++
				f.syncAll(client, agent.Sync{Owner: "entry-1", Epoch: 1, Sequence: sequence, RenewFromMS: 1})
			}
			b.StopTimer()
			syncs := float64(b.N * workers)
			b.ReportMetric(float64((processorTime(b)-processor).Microseconds())/syncs, "cpu-us/sync")
			b.ReportMetric(float64(f.bytes.Load()-carried)/syncs, "B/sync")
		})
	}
}

func (f *fleet) claimAndFill(client *agent.Client, tasks int) {
	for _, in := range f.list.Instances {
		claimed, outcome, err := client.Claim(context.Background(), in.Address, agent.Claim{Owner: "entry-1", Epoch: 1, Sequence: 1})
		assert.Equal(f.b, outcome, agent.Accepted, "%v", err)
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
		assert.Equal(f.b, outcome, agent.Accepted, "%v", err)
		assert.Equal(f.b, len(synced.Tasks), tasks)
	}
}

func (f *fleet) syncAll(client *agent.Client, msg agent.Sync) {
	for _, in := range f.list.Instances {
		_, outcome, err := client.Sync(context.Background(), in.Address, msg)
		assert.Equal(f.b, outcome, agent.Accepted, "%v", err)
	}
}

// urgentJobs is the number of urgent jobs that are timed one after the other.
const urgentJobs = 10

// BenchmarkUrgentSlope measures the time from the submission of an urgent job
// of one task until its worker has accepted the start, with room on the workers.
func BenchmarkUrgentSlope(b *testing.B) {
	for _, workers := range []int{16, 64, 222} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, workers)
				f.publish(workers, 5)
				o, stop := f.start(1)
				f.awaitRunning(o, 5*workers)
				f.timeUrgent(b, o)
				stop()
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (f *fleet) timeUrgent(b *testing.B, o *sched.Owner) {
	var sum, slowest time.Duration
	for i := range urgentJobs {
		j := slopeJob(config.KindBatch, fmt.Sprintf("urgent-%d", i), 1)
		j.Class = "urgent"
		started, began := o.Counters().TasksStarted.Load(), time.Now()
		reply := o.Submit(context.Background(), j, "example")
		assert.Equal(b, reply.Outcome, sched.ReplyAccepted, reply.Reason)
		f.wait("urgent start", func() bool { return o.Counters().TasksStarted.Load() > started })
		took := time.Since(began)
		sum += took
		slowest = max(slowest, took)
	}
	b.ReportMetric(float64(sum.Milliseconds())/urgentJobs, "start-mean-ms")
	b.ReportMetric(float64(slowest.Milliseconds()), "start-max-ms")
}
