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

// Server serves requests of clients and calls of operators over HTTP. Set the exported fields
// before the first request.
type Server struct {
	Name        string
	Incarnation int64

	Config      *config.Replica
	Dispatcher  *Dispatcher
	Router      *route.Router
	Once        *once.Deduplicator
	RecordEvent func(event.Event)
	Now         func() time.Time

	// NotReadyReason returns why the instance must not receive requests, or "" when it is ready.
	NotReadyReason func() string

	// OperatorToken returns the token that operators must send, or "" when none is required.
	OperatorToken func() (string, error)

	Publish      func(ctx context.Context, p config.Publication) config.PublishResult
	SubmitJob    func(ctx context.Context, j config.Job, author string) sched.Reply
	CancelJob    func(ctx context.Context, name, author string) sched.Reply
	DescribeJob  func(ctx context.Context, name string) sched.Reply
	Status       func(ctx context.Context) any
	Events       func(ctx context.Context, f event.Filter) []event.Event
	WriteMetrics func(w io.Writer)

	// ObserveQueueWait records how long a request of a class waited in the queue.
	ObserveQueueWait func(class string, d time.Duration)

	counters  Counters
	sequence  atomic.Int64
	recording sync.WaitGroup
}

// Counters counts requests by outcome since the instance started. The field names become metric
// names.
type Counters struct {
	Received atomic.Int64
	Answered atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Unknown  atomic.Int64
	Replayed atomic.Int64
}

// Counters returns the request counters.
func (s *Server) Counters() *Counters {
	return &s.counters
}

// requestID returns an id that is unique among the requests of all instances.
func (s *Server) requestID() string {
	return fmt.Sprintf("%s-%x-%x", s.Name, s.Incarnation, s.sequence.Add(1))
}
