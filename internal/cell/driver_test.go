package cell_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/daisyrack/daisyrack/internal/cell"
	"github.com/daisyrack/daisyrack/internal/fleet"
	"github.com/daisyrack/daisyrack/internal/ledger"
	"github.com/daisyrack/daisyrack/pkg/place"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// workingLedger returns a ledger of an empty store whose commits all succeed.
func workingLedger(committed func()) *ledger.Ledger {
	var version atomic.Int64
	start := time.Now()
	return &ledger.Ledger{
		Name: "a", Now: time.Now, Sleep: func(context.Context, time.Duration) {},
		Send: func(context.Context, table.Transaction) (table.Result, time.Duration) {
			committed()
			return table.Result{Outcome: table.Committed, Version: version.Add(1)}, time.Since(start)
		},
		Scan: func(context.Context, string, string, int) (ledger.Page, error) {
			return ledger.Page{StoreClock: time.Since(start)}, nil
		},
	}
}

// A start that is queued behind unanswered commands must not be sent once its job is cancelled.
func TestStartOfCancelledJobIsNotSent(t *testing.T) {
	var mu sync.Mutex
	start := time.Now()
	started := make(map[string]int)
	var running []fleet.Run
	release := make(chan struct{})
	d := &cell.Driver{
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Lease: 6 * time.Second,
		Ledger: workingLedger(func() {}),
		List: func(context.Context) ([]fleet.Executor, int64, error) {
			e := fleet.Executor{ID: "x", Service: testService, Capacity: place.Resources{CPUMillis: 64000, MemoryMB: 64000}}
			return []fleet.Executor{e}, 1, nil
		},
		Watch: func(ctx context.Context, _ int64) ([]cell.Change, int64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
		Poll: func(context.Context, fleet.Executor, fleet.Poll) fleet.Response {
			mu.Lock()
			defer mu.Unlock()
			return fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Since(start), Runs: slices.Clone(running)}
		},
		Start: func(_ context.Context, _ fleet.Executor, cmd fleet.Start) fleet.Response {
			mu.Lock()
			started[cmd.Task.Job]++
			mu.Unlock()
			<-release
			mu.Lock()
			defer mu.Unlock()
			running = append(running, fleet.Run{Task: cmd.Task, Number: cmd.Number})
			return fleet.Response{Status: fleet.Executed}
		},
		Stop: func(context.Context, fleet.Executor, fleet.Stop) fleet.Response {
			return fleet.Response{Status: fleet.Executed}
		},
		Config: func() *fleet.Config {
			return &fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: testQueue, Service: testService}}}
		},
		Advisers: func() []string { return nil },
	}
	d.Init()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, &ledger.OwnerRow{}) }()
	defer func() {
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
	}()
	waitStarts := func(job string, n int) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			mu.Lock()
			defer mu.Unlock()
			if started[job] == n {
				return poll.Success()
			}
			return poll.Continue("%d starts", started[job])
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	assert.Equal(t, d.Submit(ctx, "first", singleStep(testQueue, 2, time.Second)).Outcome, cell.Accepted)
	waitStarts("first", 2) // both commands in flight wait for a response
	assert.Equal(t, d.Submit(ctx, "second", singleStep(testQueue, 1, time.Second)).Outcome, cell.Accepted)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.Counters(ctx).Starts == 3 {
			return poll.Success()
		}
		return poll.Continue("the second job has not started")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, d.Cancel(ctx, "second").Outcome, cell.Accepted)
	assert.Equal(t, d.Submit(ctx, "third", singleStep(testQueue, 1, time.Second)).Outcome, cell.Accepted)
	close(release)
	waitStarts("third", 1) // queued after the start of the second job
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, started["second"], 0)
}

// Guards against executors that are filled beyond their capacity: entries that were written before anything that the owner
// can date are not relied on, even if they were read just now.
func TestDriverDoesNotRelyOnEntriesOfUnknownAge(t *testing.T) {
	var mu sync.Mutex
	started := make(map[string]int)
	begin := time.Now()
	d := &cell.Driver{
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Lease: 6 * time.Second, EntryValidity: time.Minute,
		Ledger: workingLedger(func() {}),
		List: func(context.Context) ([]fleet.Executor, int64, error) {
			room := place.Resources{CPUMillis: 64000, MemoryMB: 64000}
			return []fleet.Executor{
				{ID: "old", Service: testService, Capacity: room, EntryVersion: 1},
				{ID: "recent", Service: testService, Capacity: room, EntryVersion: 1 << 40},
			}, 1, nil
		},
		Watch: func(ctx context.Context, _ int64) ([]cell.Change, int64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
		Poll: func(ctx context.Context, _ fleet.Executor, p fleet.Poll) fleet.Response {
			wait(ctx, p.Wait)
			return fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Since(begin)}
		},
		Start: func(_ context.Context, e fleet.Executor, _ fleet.Start) fleet.Response {
			mu.Lock()
			defer mu.Unlock()
			started[e.ID]++
			return fleet.Response{Status: fleet.Executed}
		},
		Config: func() *fleet.Config {
			return &fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: testQueue, Service: testService}}}
		},
		Advisers: func() []string { return nil },
	}
	d.Init()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, &ledger.OwnerRow{}) }()
	const tasks = 40 // more than fit on one of the executors
	assert.Equal(t, d.Submit(ctx, "job", singleStep(testQueue, tasks, time.Hour)).Outcome, cell.Accepted)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mu.Lock()
		defer mu.Unlock()
		if started["recent"] > 0 {
			return poll.Success()
		}
		return poll.Continue("nothing has started")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	wait(ctx, 300*time.Millisecond)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, started["old"], 0)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// A new owner must renew its row while it reads the rows of its predecessor: on a slow network link that
// takes longer than the age at which the next instance takes over.
func TestOwnerRenewsWhileItReads(t *testing.T) {
	var commits atomic.Int64
	reading := make(chan struct{})
	l := workingLedger(func() { commits.Add(1) })
	scan := l.Scan
	l.Scan = func(ctx context.Context, prefix, after string, limit int) (ledger.Page, error) {
		<-reading
		return scan(ctx, prefix, after, limit)
	}
	d := &cell.Driver{
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Lease: 6 * time.Second, Ledger: l,
		List: func(ctx context.Context) ([]fleet.Executor, int64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
		Config: func() *fleet.Config { return &fleet.Config{Version: 1} }, Advisers: func() []string { return nil },
	}
	d.Init()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, &ledger.OwnerRow{}) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// The first commit acquires the row.
		if commits.Load() >= 4 {
			return poll.Success()
		}
		return poll.Continue("%d commits", commits.Load())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	close(reading)
	assert.Equal(t, d.Submit(ctx, "job", singleStep(testQueue, 1, time.Second)).Outcome, cell.Rejected) // no such queue
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// An owner whose loop is far behind must still renew its row before other instances take over: results of
// commits must not wait behind the other events.
func TestOwnerRenewsWhileItIsBehind(t *testing.T) {
	const (
		executors = 500
		eventTime = 2 * time.Millisecond
	)
	var mu sync.Mutex
	var commits []time.Time
	start := time.Now()
	var incarnation atomic.Int64
	d := &cell.Driver{
		// Each poll finds that its executor has restarted, and logging that takes the loop eventTime.
		Log:    &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { time.Sleep(eventTime); return nil }), Level: log.WarnLevel},
		Lease:  6 * time.Second,
		Ledger: workingLedger(func() { mu.Lock(); defer mu.Unlock(); commits = append(commits, time.Now()) }),
		List: func(context.Context) ([]fleet.Executor, int64, error) {
			var list []fleet.Executor
			for i := range executors {
				list = append(list, fleet.Executor{ID: fmt.Sprintf("x%03d", i), Service: testService})
			}
			return list, 1, nil
		},
		Watch: func(ctx context.Context, _ int64) ([]cell.Change, int64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
		Poll: func(context.Context, fleet.Executor, fleet.Poll) fleet.Response {
			return fleet.Response{Status: fleet.Executed, HasClock: true, Clock: time.Since(start), Incarnation: incarnation.Add(1)}
		},
		Config: func() *fleet.Config { return &fleet.Config{Version: 1} }, Advisers: func() []string { return nil },
	}
	d.Init()
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	assert.ErrorIs(t, d.Run(ctx, &ledger.OwnerRow{}), context.DeadlineExceeded)
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, len(commits) > 1)
	worst := time.Duration(0)
	for i, at := range commits[1:] {
		worst = max(worst, at.Sub(commits[i]))
	}
	t.Logf("%d commits, %s between two at most", len(commits), worst)
	assert.Assert(t, worst < ledger.StaleAfter, "renewed after %s", worst)
}

// While the queue of events is full, handing over the responses to late polls must not block: the goroutine
// that does so reads all results of a relay, which counts as failed when nothing is read for 400 ms.
func TestLatePollsDoNotWaitForTheLoop(t *testing.T) {
	d := &cell.Driver{Ledger: workingLedger(func() {})}
	d.Init() // the loop does not run, so no event is handled
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1500 { // more than the queue holds
			d.ApplyLatePoll("x", time.Now(), fleet.Response{Status: fleet.Executed})
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("blocked by a full queue of events")
	}
}
