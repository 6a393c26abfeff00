package fleet

import "time"

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Run is one execution of a task as listed by its executor.
type Run struct {
	Task   TaskID
	Number int64
	// Checkpoint is the last checkpoint that the run saved; empty if there is none.
	Checkpoint string
	// Percent is the completed share of the work; 100 for a long-running task that is up.
	Percent float64
	// Metric is the tail latency in milliseconds for tasks with a latency target, and the CPU
	// usage in thousandths of a core for other tasks.
	Metric float64
}

// EndKind is the way in which a run ended.
type EndKind uint8

// Kinds of ends.
const (
	// Done means that the work is complete.
	Done EndKind = iota
	// Failed means that the run failed because of its own error or its executor's.
	Failed
	// Stopped means that the owner stopped the run.
	Stopped
	// LeaseExpired means that the executor ended the run because its lease had expired.
	LeaseExpired
	// GangBroken means that another member of the run's gang ended.
	GangBroken
	// GangIncomplete means that the other members of the run's gang did not start in time.
	GangIncomplete
	// Lost means that the executor no longer has the run.
	Lost
)

var endKindNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// String returns the name used in logs.
func (k EndKind) String() string {
	if int(k) >= len(endKindNames) {
		return "unknown"
	}
	return endKindNames[k]
}

// End is an ended run as listed by its executor.
type End struct {
	// Sequence increases within one incarnation of the executor.
	Sequence   int64
	Task       TaskID
	Number     int64
	Kind       EndKind
	Checkpoint string
}

// Status is the result of a command or poll.
type Status uint8

// Results of commands and polls.
const (
	// Executed means that the executor has executed the command.
	Executed Status = iota
	// NoResponse means that no response arrived: the command may have been executed, or may still
	// be executed later.
	NoResponse
	// Fenced means that the executor rejected the command because it knows a higher epoch.
	Fenced
	// AlreadyEnded means that this run or a later run of the task has already ended on the executor.
	AlreadyEnded
	// ArrivedLate means that the lease sent with the command had expired when it arrived.
	ArrivedLate
	// InsufficientCapacity means that the task does not fit into the executor's free capacity.
	InsufficientCapacity
	// InvalidTicket means that the executor did not accept the ticket.
	InvalidTicket
	// Unavailable means that the executor rejected the command without any effect.
	Unavailable
	// WrongExecutor means that another executor responded at the executor's address.
	WrongExecutor
	// Malformed means that the executor could not interpret the command.
	Malformed
	// Undelivered means that the instance that makes the call did not return a result in time, which says
	// nothing about the executor.
	Undelivered
	// NotSent means that there was no connection for the call: none could be opened, or nothing responded on the
	// one that was.
	NotSent
	// Restarted means that another incarnation of the executor responds: the command was not sent to it.
	Restarted
)

var statusNames = [...]string{"obeyed", "silent", "fenced", "outdated", "late", "no_room", "no_ticket", "unwell", "other_life", "malformed", "undelivered", "not_sent", "restarted"}

// String returns the name used in logs.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Start is the command to run a task.
type Start struct {
	Task       TaskID
	Number     int64
	Text       string
	Checkpoint string
	Ticket     string
	// LeaseEnd is when the executor's lease expires, by the clock of the incarnation that the command is meant
	// for; Incarnation is 0 if it is unknown.
	LeaseEnd    time.Duration
	Incarnation int64
	Epoch       int64
}

// Stop is the command to end a run.
type Stop struct {
	Task   TaskID
	Number int64
	Epoch  int64
}

// Throttle is the command that limits a run to a percentage of its CPU.
type Throttle struct {
	Task    TaskID
	Number  int64
	Percent int
	Epoch   int64
}

// Poll renews the lease of an executor and requests the list of its runs and ended runs.
type Poll struct {
	Epoch int64
	// AckedSequence acknowledges all ends up to this sequence; the executor may discard them.
	AckedSequence int64
	// LeaseEnd is when the lease expires, by the executor's clock; 0 leaves the lease unchanged.
	LeaseEnd time.Duration
	// KnownSequence is the sequence of the last end that the owner knows. Those up to it are no reason to
	// respond before Wait is over.
	KnownSequence int64
	// Incarnation is the incarnation of the executor that the owner knows.
	Incarnation int64
	// Wait is how long the executor may hold the response until a run ends.
	Wait time.Duration
	// Timeout is how long the caller waits for the response; it is not sent.
	Timeout time.Duration
}

// Response is the response of an executor to a command or poll.
type Response struct {
	Status Status
	// Clock is the executor's monotonic clock; it is only set if HasClock is true.
	Clock    time.Duration
	HasClock bool
	// Incarnation is the start time of the executor's process in Unix milliseconds; 0 if absent.
	Incarnation int64
	// Partial is set when only new ends and runs are told, and Runs is not the list of all.
	Partial bool
	Runs    []Run
	Ends    []End
	Cause   string
}
