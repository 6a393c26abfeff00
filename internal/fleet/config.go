package fleet

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// Queue accepts jobs of one kind from clients.
type Queue struct {
	Name string
	// Host and Prefix match the host and path of the requests that belong to the queue.
	Host    string
	Prefix  string
	Service string
	// Priority orders the queues; 0 is the highest.
	Priority    int
	MaxAttempts int
	// A job should complete within Stretch times its critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
	Timeout time.Duration
	// Advice is set when tasks need a ticket from the policy service for their executor.
	Advice *Advice
	// Public is set when calls need no key. Jobs of a public queue belong to no team.
	Public bool
}

// KeyHash is the SHA-256 hash of a key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Team shares the executors with other teams.
type Team struct {
	Name string
	// Weight is the team's share when there is less room than demand, and the number of jobs a second
	// that it may expect to be accepted then.
	Weight float64
	// Limit is the most that the team may have running on all executors; 0 means no limit.
	Limit place.Resources
	// KeyHashes are the hashes of the keys that identify the team's calls.
	KeyHashes []KeyHash
}

// Advice describes the calls to the policy service for one queue.
type Advice struct {
	// BaseLatency is the latency of a call, to which every executor in the call adds
	// LatencyPerExecutor.
	BaseLatency        time.Duration
	LatencyPerExecutor time.Duration
	// TicketTTL is how long a ticket stays valid.
	TicketTTL time.Duration
}

// Service is a pool of executors.
type Service struct {
	Name string
	// EnforcesCapacity is set when executors reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// MaxConnections limits the connections to one executor from all instances together.
	MaxConnections int
}

// Limits apply to the requests of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is immutable once published.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
	Teams    []Team
	// KeysRequired is set when calls on queues that are not public need the key of a team: the document has a list of teams,
	// even if it is empty or all of them are malformed.
	KeysRequired bool
	// Problems describes malformed entries that were left out.
	Problems []string
	// Source is the document as stored.
	Source []byte
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Team returns the team with the given name, or nil.
func (c *Config) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// ServesUrgent reports whether a queue of the highest priority uses the service.
func (c *Config) ServesUrgent(service string) bool {
	return slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Service == service && q.Priority == 0 })
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// Ticket is the policy service's permission to run a step on an executor.
type Ticket struct {
	Executor string
	Value    string
}
