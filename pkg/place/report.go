package place

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
)

// Cause explains why capacity is idle.
type Cause uint8

const (
	// Cordoned means that the worker does not accept new tasks.
	Cordoned Cause = iota
	// HeldForReservation means that the capacity is held until a reservation starts.
	HeldForReservation
	// CPUExhausted means that the worker has too little free CPU to use its other resources.
	CPUExhausted
	// MemoryExhausted means that the worker has too little free memory to use its other resources.
	MemoryExhausted
	// Available means that the capacity can be granted to the next task.
	Available
	numCauses
)

var causeNames = [numCauses]string{
	"worker is cordoned",
	"held for an all-at-once job",
	"stranded: processors of the worker are used up",
	"stranded: memory of the worker is used up",
	"available: no work asks for it",
}

// String returns a description for operators, which is also the JSON value.
func (c Cause) String() string {
	if c >= numCauses {
		return "unknown"
	}
	return causeNames[c]
}

// MarshalText returns the description.
func (c Cause) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText is the inverse of MarshalText. It returns an error for an unknown description.
func (c *Cause) UnmarshalText(text []byte) error {
	i := slices.Index(causeNames[:], string(text))
	if i < 0 {
		return errors.Newf("place: unknown cause %q", text)
	}
	*c = Cause(i)
	return nil
}

// IdleAmount is an amount of idle capacity with its cause.
type IdleAmount struct {
	Cause  Cause     `json:"cause"`
	Amount Resources `json:"amount"`
}

// CapacityStats describes the capacity of a rack or of the whole cell.
type CapacityStats struct {
	// Rack is empty for the whole cell.
	Rack string `json:"rack,omitempty"`

	Workers  int `json:"workers"`
	Cordoned int `json:"cordoned"`
	// Overcommitted is the number of workers on which the grants exceed the capacity.
	Overcommitted int `json:"over"`

	Total   Resources `json:"total"`
	Granted Resources `json:"granted"`
	// Idle is the capacity that is not granted. A resource that is overcommitted counts as 0.
	Idle Resources `json:"idle"`
	// Stranded is the part of Idle that a task of the mean shape cannot use.
	Stranded Resources `json:"stranded"`
	// IdleCauses breaks Idle down by cause; the amounts add up to Idle.
	IdleCauses []IdleAmount `json:"reasons"`
}

// CapacityReport is the result of Capacity.
type CapacityReport struct {
	Sum CapacityStats `json:"sum"`
	// Racks is sorted by name.
	Racks []CapacityStats `json:"racks"`
	// Shape is the mean need of the running tasks. It determines which capacity is stranded.
	Shape Resources `json:"shape"`
}

// Capacity reports the granted and the idle capacity, and why capacity is idle. Idle capacity
// of a worker is stranded as far as its ratio of CPU to memory differs from that of the mean
// task: the surplus of one resource cannot be used for lack of the other.
func (c *Cell) Capacity() CapacityReport {
	rep := CapacityReport{Shape: c.shape()}
	sum := newCapacityStats("")
	perRack := make([]*CapacityStats, len(c.racks))
	for i := range c.workers {
		w := &c.workers[i]
		if !w.inUse {
			continue
		}
		if perRack[w.rack] == nil {
			perRack[w.rack] = newCapacityStats(c.racks[w.rack].name)
		}
		perRack[w.rack].addWorker(w, rep.Shape)
		sum.addWorker(w, rep.Shape)
	}
	rep.Sum = *sum
	for _, s := range perRack {
		if s != nil {
			rep.Racks = append(rep.Racks, *s)
		}
	}
	slices.SortFunc(rep.Racks, func(a, b CapacityStats) int { return cmp.Compare(a.Rack, b.Rack) })
	return rep
}

// WorkerState is the state of one worker.
type WorkerState struct {
	Worker
	Cordoned bool      `json:"cordoned"`
	Granted  Resources `json:"granted"`
	// Held is the capacity held for the reservation, in addition to Granted.
	Held Resources `json:"held"`
	// Tasks has the sorted ids of the running tasks.
	Tasks []string `json:"tasks"`
}

// WorkerState returns the state of a worker and whether the worker is known.
func (c *Cell) WorkerState(name string) (WorkerState, bool) {
	i, ok := c.byName[name]
	if !ok {
		return WorkerState{}, false
	}
	w := &c.workers[i]
	out := WorkerState{
		Worker:   Worker{Name: name, Rack: c.racks[w.rack].name, Capacity: w.capacity},
		Cordoned: w.cordoned, Granted: w.capacity.Sub(w.free), Held: w.held,
	}
	for t := w.firstTask; t != none; t = c.tasks[t].nextOnWorker {
		out.Tasks = append(out.Tasks, c.tasks[t].ID)
	}
	slices.Sort(out.Tasks)
	return out, true
}

// Task returns a running task with its current need, and the name of its worker.
func (c *Cell) Task(id string) (t Task, worker string, ok bool) {
	i, ok := c.byID[id]
	if !ok {
		return Task{}, "", false
	}
	return c.tasks[i].Task, c.workers[c.tasks[i].worker].name, true
}

func newCapacityStats(name string) *CapacityStats {
	s := &CapacityStats{Rack: name, IdleCauses: make([]IdleAmount, numCauses)}
	for i := range s.IdleCauses {
		s.IdleCauses[i].Cause = Cause(i)
	}
	return s
}

// shape returns the mean need of the running tasks, or zero if there are none.
func (c *Cell) shape() Resources {
	var sum Resources
	for i := range c.workers {
		if c.workers[i].inUse {
			sum = sum.Add(c.workers[i].capacity.Sub(c.workers[i].free))
		}
	}
	n := int64(max(len(c.byID), 1))
	return Resources{sum.CPUMillis / n, sum.MemoryMB / n, sum.Accelerators / n}
}

func (s *CapacityStats) addWorker(w *worker, shape Resources) {
	s.Workers++
	s.Total = s.Total.Add(w.capacity)
	s.Granted = s.Granted.Add(w.capacity.Sub(w.free))
	if w.free.negative() {
		s.Overcommitted++
	}
	idle := w.free.positive()
	s.Idle = s.Idle.Add(idle)
	if w.cordoned {
		s.Cordoned++
		s.add(Cordoned, idle)
		return
	}
	if w.reserved {
		held := w.held.Min(idle)
		s.add(HeldForReservation, held)
		idle = idle.Sub(held)
	}
	cause, part := stranded(idle, shape)
	s.add(cause, part)
	s.Stranded = s.Stranded.Add(part)
	s.add(Available, idle.Sub(part))
}

func (s *CapacityStats) add(cause Cause, amount Resources) {
	s.IdleCauses[cause].Amount = s.IdleCauses[cause].Amount.Add(amount)
}

// stranded returns the part of idle that tasks of this shape cannot use, and the cause.
// Accelerators are stranded when there is not enough CPU or memory for one such task.
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
		return CPUExhausted, part
	}
	return MemoryExhausted, part
}
