package usage

import (
	"container/list"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// version of the snapshot format.
const version = 1

// ErrInvalidSnapshot means that a snapshot can not be read.
var ErrInvalidSnapshot = errors.New("usage: invalid snapshot")

type savedBook struct {
	Version int        `json:"version"`
	Jobs    []savedJob `json:"jobs"`
}

type savedJob struct {
	Job      string         `json:"job"`
	Reports  int            `json:"reports"`
	Runs     int            `json:"runs"`
	CPU      savedHistogram `json:"cpu"`
	Memory   savedHistogram `json:"memory"`
	Run      savedHistogram `json:"run"`
	Oldest   time.Time      `json:"oldest"`
	Newest   time.Time      `json:"newest"`
	Peak     Resources      `json:"peak"`
	Previous Resources      `json:"previous"`
	PeakAt   time.Time      `json:"peak_at"`
}

// savedHistogram has the weights from the first to the last slot that has one, in
// millionths of the total; the total is relative to the weight of the newest value.
type savedHistogram struct {
	First   int     `json:"first"`
	Total   float64 `json:"total"`
	Weights []int32 `json:"weights,omitempty"`
}

// millionths is the resolution of saved weights; smaller ones are dropped.
const millionths = 1e6

// Clone returns an independent copy, which another goroutine may turn into a Snapshot: that
// takes about ten times as long.
func (b *Estimator) Clone() *Estimator {
	out := *b
	out.jobs = make(map[string]*list.Element, len(b.jobs))
	out.order = list.List{}
	for el := b.order.Front(); el != nil; el = el.Next() {
		e := *el.Value.(*entry)
		for _, h := range []*histogram{&e.cpu, &e.mem, &e.run} {
			h.weights = slices.Clone(h.weights)
		}
		out.jobs[e.job] = out.order.PushBack(&e)
	}
	return &out
}

// Snapshot returns everything learned as JSON, the most recently used job first.
func (b *Estimator) Snapshot() []byte {
	out := savedBook{Version: version, Jobs: make([]savedJob, 0, len(b.jobs))}
	for el := b.order.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		out.Jobs = append(out.Jobs, savedJob{
			e.job, e.reports, e.runs, e.cpu.save(), e.mem.save(), e.run.save(),
			e.oldest, e.newest, e.peak, e.previous, e.peakAt,
		})
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(errors.Wrap(err, "usage: unable to encode a snapshot"))
	}
	return data
}

// Restore replaces everything learned by a snapshot. On ErrInvalidSnapshot the book is unchanged.
// Jobs beyond MaxJobs are left out, the least recently used first.
func (b *Estimator) Restore(data []byte) error {
	var in savedBook
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Wrapf(ErrInvalidSnapshot, "%v", err)
	}
	if in.Version != version {
		return errors.Wrapf(ErrInvalidSnapshot, "version %d, want %d", in.Version, version)
	}
	fresh := Estimator{MaxJobs: b.MaxJobs}
	in.Jobs = in.Jobs[:min(len(in.Jobs), orInt(b.MaxJobs, defaultMaxJobs))]
	for i := len(in.Jobs) - 1; i >= 0; i-- {
		if err := fresh.load(&in.Jobs[i]); err != nil {
			return err
		}
	}
	b.jobs = fresh.jobs
	b.order = list.List{}
	for el := fresh.order.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		b.jobs[e.job] = b.order.PushBack(e)
	}
	return nil
}

func (b *Estimator) load(s *savedJob) error {
	if s.Job == "" || s.Reports < 0 || s.Runs < 0 {
		return errors.Wrapf(ErrInvalidSnapshot, "job %q: %d reports, %d runs", s.Job, s.Reports, s.Runs)
	}
	e := b.touch(s.Job)
	e.reports, e.runs, e.oldest, e.newest = s.Reports, s.Runs, s.Oldest, s.Newest
	e.peak, e.previous, e.peakAt = s.Peak, s.Previous, s.PeakAt
	for _, part := range []struct {
		to   *histogram
		from savedHistogram
	}{{&e.cpu, s.CPU}, {&e.mem, s.Memory}, {&e.run, s.Run}} {
		if !part.to.load(part.from) {
			return errors.Wrapf(ErrInvalidSnapshot, "job %q: histogram", s.Job)
		}
	}
	return nil
}

func (h *histogram) save() savedHistogram {
	if h.total <= 0 {
		return savedHistogram{}
	}
	out := savedHistogram{Total: h.total / h.scale, Weights: make([]int32, 0, slots)}
	last := 0
	for i, w := range h.weights {
		share := int32(math.Round(float64(w) / h.total * millionths))
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

func (h *histogram) load(s savedHistogram) bool {
	if s.First < 0 || s.First > slots || len(s.Weights) > slots-s.First || !(s.Total >= 0) {
		return false
	}
	if len(s.Weights) == 0 {
		return true
	}
	h.weights = make([]float32, slots)
	h.scale = 1
	for i, share := range s.Weights {
		if share < 0 {
			return false
		}
		h.weights[s.First+i] = float32(float64(share) / millionths * s.Total)
	}
	h.total = s.Total
	return true
}
