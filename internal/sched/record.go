package sched

import (
	"encoding/json"
	"fmt"
	"math/bits"

	"github.com/cockroachdb/errors"

	"github.com/daisyrack/daisyrack/pkg/config"
)

// Kinds of events that are recorded only by this package.
const (
	eventTermRecovered = "term_recovered"
	eventTaskLost      = "task_lost"
)

// States of a job.
const (
	JobAccepted   = "accepted"
	JobFinished   = "finished"
	JobFailed     = "failed"
	JobCancelled  = "cancelled"
	JobImpossible = "impossible"
)

// JobRecord is the stored row of a job.
type JobRecord struct {
	Job     config.Job `json:"job"`
	Version int64      `json:"version"`
	State   string     `json:"state"`
	Reason  string     `json:"reason,omitempty"`
	// Done is a bitmap of the indexes of the tasks that have succeeded.
	Done         []byte `json:"done,omitempty"`
	Failures     int    `json:"failures,omitempty"`
	Author       string `json:"author,omitempty"`
	FromDocument bool   `json:"document,omitempty"`
	AcceptedMS   int64  `json:"accepted_ms"`
	EndedMS      int64  `json:"ended_ms,omitempty"`
}

// Ended reports whether the job has reached a final state.
func (r *JobRecord) Ended() bool {
	switch r.State {
	case JobFinished, JobFailed, JobCancelled:
		return true
	}
	return false
}

// IsDone reports whether the task with this index has succeeded.
func (r *JobRecord) IsDone(index int) bool {
	return index/8 < len(r.Done) && r.Done[index/8]&(1<<(index%8)) != 0
}

// SetDone records that the task with this index has succeeded.
func (r *JobRecord) SetDone(index int) {
	for len(r.Done) <= index/8 {
		r.Done = append(r.Done, 0)
	}
	r.Done[index/8] |= 1 << (index % 8)
}

// DoneCount returns the number of tasks that have succeeded.
func (r *JobRecord) DoneCount() int {
	n := 0
	for _, b := range r.Done {
		n += bits.OnesCount8(b)
	}
	return n
}

func jobPrefix(domain string) string {
	return "job/" + domain + "/"
}

func jobKey(domain, name string) string {
	return jobPrefix(domain) + name
}

func fleetKey(domain string) string {
	return "fleet/" + domain
}

func encodeRecord(r *JobRecord) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "sched: unable to encode job record")
}

func decodeRecord(key string, data []byte) (*JobRecord, error) {
	var r JobRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrapf(err, "sched: unable to decode job record %s", key)
	}
	return &r, nil
}

// taskID returns the ID of a task. Each version of a batch or all-at-once job has tasks of its own,
// while the replicas of a service keep their IDs across versions.
func taskID(r *JobRecord, index int) string {
	if r.Job.Kind == config.KindService {
		return fmt.Sprintf("%s/%d", r.Job.Name, index)
	}
	return fmt.Sprintf("%s@%d/%d", r.Job.Name, r.Version, index)
}
