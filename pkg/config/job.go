package config

import (
	"encoding/json"
	"slices"
	"time"
)

// Kinds of job documents.
const (
	KindService = "service"
	KindBatch   = "batch"
	KindGang    = "all_at_once"
)

var jobKinds = []string{KindService, KindBatch, KindGang}

const (
	defaultClass       = "normal"
	defaultOnCutOff    = "stay"
	defaultMaxAttempts = 5

	// MaxPayloadBytes is the maximum size of a job's payload.
	MaxPayloadBytes = 16 << 10
)

// Resources are the resources that one task needs.
type Resources struct {
	CPUMillis    int64 `json:"cpu_millis"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Job is a document that describes a service, a batch job or a gang job.
type Job struct {
	Kind           string          `json:"kind"`
	Name           string          `json:"name"`
	User           string          `json:"user"`
	Team           string          `json:"team,omitempty"`
	Class          string          `json:"class,omitempty"`
	Tasks          int             `json:"tasks"`
	Resources      Resources       `json:"resources"`
	FailureDomains []string        `json:"failure_domains,omitempty"`
	OnCutOff       string          `json:"on_cut_off,omitempty"`
	RunSeconds     int64           `json:"run_seconds,omitempty"`
	MaxAttempts    int             `json:"max_attempts,omitempty"`
	Payload        json.RawMessage `json:"payload,omitempty"`
}

// WithDefaults returns the job with defaults for missing fields.
func (j Job) WithDefaults() Job {
	if j.Class == "" {
		j.Class = defaultClass
	}
	if j.OnCutOff == "" {
		j.OnCutOff = defaultOnCutOff
	}
	if j.MaxAttempts == 0 {
		j.MaxAttempts = defaultMaxAttempts
	}
	return j
}

// Account returns the account that the job's shares and quota belong to.
func (j Job) Account() string {
	return Account(j.User, j.Team)
}

// Account returns the account of a user and team: USER/TEAM, or USER without a team.
func Account(user, team string) string {
	if team == "" {
		return user
	}
	return user + "/" + team
}

// RunTime returns the declared run time of a task, or zero if it is unknown.
func (j Job) RunTime() time.Duration {
	return time.Duration(j.RunSeconds) * time.Second
}

// IsJobKind reports whether documents of this kind describe a job.
func IsJobKind(kind string) bool {
	return slices.Contains(jobKinds, kind)
}
