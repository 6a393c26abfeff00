package place

// failedNeeds caches needs that no worker can hold at present, so that a flood of equal tasks
// costs a single search until enough capacity is freed for one of them.
type failedNeeds struct {
	needs [maxFailedNeeds]Resources
	// n is the number of elements in use.
	n int
	// next is the element that is replaced next once the cache is full.
	next int
}

const maxFailedNeeds = 8

func (f *failedNeeds) clear() { f.n, f.next = 0, 0 }

// contains reports whether a need that is not larger in any dimension has failed.
func (f *failedNeeds) contains(need Resources) bool {
	for i := range f.n {
		if f.needs[i].Fits(need) {
			return true
		}
	}
	return false
}

func (f *failedNeeds) add(need Resources) {
	if f.n < maxFailedNeeds {
		f.needs[f.n] = need
		f.n++
		return
	}
	f.needs[f.next] = need
	f.next = (f.next + 1) % maxFailedNeeds
}

// forgetFitting removes the needs that fit a worker with this free capacity.
func (f *failedNeeds) forgetFitting(free Resources) {
	for i := 0; i < f.n; {
		if !f.needs[i].Fits(free) {
			i++
			continue
		}
		f.n--
		f.needs[i] = f.needs[f.n]
	}
	f.next = 0
}
