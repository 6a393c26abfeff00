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

// maxOperations bounds the operators' calls that wait for the owner goroutine.
const maxOperations = 256

// Owner runs the owner duty of one failure domain; set the exported fields before Run.
type Owner struct {
	Name           string
	FailureDomain  string
	FailureDomains []string

	// LastRenewal returns the start time of the last successful lease renewal; false means that no
	// renewal has succeeded yet or that no lease is held.
	LastRenewal func() (time.Time, bool)

	// Rows reads all rows with a prefix, Row reads one.
	Rows   func(ctx context.Context, prefix string) ([]table.Row, int64, error)
	Row    func(ctx context.Context, key string) (table.Row, bool, error)
	Commit func(ctx context.Context, c table.Commit) table.Result

	// PutObject and Object keep the learned sizes.
	PutObject func(ctx context.Context, name string, text []byte) error
	Object    func(ctx context.Context, name string) ([]byte, bool, error)

	// Instances returns the platform's newest list; false before the first one.
	Instances func() (table.InstanceList, bool)

	Config       *config.Holder
	WorkerClient *agent.Client
	RecordEvent  func(event.Event)

	// ObserveTaskWait records how long a task of the class waited for its start. It may be nil.
	ObserveTaskWait func(class string, d time.Duration)

	Log log.Interface
	Now func() time.Time

	gains chan lease.Lease
	stats Counters

	mu   sync.Mutex
	term *term

	status atomic.Pointer[Status]
}

// Init prepares the owner for lease changes that arrive before Run.
func (o *Owner) Init() {
	o.gains = make(chan lease.Lease, 1)
}

// OnLeaseAcquired is called by the lease keeper when this instance has become the owner.
func (o *Owner) OnLeaseAcquired(l lease.Lease) {
	select {
	case <-o.gains: // An older gain that was not taken up has no meaning any more.
	default:
	}
	o.gains <- l
}

// OnLeaseLost is called by the lease keeper when this instance is no longer the owner.
func (o *Owner) OnLeaseLost(lease.Lease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != nil {
		o.term.cancel()
	}
}

// Run runs one term after another until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-o.gains:
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

// Epoch returns the epoch of the present term, or 0.
func (o *Owner) Epoch() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return 0
	}
	return o.term.lease.Epoch
}

// Status returns the state of the present term, or nil when this instance is not the owner.
func (o *Owner) Status() *Status {
	return o.status.Load()
}

// Counters returns the owner's counters.
func (o *Owner) Counters() *Counters {
	return &o.stats
}

// do hands an operation to the owner goroutine and waits for its answer.
func (o *Owner) do(ctx context.Context, op operation) Reply {
	o.mu.Lock()
	t := o.term
	o.mu.Unlock()
	if t == nil {
		return Reply{Outcome: ReplyRefused, Reason: "this instance does not own the failure domain"}
	}
	op.answer = make(chan Reply, 1)
	select {
	case t.operations <- op:
	default:
		return Reply{Outcome: ReplyRefused, Reason: "too many operations are waiting"}
	}
	select {
	case r := <-op.answer:
		return r
	case <-ctx.Done():
		return Reply{Outcome: ReplyUnknown, Reason: "no answer within the deadline"}
	case <-t.ended:
		return t.lastAnswer(op)
	}
}

// Submit accepts a job that is no document, or says why not.
func (o *Owner) Submit(ctx context.Context, j config.Job, author string) Reply {
	return o.do(ctx, operation{kind: opSubmit, job: j, author: author})
}

// Cancel cancels a job, or says why not.
func (o *Owner) Cancel(ctx context.Context, name, author string) Reply {
	return o.do(ctx, operation{kind: opCancel, job: config.Job{Name: name}, author: author})
}

// Describe returns the state of one job and why its tasks wait.
func (o *Owner) Describe(ctx context.Context, name string) Reply {
	return o.do(ctx, operation{kind: opDescribe, job: config.Job{Name: name}})
}
