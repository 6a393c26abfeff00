package near

import (
	"math"
	"time"
)

// Window is the time over which rates are averaged. The longer tasks of the users take 6 s, so that a shorter one would
// see no end of some of them.
const Window = 6 * time.Second

// minAge is the shortest time that a rate is taken over, so that the first end of a run does not look like many.
const minAge = 2 * time.Second

// Rate is a moving average of an amount per second. The zero value has seen nothing.
type Rate struct {
	sum float64
	at  time.Time
}

// Add counts an amount.
func (r *Rate) Add(now time.Time, amount float64) {
	r.sum = r.decayed(now) + amount
	r.at = now
}

// PerSecond returns the average amount per second of what was counted since a time.
func (r *Rate) PerSecond(now, since time.Time) float64 {
	age := max(now.Sub(since), minAge).Seconds()
	return r.decayed(now) / (Window.Seconds() * (1 - math.Exp(-age/Window.Seconds())))
}

func (r *Rate) decayed(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-max(now.Sub(r.at), 0).Seconds()/Window.Seconds())
}

const (
	// maxImages limits the images that are remembered; beyond it all are observed anew.
	maxImages = 1024

	// ratioWeight is the weight of one run in the average of an image that has been seen often.
	ratioWeight = 0.1

	// priorRuns is the number of runs from which those of an image count as much as those of all images.
	priorRuns = 2

	// maxVariance limits the spread that counts: runs that take seven times as long are three in a hundred, and
	// waiting for them pays for none of the others.
	maxVariance = 0.25

	// minRatio and maxRatio limit a single observation.
	minRatio, maxRatio = 0.02, 50
)

// RunTimes holds the observed run times of images, relative to their estimates. The zero value is ready to use.
//
// Estimates are off by up to 90%, all runs of an image by about as much; a few runs take many times as long as
// the others. The mean of the logarithms follows the first and is little moved by the second.
type RunTimes struct {
	images map[string]logMean
	all    logMean
}

// logMean is a moving average of logarithms, and of the squares of their deviations from it.
type logMean struct {
	n              int
	mean, variance float64
}

func (m *logMean) add(x float64) {
	m.n++
	w, d := max(ratioWeight, 1/float64(m.n)), x-m.mean
	m.mean += w * d
	m.variance = (1 - w) * (m.variance + w*d*d)
}

// Observe counts a run that took ratio times its estimate.
func (t *RunTimes) Observe(image string, ratio float64) {
	x := math.Log(min(max(ratio, minRatio), maxRatio))
	t.all.add(x)
	m, known := t.images[image]
	if t.images == nil || !known && len(t.images) >= maxImages {
		t.images = make(map[string]logMean)
	}
	m.add(x)
	t.images[image] = m
}

// Ratio returns the expected run time, relative to its estimate, of the longest of a number of tasks of an image: a step
// ends with that one.
func (t *RunTimes) Ratio(image string, tasks int) float64 {
	m := t.images[image]
	own := float64(m.n) / float64(m.n+priorRuns)
	variance := min(m.variance, maxVariance)
	return math.Exp(own*m.mean + (1-own)*t.all.mean + own*math.Sqrt(variance)*longest(tasks))
}

// longest returns the expected largest of n normally distributed numbers, in standard deviations.
func longest(n int) float64 {
	if n <= 1 {
		return 0
	}
	// Blom's approximation.
	p := (float64(n) - 0.375) / (float64(n) + 0.25)
	return math.Sqrt2 * math.Erfinv(2*p-1)
}
