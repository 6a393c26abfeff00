package work

import (
	"encoding/json"

	"github.com/daisyrack/daisyrack/pkg/lease"
)

// Resources are amounts of the three dimensions of placement.
type Resources struct {
	CPUMillis    int64 `json:"cpu_millis"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Usage is what a task used at the last report.
type Usage struct {
	CPUMillis int64 `json:"cpu_millis"`
	MemoryMB  int64 `json:"memory_mb"`
}

// State is the state of a task.
type State string

// The states of a task.
const (
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Stopped   State = "stopped"
)

// Start asks for one task; RunMs 0 means a service, which runs until it is stopped.
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

// Task is the worker's record of one task; times are readings of its clock.
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

// Throttle limits the processors of a running task; 0 lifts the limit.
type Throttle struct {
	ID        string `json:"id"`
	CPUMillis int64  `json:"cpu_millis"`
}

// Claim is the request of an owner to become the one that the worker obeys.
type Claim struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Sequence, if not 0, must be above that of every earlier call of the epoch.
	Sequence int64 `json:"sequence,omitempty"`
}

// ClaimReply is the answer to an accepted claim.
type ClaimReply struct {
	Incarnation int64     `json:"incarnation"`
	ClockMs     int64     `json:"clock_ms"`
	Capacity    Resources `json:"capacity"`
	Tasks       []Task    `json:"tasks"`
}

// ConflictReply is the answer to a claim or sync of an owner that is not the one in force, or to a
// sync that a later one has overtaken; then Epoch is the owner's own.
type ConflictReply struct {
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence,omitempty"`
}

// Sync carries the commands of the owner; the worker applies forgets, stops, checkpoints, throttles and starts in this order.
type Sync struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
	// Sequence, if not 0, must be above that of every earlier sync of the epoch.
	Sequence    int64      `json:"sequence,omitempty"`
	RenewFromMs int64      `json:"base_ms"`
	Starts      []Start    `json:"starts,omitempty"`
	Stops       []string   `json:"stops,omitempty"`
	Checkpoints []string   `json:"checkpoints,omitempty"`
	Throttles   []Throttle `json:"throttles,omitempty"`
	Acks        []string   `json:"forgets,omitempty"`
}

// StartResult says whether one start was accepted, and why not.
type StartResult struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// SyncReply is the answer to an accepted sync.
type SyncReply struct {
	ClockMs int64         `json:"clock_ms"`
	Starts  []StartResult `json:"starts"`
	Tasks   []Task        `json:"tasks"`
}

// payload holds the true values of a simulated task, where they differ from the declared ones.
type payload struct {
	TrueRunMs     int64 `json:"true_run_ms"`
	TrueCPUMillis int64 `json:"true_cpu_millis"`
	TrueMemoryMB  int64 `json:"true_memory_mb"`
	Fail          bool  `json:"fail"`
}

// decodePayload reads a payload given as a JSON object or as the base64 text of one.
// Anything else belongs to the job and means that the declared values are true.
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
