package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// view is what one entry instance knows of the backend servers.
type view struct {
	own      [servers]int // outstanding requests
	since    [servers]int // assignments since the last load report
	reported [servers]int // busy slots in the last load report
	latency  [servers]route.PeakEWMA
	next     int
	now      time.Time
	random   *rand.Rand
	waiting  []job
}

// policy orders the servers with a free share; the first is used.
type policy struct {
	name string
	pick func(v *view, free []int) []int
}

// policies are the router's own (peak EWMA), the simple ones, and those with load reports,
// with and without the counting of own assignments of "HAVEN: Holistic Load Balancing and
// Auto Scaling in the Cloud".
var policies = []policy{
	{"peak EWMA", func(v *view, free []int) []int { return v.twoChoices(free, &v.own) }},
	{"peak EWMA, HAVEN", func(v *view, free []int) []int { return v.twoChoices(v.fewest(free), &v.own) }},
	{"peak EWMA, report", func(v *view, free []int) []int { return v.twoChoices(free, &v.reported) }},
	{"peak EWMA, report, HAVEN", func(v *view, free []int) []int { return v.twoChoices(v.fewest(free), &v.reported) }},
	{"least reported", func(v *view, free []int) []int { return v.least(free, v.report) }},
	{"least reported, HAVEN", func(v *view, free []int) []int { return v.least(v.fewest(free), v.report) }},
	{"least connections", func(v *view, free []int) []int {
		return v.least(free, func(s int) float64 { return float64(v.own[s]) })
	}},
	{"round robin", func(v *view, free []int) []int {
		v.next = (v.next + 1) % servers
		return v.least(free, func(s int) float64 { return float64((s - v.next + servers) % servers) })
	}},
	{"random", func(v *view, free []int) []int { return v.least(free, func(int) float64 { return 0 }) }},
}

func (v *view) report(s int) float64 { return float64(v.reported[s]) }

// least returns the servers with the lowest score in random order.
func (v *view) least(list []int, score func(s int) float64) []int {
	best, out := math.Inf(1), []int(nil)
	for _, s := range list {
		x := score(s)
		if x < best {
			best, out = x, nil
		}
		if x == best {
			out = append(out, s)
		}
	}
	v.shuffle(out)
	return out
}

// fewest is HAVEN's counting: the servers with the fewest own assignments since the report.
func (v *view) fewest(list []int) []int {
	return v.least(list, func(s int) float64 { return float64(v.since[s]) })
}

// twoChoices returns the better of two random servers by the router's cost.
func (v *view) twoChoices(list []int, load *[servers]int) []int {
	v.shuffle(list)
	list = list[:min(2, len(list))]
	return v.least(list, func(s int) float64 { return v.latency[s].Cost(v.now, load[s], 0) })
}

func (v *view) shuffle(list []int) {
	v.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// free returns the servers with a free share.
func (v *view) free() []int {
	var list []int
	for s, n := range v.own {
		if n < share {
			list = append(list, s)
		}
	}
	return list
}
