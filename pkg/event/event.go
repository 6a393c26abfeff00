package event

import "strings"

// MaxTextBytes is the maximum length of each text field of an Event. It limits the memory of a
// Ring in bytes and not only in events.
const MaxTextBytes = 512

// Kind names what happened.
type Kind = string

// The kinds of events.
const (
	RequestReceived   Kind = "request_received"
	RequestAdmitted   Kind = "request_admitted"
	RequestAnswered   Kind = "request_answered"
	RequestRefused    Kind = "request_refused"
	RequestFailed     Kind = "request_failed"
	RequestUnknown    Kind = "request_unknown"
	RequestExpired    Kind = "request_expired"
	AttemptStarted    Kind = "attempt_started"
	AttemptEnded      Kind = "attempt_ended"
	LeaseGained       Kind = "lease_gained"
	LeaseLost         Kind = "lease_lost"
	WorkerClaimed     Kind = "worker_claimed"
	WorkerGone        Kind = "worker_gone"
	WorkerQuarantined Kind = "worker_quarantined"
	WorkerReleased    Kind = "worker_released"
	TaskQueued        Kind = "task_queued"
	TaskPlaced        Kind = "task_placed"
	TaskStarted       Kind = "task_started"
	TaskEnded         Kind = "task_ended"
	TaskStopped       Kind = "task_stopped"
	TaskThrottled     Kind = "task_throttled"
	TaskCheckpointed  Kind = "task_checkpointed"
	JobAccepted       Kind = "job_accepted"
	JobRefused        Kind = "job_refused"
	JobBackedOff      Kind = "job_backed_off"
	JobFinished       Kind = "job_finished"
	JobCancelled      Kind = "job_cancelled"
	ConfigApplied     Kind = "config_applied"
	MemberChanged     Kind = "member_changed"
	BackendChanged    Kind = "backend_changed"
	BackendEjected    Kind = "backend_ejected"
	ConnectionClosed  Kind = "connection_closed"
	StoreDown         Kind = "store_down"
	StoreUp           Kind = "store_up"
	DrainStarted      Kind = "drain_started"
	InstanceStarted   Kind = "instance_started"
)

// Event is one entry of the timeline; fields that do not apply are empty.
type Event struct {
	// Time is a time of HybridClock.
	Time int64 `json:"time"`
	// Instance is the instance that recorded the event under the number Sequence.
	Instance   string `json:"instance"`
	Sequence   uint64 `json:"sequence"`
	Kind       string `json:"kind"`
	Request    string `json:"request,omitempty"`
	Job        string `json:"job,omitempty"`
	Task       string `json:"task,omitempty"`
	Worker     string `json:"worker,omitempty"`
	Backend    string `json:"backend,omitempty"`
	Detail     string `json:"detail,omitempty"`
	DurationUS int64  `json:"duration_us,omitempty"`
}

// truncateTexts truncates texts longer than MaxTextBytes. It copies them, so that the original
// texts can be freed.
func (e *Event) truncateTexts() {
	for _, text := range []*string{&e.Instance, &e.Kind, &e.Request, &e.Job, &e.Task, &e.Worker, &e.Backend, &e.Detail} {
		if len(*text) > MaxTextBytes {
			*text = strings.ToValidUTF8(strings.Clone((*text)[:MaxTextBytes]), "")
		}
	}
}

// Filter selects events; empty fields match all.
type Filter struct {
	Job      string
	Request  string
	Worker   string
	Instance string
	Backend  string
	Kind     string
}

// Match reports whether e matches all fields of the filter that are set.
func (f Filter) Match(e Event) bool {
	return matches(f.Job, e.Job) &&
		matches(f.Request, e.Request) &&
		matches(f.Worker, e.Worker) &&
		matches(f.Instance, e.Instance) &&
		matches(f.Backend, e.Backend) &&
		matches(f.Kind, e.Kind)
}

func matches(want, got string) bool {
	return want == "" || want == got
}
