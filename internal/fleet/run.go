package fleet

import "time"

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Run is one start of a task as an executor lists it.
type Run struct {
	Task   TaskID
	Number int64
	// Checkpoint is the last value that the run saved; empty if there is none.
	Checkpoint string
	// Percent is the share of the work that is done; 100 for a lasting task at work.
	Percent float64
	// Metric is the tail of the response times in ms for tasks with a target, and the
	// processor time in use in thousandths of a core for others.
	Metric float64
}

// EndKind tells how a run ended.
type EndKind uint8

// Ways in which a run ends.
const (
	// Done means that the work is complete.
	Done EndKind = iota
	// Failed means that the run failed by its own or the executor's fault.
	Failed
	// Stopped means that the owner stopped the run.
	Stopped
	// LeaseExpired means that the executor's lease ended.
	LeaseExpired
	// GangBroken means that another member of the gang ended.
	GangBroken
	// GangIncomplete means that the other members of the gang did not come in time.
	GangIncomplete
	// Lost means that the executor no longer knows the run.
	Lost
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// String returns the name used in logs.
func (k EndKind) String() string {
	if int(k) >= len(endNames) {
		return "unknown"
	}
	return endNames[k]
}

// End is one ended run as an executor lists it.
type End struct {
	// Sequence grows within one life of the executor.
	Sequence   int64
	Task       TaskID
	Number     int64
	Kind       EndKind
	Checkpoint string
}

// Status says what became of an order.
type Status uint8

// Verdicts of orders.
const (
	// Executed means that the executor has carried out the order.
	Executed Status = iota
	// NoAnswer means that no answer came: the order may be carried out, also later.
	NoAnswer
	// Fenced means that the executor knows a higher epoch.
	Fenced
	// AlreadyEnded means that this or a later run has ended there already.
	AlreadyEnded
	// ArrivedLate means that the lease told with the order has ended.
	ArrivedLate
	// InsufficientCapacity means that the executor has no room for the task.
	InsufficientCapacity
	// InvalidTicket means that the ticket is not valid.
	InvalidTicket
	// Unavailable means that the executor rejected the order without doing anything.
	Unavailable
	// OtherIncarnation means that another life of the executor answered.
	OtherIncarnation
	// Malformed means that the executor did not understand the order.
	Malformed
)

var verdictNames = [...]string{"obeyed", "silent", "fenced", "outdated", "late", "no_room", "no_ticket", "unwell", "other_life", "malformed"}

// String returns the name used in logs.
func (v Status) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Start orders an executor to run a task.
type Start struct {
	Task       TaskID
	Number     int64
	Text       string
	Checkpoint string
	Ticket     string
	// LeaseEnd is the end of the lease on the executor's clock.
	LeaseEnd time.Duration
	Epoch    int64
}

// Stop orders an executor to end a run.
type Stop struct {
	Task   TaskID
	Number int64
	Epoch  int64
}

// Throttle sets the share of its processor time that a run may use, in percent.
type Throttle struct {
	Task    TaskID
	Number  int64
	Percent int
	Epoch   int64
}

// Poll renews the lease of an executor and asks what it runs.
type Poll struct {
	Epoch int64
	// AckedSequence is the sequence up to which the executor may forget ends.
	AckedSequence int64
	// LeaseEnd is the end of the lease on the executor's clock; 0 leaves it as it is.
	LeaseEnd time.Duration
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	// Timeout is how long the caller waits for the answer; it is not sent.
	Timeout time.Duration
}

// Response is what an executor answered.
type Response struct {
	Status Status
	// Clock is the executor's own steady clock; HasClock tells whether it was in the answer.
	Clock    time.Duration
	HasClock bool
	// Incarnation is the start of the executor's process in Unix milliseconds; 0 if not told.
	Incarnation int64
	Runs        []Run
	Ends        []End
	Cause       string
}
