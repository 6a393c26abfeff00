package usage

import "math"

const (
	// growth is the ratio of neighbouring bucket limits: an estimate is at most 10% too high.
	growth = 1.1
	// slots covers 1 to growth^slots = 9.3e7: thousandths of a core, MB, or seconds.
	slots = 192
	// maxScale is where the weights are scaled back; float32 holds 2^126.
	maxScale = 1 << 40
)

var logGrowth = math.Log(growth)

// histogram counts values in exponential buckets; newer values weigh more.
type histogram struct {
	weights []float32
	total   float64
	// scale is the weight of a value that is added now.
	scale float64
}

func slotOf(v int64) int {
	if v <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(v))/logGrowth-1e-9)), slots-1)
}

// limitOf is the largest value of a slot.
func limitOf(slot int) int64 {
	return int64(math.Ceil(math.Pow(growth, float64(slot))))
}

// age makes every value that is present weigh less by the factor 2^-halvings.
func (h *histogram) age(halvings float64) {
	if h.scale == 0 {
		h.scale = 1
	}
	h.scale *= math.Exp2(min(halvings, 200))
	if h.scale < maxScale {
		return
	}
	h.total = 0
	for i := range h.weights {
		h.weights[i] = float32(float64(h.weights[i]) / h.scale)
		h.total += float64(h.weights[i])
	}
	h.scale = 1
}

// add counts v with a weight of 2^-halvings.
func (h *histogram) add(v int64, halvings float64) {
	if h.weights == nil {
		h.weights = make([]float32, slots)
		h.scale = max(h.scale, 1)
	}
	w := float32(h.scale * math.Exp2(-halvings))
	h.weights[slotOf(v)] += w
	h.total += float64(w)
}

// quantile returns a value that the share q of the weight does not exceed.
func (h *histogram) quantile(q float64) int64 {
	sum := 0.0
	last := 0
	for i, w := range h.weights {
		if w == 0 {
			continue
		}
		last = i
		sum += float64(w)
		if sum >= q*h.total {
			return limitOf(i)
		}
	}
	return limitOf(last)
}

func scaled(v int64, factor float64) int64 {
	return int64(math.Ceil(float64(v) * factor))
}
