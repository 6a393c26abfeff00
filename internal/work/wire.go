package work

import (
	"encoding/json"

	"github.com/daisyrack/daisyrack/pkg/lease"
)

// Resources are the resources that a task requests or uses, or the capacity of a worker.
type Resources struct {
	CPUMillis    int64 `json:"cpu_millis"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Usage is the last reported usage of a task.
type Usage struct {
	CPUMillis int64 `json:"cpu_millis"`
	MemoryMB  int64 `json:"memory_mb"`
}

// State is the state of a task.
type State string

// States of a task.
const (
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Stopped   State = "stopped"
)

// Start tells the worker to run an attempt of a task. A task with RunMs 0 is a service, which runs until
// it is stopped.
type Start struct {
	ID        string             `json:"id"`
	Attempt   int64              `json:"attempt"`
	Job       string             `json:"job"`
	Class     string             `json:"class"`
	Resources Resources          `json:"resources"`
	OnCutOff  lease.CutOffPolicy `json:"on_cut_off"`
	RunMs     int64              `json:"run_ms"`
	Payload   json.RawMessage    `json:"payload,omitempty"`
}

// Task is the state of one task. Times are readings of the worker's clock.
type Task struct {
	ID           string             `json:"id"`
	Attempt      int64              `json:"attempt"`
	Job          string             `json:"job"`
	Class        string             `json:"class"`
	Resources    Resources          `json:"resources"`
	OnCutOff     lease.CutOffPolicy `json:"on_cut_off"`
	State        State              `json:"state"`
	StartedMs    int64              `json:"started_ms"`
	EndedMs      int64              `json:"ended_ms"`
	CheckpointMs int64              `json:"checkpoint_ms"`
	Usage        Usage              `json:"usage"`
}

// Throttle limits the CPU usage of a running task; 0 removes the limit.
type Throttle struct {
	ID        string `json:"id"`
	CPUMillis int64  `json:"cpu_millis"`
}

// Claim makes the worker reject all calls of owners of earlier epochs.
type Claim struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Sequence must be higher than in every earlier call of the epoch, unless it is 0.
	Sequence int64 `json:"sequence,omitempty"`
}

// ClaimReply is the reply to an accepted claim.
type ClaimReply struct {
	Incarnation int64     `json:"incarnation"`
	ClockMs     int64     `json:"clock_ms"`
	Capacity    Resources `json:"capacity"`
	Tasks       []Task    `json:"tasks"`
}

// ConflictReply is the reply to a claim or sync from an owner that is not the current one, or to a call
// that arrived after a later call of the same owner. In the latter case Epoch is the epoch of the call.
type ConflictReply struct {
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence,omitempty"`
}

// Sync carries commands of the owner. The worker executes acks, stops, checkpoints, throttles and starts
// in this order. RenewFromMs is the worker's clock reading from which the renewed lease runs. Acks names
// ended tasks whose results are stored, so that the worker may drop them.
type Sync struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Sequence must be higher than in every earlier call of the epoch, unless it is 0.
	Sequence    int64      `json:"sequence,omitempty"`
	RenewFromMs int64      `json:"base_ms"`
	Starts      []Start    `json:"starts,omitempty"`
	Stops       []string   `json:"stops,omitempty"`
	Checkpoints []string   `json:"checkpoints,omitempty"`
	Throttles   []Throttle `json:"throttles,omitempty"`
	Acks        []string   `json:"forgets,omitempty"`
}

// StartResult reports whether a start was accepted, and the reason if it was not.
type StartResult struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// SyncReply is the reply to an accepted sync.
type SyncReply struct {
	ClockMs int64         `json:"clock_ms"`
	Starts  []StartResult `json:"starts"`
	Tasks   []Task        `json:"tasks"`
}

// payload holds the actual run time, usage and result of a simulated task. A value of 0 means that the
// declared value applies.
type payload struct {
	TrueRunMs     int64 `json:"true_run_ms"`
	TrueCPUMillis int64 `json:"true_cpu_millis"`
	TrueMemoryMB  int64 `json:"true_memory_mb"`
	Fail          bool  `json:"fail"`
}

// decodePayload decodes a payload from a JSON object or from the base64 text of one. Any other payload
// is the job's own data, for which decodePayload returns the zero value.
func decodePayload(raw json.RawMessage) payload {
	var text []byte
	if json.Unmarshal(raw, &text) == nil {
		raw = text
	}
	var p payload
	if json.Unmarshal(raw, &p) != nil {
		return payload{}
	}
	return p
}
