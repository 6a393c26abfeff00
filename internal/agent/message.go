package agent

import "encoding/json"

// Resources are the resources that a task requests or uses, or the capacity of a worker.
type Resources struct {
	CPUMillis    int64 `json:"cpu_millis"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// States of a task as reported by its worker.
const (
	Running   = "running"
	Succeeded = "succeeded"
	Failed    = "failed"
	Stopped   = "stopped"
)

// Task is the state of one task as reported by its worker.
type Task struct {
	ID           string    `json:"id"`
	Attempt      int64     `json:"attempt"`
	Job          string    `json:"job"`
	Class        string    `json:"class"`
	Resources    Resources `json:"resources"`
	OnCutOff     string    `json:"on_cut_off"`
	State        string    `json:"state"`
	StartedMS    int64     `json:"started_ms"`
	EndedMS      int64     `json:"ended_ms"`
	CheckpointMS int64     `json:"checkpoint_ms"`
	Usage        Resources `json:"usage"`
}

// Start tells a worker to run an attempt of a task.
type Start struct {
	ID        string          `json:"id"`
	Attempt   int64           `json:"attempt"`
	Job       string          `json:"job"`
	Class     string          `json:"class"`
	Resources Resources       `json:"resources"`
	OnCutOff  string          `json:"on_cut_off"`
	RunMS     int64           `json:"run_ms"`
	Payload   json.RawMessage `json:"payload,omitempty"`
}

// Throttle limits the CPU time of a running task.
type Throttle struct {
	ID        string `json:"id"`
	CPUMillis int64  `json:"cpu_millis"`
}

// Claim makes a worker reject all calls of owners of earlier epochs.
type Claim struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Sequence increases with each call of the owner to this worker, so that the worker can reject
	// calls that arrive out of order.
	Sequence int64 `json:"sequence"`
}

// ClaimReply is a worker's reply to a Claim that it accepted.
type ClaimReply struct {
	Incarnation int64     `json:"incarnation"`
	ClockMS     int64     `json:"clock_ms"`
	Capacity    Resources `json:"capacity"`
	Tasks       []Task    `json:"tasks"`
}

// Sync carries commands to a worker. It renews the worker's claim, which then runs from
// RenewFromMS on the worker's clock. Acks names ended tasks whose results are stored, so that the
// worker may drop its reports of them.
type Sync struct {
	Owner       string     `json:"owner"`
	Epoch       int64      `json:"epoch"`
	Sequence    int64      `json:"sequence"`
	RenewFromMS int64      `json:"base_ms"`
	Starts      []Start    `json:"starts,omitempty"`
	Stops       []string   `json:"stops,omitempty"`
	Checkpoints []string   `json:"checkpoints,omitempty"`
	Throttles   []Throttle `json:"throttles,omitempty"`
	Acks        []string   `json:"forgets,omitempty"`
}

// StartResult reports whether a worker accepted a Start.
type StartResult struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
}

// SyncReply is a worker's reply to a Sync that it accepted.
type SyncReply struct {
	Incarnation int64         `json:"incarnation"`
	ClockMS     int64         `json:"clock_ms"`
	Starts      []StartResult `json:"starts"`
	Tasks       []Task        `json:"tasks"`
}
