package usage

import "math"

const (
	// bucketGrowth is the ratio of neighbouring bucket limits: an estimate is at most 10% too high.
	bucketGrowth = 1.1
	// numBuckets covers values from 1 to bucketGrowth^numBuckets = 9.3e7, in thousandths of a
	// core, MB or seconds.
	numBuckets = 192
	// maxScale is the scale from which the weights are normalized, long before they exceed
	// the range of float32 (2^126).
	maxScale = 1 << 40
)

var logGrowth = math.Log(bucketGrowth)

// histogram counts values in exponential buckets, with exponentially decaying weights.
type histogram struct {
	weights []float32
	total   float64
	// scale is the weight of a value added now; it grows instead of all weights shrinking.
	scale float64
}

func bucketOf(v int64) int {
	if v <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(v))/logGrowth-1e-9)), numBuckets-1)
}

// bucketLimit returns the upper limit of a bucket.
func bucketLimit(bucket int) int64 {
	return int64(math.Ceil(math.Pow(bucketGrowth, float64(bucket))))
}

// decay multiplies the weight of all present values by 2^-halvings.
func (h *histogram) decay(halvings float64) {
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
		h.weights = make([]float32, numBuckets)
		h.scale = max(h.scale, 1)
	}
	w := float32(h.scale * math.Exp2(-halvings))
	h.weights[bucketOf(v)] += w
	h.total += float64(w)
}

// quantile returns the limit of the bucket up to which at least the fraction q of the weight lies.
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
			return bucketLimit(i)
		}
	}
	return bucketLimit(last)
}

func scaleUp(v int64, factor float64) int64 {
	return int64(math.Ceil(float64(v) * factor))
}
