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

	// MaxPayloadBytes bounds the payload of a job.
	MaxPayloadBytes = 16 << 10
)

// Resources are what one task needs.
type Resources struct {
	CPUMillis    int64 `json:"cpu_millis"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Job is a document that describes a service, a batch job or an all-at-once job.
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

// WithDefaults returns the job with its missing fields filled in.
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

// Account returns the name under which shares and quotas of the job are kept.
func (j Job) Account() string {
	return Account(j.User, j.Team)
}

// Account returns USER/TEAM, or USER alone when there is no team.
func Account(user, team string) string {
	if team == "" {
		return user
	}
	return user + "/" + team
}

// RunTime returns the declared run time of one task; zero means unknown.
func (j Job) RunTime() time.Duration {
	return time.Duration(j.RunSeconds) * time.Second
}

// IsJobKind tells whether a document kind describes a job.
func IsJobKind(kind string) bool {
	return slices.Contains(jobKinds, kind)
}
