package sched

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyrack/daisyrack/internal/agent"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/lease"
	"github.com/daisyrack/daisyrack/pkg/table"
)

// maxOperations limits the operations that wait for the owner goroutine.
const maxOperations = 256

// Owner schedules the jobs of one failure domain while this instance holds its lease. Set the
// exported fields before Run.
type Owner struct {
	Name           string
	FailureDomain  string
	FailureDomains []string

	// LeaseConfirmedAt returns the start time of the last successful lease renewal; false means
	// that no renewal has succeeded yet or that no lease is held.
	LeaseConfirmedAt func() (time.Time, bool)

	// ReadRows reads all rows whose keys have the prefix, ReadRow reads a single row. Commit
	// executes a transaction.
	ReadRows func(ctx context.Context, prefix string) ([]table.Row, int64, error)
	ReadRow  func(ctx context.Context, key string) (table.Row, bool, error)
	Commit   func(ctx context.Context, c table.Transaction) table.Result

	// PutObject and GetObject write and read the object that holds the learned task sizes.
	PutObject func(ctx context.Context, name string, data []byte) error
	GetObject func(ctx context.Context, name string) ([]byte, bool, error)

	// Instances returns the latest instance list of the platform, or false if none has arrived yet.
	Instances func() (table.InstanceList, bool)

	Config       *config.Replica
	WorkerClient *agent.Client
	RecordEvent  func(event.Event)

	// ObserveTaskWait records how long a task of the class waited for its start. It may be nil.
	ObserveTaskWait func(class string, d time.Duration)

	Log log.Interface
	Now func() time.Time

	acquisitions chan lease.Lease
	counters     Counters

	mu   sync.Mutex
	term *term

	status atomic.Pointer[Status]
}

// Init must be called before the first lease callback, which may precede Run.
func (o *Owner) Init() {
	o.acquisitions = make(chan lease.Lease, 1)
}

// OnLeaseAcquired is called by the lease.Elector when this instance has become the owner.
func (o *Owner) OnLeaseAcquired(l lease.Lease) {
	select {
	case <-o.acquisitions: // A newer acquisition replaces one that has not started a term.
	default:
	}
	o.acquisitions <- l
}

// OnLeaseLost is called by the lease.Elector when this instance is no longer the owner.
func (o *Owner) OnLeaseLost(lease.Lease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != nil {
		o.term.cancel()
	}
}

// Run runs a term for each acquisition of the lease until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-o.acquisitions:
			o.runTerm(ctx, l)
		}
	}
}

func (o *Owner) runTerm(ctx context.Context, l lease.Lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTerm(o, l, cancel)
	o.setTerm(t)
	defer o.setTerm(nil)
	o.Log.WithField("epoch", l.Epoch).Info("owner term started")
	t.run(ctx)
	o.Log.WithField("epoch", l.Epoch).Info("owner term ended")
	o.status.Store(nil)
}

func (o *Owner) setTerm(t *term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term = t
}

// Epoch returns the epoch of the current term, or 0 if there is none.
func (o *Owner) Epoch() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return 0
	}
	return o.term.lease.Epoch
}

// Status returns the last published status of the current term, or nil if there is none.
func (o *Owner) Status() *Status {
	return o.status.Load()
}

// Counters returns the counters, which are kept across terms.
func (o *Owner) Counters() *Counters {
	return &o.counters
}

// do passes an operation to the owner goroutine and waits for its reply.
func (o *Owner) do(ctx context.Context, op operation) Reply {
	o.mu.Lock()
	t := o.term
	o.mu.Unlock()
	if t == nil {
		return Reply{Outcome: ReplyRefused, Reason: "this instance does not own the failure domain"}
	}
	op.reply = make(chan Reply, 1)
	select {
	case t.operations <- op:
	default:
		return Reply{Outcome: ReplyRefused, Reason: "too many operations are waiting"}
	}
	select {
	case r := <-op.reply:
		return r
	case <-ctx.Done():
		return Reply{Outcome: ReplyUnknown, Reason: "no answer within the deadline"}
	case <-t.done:
		return t.finalReply(op)
	}
}

// Submit accepts a job that is not a configuration document, or returns the reason for refusing it.
func (o *Owner) Submit(ctx context.Context, j config.Job, author string) Reply {
	return o.do(ctx, operation{kind: opSubmit, job: j, author: author})
}

// Cancel cancels a job, or returns the reason for refusing it.
func (o *Owner) Cancel(ctx context.Context, name, author string) Reply {
	return o.do(ctx, operation{kind: opCancel, job: config.Job{Name: name}, author: author})
}

// Describe returns the state of a job and the reasons why its tasks are waiting.
func (o *Owner) Describe(ctx context.Context, name string) Reply {
	return o.do(ctx, operation{kind: opDescribe, job: config.Job{Name: name}})
}
