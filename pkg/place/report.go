package place

import (
	"cmp"
	"slices"
)

// Cause is a reason why hardware is idle.
type Cause uint8

const (
	// Cordoned means that the worker accepts no new tasks.
	Cordoned Cause = iota
	// HeldForJob means that the capacity waits for the start of a reservation.
	HeldForJob
	// NoCPU means that no processors are left on the worker for the rest of it.
	NoCPU
	// NoMemory means that no memory is left on the worker for the rest of it.
	NoMemory
	// Available means that the next task may use it.
	Available
	causes
)

var causeNames = [causes]string{
	"worker is cordoned",
	"held for an all-at-once job",
	"stranded: processors of the worker are used up",
	"stranded: memory of the worker is used up",
	"available: no work asks for it",
}

// String returns a phrase for operators.
func (c Cause) String() string {
	if c >= causes {
		return "unknown"
	}
	return causeNames[c]
}

// Idle is an amount of idle capacity with its cause.
type Idle struct {
	Cause  Cause
	Amount Resources
}

// Usable is the state of the capacity of one rack or of the whole cell.
type Usable struct {
	// Rack is empty in the sum.
	Rack string

	Workers  int
	Cordoned int
	// Over is the number of workers whose grants exceed their capacity.
	Over int

	Total   Resources
	Granted Resources
	// Idle is what is not granted; Idle of workers that are over their capacity counts as 0.
	Idle Resources
	// Stranded is the part of Idle that no task of the usual shape can use.
	Stranded Resources
	// Reasons splits Idle by cause; the amounts add up to Idle.
	Reasons []Idle
}

// Report is the answer of Capacity.
type Report struct {
	Sum Usable
	// Racks is sorted by name.
	Racks []Usable
	// Shape is the mean need of the running tasks, by which stranded capacity is judged.
	Shape Resources
}

// Capacity reports what is granted and idle, and why hardware is idle. Idle capacity of a
// worker is stranded when the ratio of free processors to free memory differs from the mean
// need of the running tasks: the part beyond that ratio waits for a resource that is used up.
func (c *Cell) Capacity() Report {
	rep := Report{Shape: c.shape()}
	sum := newUsable("")
	perRack := make([]*Usable, len(c.racks))
	for i := range c.workers {
		w := &c.workers[i]
		if !w.used {
			continue
		}
		if perRack[w.rack] == nil {
			perRack[w.rack] = newUsable(c.racks[w.rack].name)
		}
		perRack[w.rack].count(w, rep.Shape)
		sum.count(w, rep.Shape)
	}
	rep.Sum = *sum
	for _, u := range perRack {
		if u != nil {
			rep.Racks = append(rep.Racks, *u)
		}
	}
	slices.SortFunc(rep.Racks, func(a, b Usable) int { return cmp.Compare(a.Rack, b.Rack) })
	return rep
}

func newUsable(name string) *Usable {
	u := &Usable{Rack: name, Reasons: make([]Idle, causes)}
	for i := range u.Reasons {
		u.Reasons[i].Cause = Cause(i)
	}
	return u
}

// shape is the mean need of the running tasks; zero without tasks.
func (c *Cell) shape() Resources {
	var sum Resources
	for i := range c.workers {
		if c.workers[i].used {
			sum = sum.Add(c.workers[i].capacity.Sub(c.workers[i].free))
		}
	}
	n := int64(max(len(c.byID), 1))
	return Resources{sum.CPUMillis / n, sum.MemoryMB / n, sum.Accelerators / n}
}

func (u *Usable) count(w *worker, shape Resources) {
	u.Workers++
	u.Total = u.Total.Add(w.capacity)
	u.Granted = u.Granted.Add(w.capacity.Sub(w.free))
	if w.free.negative() {
		u.Over++
	}
	idle := w.free.positive()
	u.Idle = u.Idle.Add(idle)
	if w.cordoned {
		u.Cordoned++
		u.add(Cordoned, idle)
		return
	}
	if w.reserved {
		held := w.held.Min(idle)
		u.add(HeldForJob, held)
		idle = idle.Sub(held)
	}
	cause, part := stranded(idle, shape)
	u.add(cause, part)
	u.Stranded = u.Stranded.Add(part)
	u.add(Available, idle.Sub(part))
}

func (u *Usable) add(cause Cause, amount Resources) {
	u.Reasons[cause].Amount = u.Reasons[cause].Amount.Add(amount)
}

// stranded returns the part of idle that no task of this shape can use, and what is lacking.
// Accelerators are stranded when processors or memory for a task of this shape are lacking.
func stranded(idle, shape Resources) (Cause, Resources) {
	if shape.CPUMillis == 0 || shape.MemoryMB == 0 {
		return Available, Resources{}
	}
	byCPU := float64(idle.CPUMillis) / float64(shape.CPUMillis)
	byMem := float64(idle.MemoryMB) / float64(shape.MemoryMB)
	units := min(byCPU, byMem)
	part := Resources{
		CPUMillis: idle.CPUMillis - int64(units*float64(shape.CPUMillis)),
		MemoryMB:  idle.MemoryMB - int64(units*float64(shape.MemoryMB)),
	}
	if units < 1 {
		part.Accelerators = idle.Accelerators
	}
	part = part.positive().Min(idle)
	if byCPU < byMem {
		return NoCPU, part
	}
	return NoMemory, part
}
