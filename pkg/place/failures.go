package place

// failures remembers needs that no worker can hold, so that a flood of equal tasks
// costs one search until capacity is freed that would hold one of them.
type failures struct {
	needs [failureSlots]Resources
	n     int
	next  int
}

const failureSlots = 8

func (f *failures) clear() { f.n, f.next = 0, 0 }

// known reports whether a need that is nowhere larger than this one has failed.
func (f *failures) known(need Resources) bool {
	for i := range f.n {
		if f.needs[i].Fits(need) {
			return true
		}
	}
	return false
}

func (f *failures) add(need Resources) {
	if f.n < failureSlots {
		f.needs[f.n] = need
		f.n++
		return
	}
	f.needs[f.next] = need
	f.next = (f.next + 1) % failureSlots
}

// freed forgets the needs that a worker with this free capacity can hold.
func (f *failures) freed(free Resources) {
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
