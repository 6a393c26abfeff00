package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/daisyrack/daisyrack/pkg/route"
)

// instanceView is what one entry instance knows about the backend servers.
type instanceView struct {
	outstanding  [servers]int // outstanding requests
	assigned     [servers]int // assignments since the last load report
	reportedBusy [servers]int // busy slots in the last load report
	latency      [servers]route.PeakEWMA
	next         int
	now          time.Time
	random       *rand.Rand
	waiting      []request
}

// policy ranks the servers that have a free slot. The first one in the result gets the request.
type policy struct {
	name string
	pick func(v *instanceView, free []int) []int
}

// policies are the policy of the router (peak EWMA), simple policies, and policies that use load
// reports. Some are also combined with the counting of own assignments that "HAVEN: Holistic Load
// Balancing and Auto Scaling in the Cloud" describes.
var policies = []policy{
	{"peak EWMA", func(v *instanceView, free []int) []int { return v.twoChoices(free, &v.outstanding) }},
	{"peak EWMA, HAVEN", func(v *instanceView, free []int) []int { return v.twoChoices(v.fewestAssigned(free), &v.outstanding) }},
	{"peak EWMA, report", func(v *instanceView, free []int) []int { return v.twoChoices(free, &v.reportedBusy) }},
	{"peak EWMA, report, HAVEN", func(v *instanceView, free []int) []int { return v.twoChoices(v.fewestAssigned(free), &v.reportedBusy) }},
	{"least reported", func(v *instanceView, free []int) []int { return v.lowest(free, v.reportedLoad) }},
	{"least reported, HAVEN", func(v *instanceView, free []int) []int { return v.lowest(v.fewestAssigned(free), v.reportedLoad) }},
	{"least connections", func(v *instanceView, free []int) []int {
		return v.lowest(free, func(s int) float64 { return float64(v.outstanding[s]) })
	}},
	{"round robin", func(v *instanceView, free []int) []int {
		v.next = (v.next + 1) % servers
		return v.lowest(free, func(s int) float64 { return float64((s - v.next + servers) % servers) })
	}},
	{"random", func(v *instanceView, free []int) []int { return v.lowest(free, func(int) float64 { return 0 }) }},
}

func (v *instanceView) reportedLoad(s int) float64 { return float64(v.reportedBusy[s]) }

// lowest returns the servers with the lowest score in random order.
func (v *instanceView) lowest(list []int, score func(s int) float64) []int {
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

// fewestAssigned returns the servers with the fewest own assignments since the last load report, as
// HAVEN does.
func (v *instanceView) fewestAssigned(list []int) []int {
	return v.lowest(list, func(s int) float64 { return float64(v.assigned[s]) })
}

// twoChoices returns the better of two random servers by the cost that the router uses.
func (v *instanceView) twoChoices(list []int, load *[servers]int) []int {
	v.shuffle(list)
	list = list[:min(2, len(list))]
	return v.lowest(list, func(s int) float64 { return v.latency[s].Cost(v.now, load[s], 0) })
}

func (v *instanceView) shuffle(list []int) {
	v.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// freeServers returns the servers on which this instance has a free slot.
func (v *instanceView) freeServers() []int {
	var list []int
	for s, n := range v.outstanding {
		if n < slotsPerInstance {
			list = append(list, s)
		}
	}
	return list
}
