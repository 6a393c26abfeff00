package usage

import (
	"container/list"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// ErrInvalidSnapshot means that a snapshot cannot be decoded or holds invalid values.
var ErrInvalidSnapshot = errors.New("usage: invalid snapshot")

type estimatorSnapshot struct {
	Version int           `json:"version"`
	Jobs    []jobSnapshot `json:"jobs"`
}

type jobSnapshot struct {
	Job      string            `json:"job"`
	Reports  int               `json:"reports"`
	Runs     int               `json:"runs"`
	CPU      histogramSnapshot `json:"cpu"`
	Memory   histogramSnapshot `json:"memory"`
	Run      histogramSnapshot `json:"run"`
	Oldest   time.Time         `json:"oldest"`
	Newest   time.Time         `json:"newest"`
	Peak     Resources         `json:"peak"`
	Previous Resources         `json:"previous"`
	PeakAt   time.Time         `json:"peak_at"`
}

// histogramSnapshot holds the weights from the first to the last non-empty bucket, in millionths
// of the total. The total is relative to the weight of a value added now.
type histogramSnapshot struct {
	First   int     `json:"first"`
	Total   float64 `json:"total"`
	Weights []int32 `json:"weights,omitempty"`
}

// weightResolution is the number of units into which saved weights divide the total; weights
// that round to zero units are dropped.
const weightResolution = 1e6

// Clone returns an independent copy, so that another goroutine can create the Snapshot, which
// takes about ten times as long as the copy.
func (e *Estimator) Clone() *Estimator {
	out := *e
	out.jobs = make(map[string]*list.Element, len(e.jobs))
	out.lru = list.List{}
	for el := e.lru.Front(); el != nil; el = el.Next() {
		js := *el.Value.(*jobStats)
		for _, h := range []*histogram{&js.cpu, &js.mem, &js.runTimes} {
			h.weights = slices.Clone(h.weights)
		}
		out.jobs[js.job] = out.lru.PushBack(&js)
	}
	return &out
}

// Snapshot returns the statistics of all jobs as JSON, the most recently used job first.
func (e *Estimator) Snapshot() []byte {
	out := estimatorSnapshot{Version: snapshotVersion, Jobs: make([]jobSnapshot, 0, len(e.jobs))}
	for el := e.lru.Front(); el != nil; el = el.Next() {
		js := el.Value.(*jobStats)
		out.Jobs = append(out.Jobs, jobSnapshot{
			js.job, js.reports, js.runs, js.cpu.snapshot(), js.mem.snapshot(), js.runTimes.snapshot(),
			js.oldestReport, js.newestReport, js.peak, js.previousPeak, js.peakWindowStart,
		})
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(errors.Wrap(err, "usage: unable to encode a snapshot"))
	}
	return data
}

// Restore replaces the statistics of all jobs with those of a snapshot. On ErrInvalidSnapshot
// the estimator is unchanged. If there are more than MaxJobs, the least recently used jobs are
// left out.
func (e *Estimator) Restore(data []byte) error {
	var in estimatorSnapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Wrapf(ErrInvalidSnapshot, "%v", err)
	}
	if in.Version != snapshotVersion {
		return errors.Wrapf(ErrInvalidSnapshot, "version %d, want %d", in.Version, snapshotVersion)
	}
	fresh := Estimator{MaxJobs: e.MaxJobs}
	in.Jobs = in.Jobs[:min(len(in.Jobs), intOr(e.MaxJobs, defaultMaxJobs))]
	for i := len(in.Jobs) - 1; i >= 0; i-- {
		if err := fresh.restoreJob(&in.Jobs[i]); err != nil {
			return err
		}
	}
	e.jobs = fresh.jobs
	e.lru = list.List{}
	for el := fresh.lru.Front(); el != nil; el = el.Next() {
		js := el.Value.(*jobStats)
		e.jobs[js.job] = e.lru.PushBack(js)
	}
	return nil
}

func (e *Estimator) restoreJob(s *jobSnapshot) error {
	if s.Job == "" || s.Reports < 0 || s.Runs < 0 {
		return errors.Wrapf(ErrInvalidSnapshot, "job %q: %d reports, %d runs", s.Job, s.Reports, s.Runs)
	}
	js := e.getOrCreate(s.Job)
	js.reports, js.runs, js.oldestReport, js.newestReport = s.Reports, s.Runs, s.Oldest, s.Newest
	js.peak, js.previousPeak, js.peakWindowStart = s.Peak, s.Previous, s.PeakAt
	for _, part := range []struct {
		to   *histogram
		from histogramSnapshot
	}{{&js.cpu, s.CPU}, {&js.mem, s.Memory}, {&js.runTimes, s.Run}} {
		if !part.to.restore(part.from) {
			return errors.Wrapf(ErrInvalidSnapshot, "job %q: histogram", s.Job)
		}
	}
	return nil
}

func (h *histogram) snapshot() histogramSnapshot {
	if h.total <= 0 {
		return histogramSnapshot{}
	}
	out := histogramSnapshot{Total: h.total / h.scale, Weights: make([]int32, 0, numBuckets)}
	last := 0
	for i, w := range h.weights {
		share := int32(math.Round(float64(w) / h.total * weightResolution))
		if share == 0 && len(out.Weights) == 0 {
			out.First = i + 1
			continue
		}
		out.Weights = append(out.Weights, share)
		if share > 0 {
			last = len(out.Weights)
		}
	}
	out.Weights = out.Weights[:last]
	return out
}

func (h *histogram) restore(s histogramSnapshot) bool {
	if s.First < 0 || s.First > numBuckets || len(s.Weights) > numBuckets-s.First || !(s.Total >= 0) {
		return false
	}
	if len(s.Weights) == 0 {
		return true
	}
	h.weights = make([]float32, numBuckets)
	h.scale = 1
	for i, share := range s.Weights {
		if share < 0 {
			return false
		}
		h.weights[s.First+i] = float32(float64(share) / weightResolution * s.Total)
	}
	h.total = s.Total
	return true
}
