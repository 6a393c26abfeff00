package front

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/once"
	"github.com/daisyrack/daisyrack/pkg/route"
)

// Front answers callers and operators; set the exported fields before the first request.
type Front struct {
	Name        string
	Incarnation int64

	Config     *config.Holder
	Dispatcher *Dispatcher
	Router     *route.Router
	Once       *once.Deduplicator
	Record     func(event.Event)
	Now        func() time.Time

	// Ready says why the instance must not get requests, or "".
	Ready func() string

	// Token returns the operators' token; "" means that none is asked for.
	Token func() (string, error)

	Publish func(ctx context.Context, p config.Publication) config.PublishResult
	Submit  func(ctx context.Context, j config.Job, author string) sched.Reply
	Cancel  func(ctx context.Context, name, author string) sched.Reply
	Job     func(ctx context.Context, name string) sched.Reply
	Status  func(ctx context.Context) any
	Events  func(ctx context.Context, f event.Filter) []event.Event
	Metrics func(w io.Writer)

	// Waited notes how long a request of a class waited for its turn.
	Waited func(class string, d time.Duration)

	counters  Counters
	sequence  atomic.Int64
	recording sync.WaitGroup
}

// Counters count the requests by their outcome.
type Counters struct {
	Received atomic.Int64
	Answered atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Unknown  atomic.Int64
	Replayed atomic.Int64
}

// Counters returns the counts of requests by their outcome.
func (f *Front) Counters() *Counters {
	return &f.counters
}

// requestID returns an id that no other request of any instance has.
func (f *Front) requestID() string {
	return fmt.Sprintf("%s-%x-%x", f.Name, f.Incarnation, f.sequence.Add(1))
}
