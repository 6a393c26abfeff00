package fleet

import "time"

// Queue is where callers hand in jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request.
	Host    string
	Prefix  string
	Service string
	// Priority 0 comes first.
	Priority    int
	MaxAttempts int
	// Stretch times the longest chain of work, plus Slack, is the objective of a job.
	Stretch float64
	Slack   time.Duration
	Timeout time.Duration
	// Advice is set when the policy service must allow executors.
	Advice *Advice
}

// Advice describes the calls of the policy service for one queue.
type Advice struct {
	// BaseLatency is the time of a call, PerExecutor what each named executor adds.
	BaseLatency        time.Duration
	LatencyPerExecutor time.Duration
	// TicketTTL is how long a ticket can be used.
	TicketTTL time.Duration
}

// Service is a pool of executors.
type Service struct {
	Name string
	// EnforcesCapacity is set when executors reject what exceeds their capacity.
	EnforcesCapacity bool
	// MaxConnections bounds the connections to one executor from all instances.
	MaxConnections int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration; it is not changed once published.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
	// Source is the document as it stands in the store.
	Source []byte
}

// Queue returns the queue of that name, or nil.
func (p *Config) Queue(name string) *Queue {
	for i := range p.Queues {
		if p.Queues[i].Name == name {
			return &p.Queues[i]
		}
	}
	return nil
}

// StepID names the step that advice is asked for.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// Ticket allows a step to run on an executor.
type Ticket struct {
	Executor string
	Value    string
}
