package place

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
)

// Cause is a reason why hardware is idle.
type Cause uint8

const (
	// Cordoned means that the worker accepts no new tasks.
	Cordoned Cause = iota
	// HeldForReservation means that the capacity waits for the start of a reservation.
	HeldForReservation
	// CPUExhausted means that no processors are left on the worker for the rest of it.
	CPUExhausted
	// MemoryExhausted means that no memory is left on the worker for the rest of it.
	MemoryExhausted
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

// MarshalText returns the phrase, for reports in JSON.
func (c Cause) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText sets the value from a phrase; a phrase that no cause has is an error.
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

// CapacityStats is the state of the capacity of one rack or of the whole cell.
type CapacityStats struct {
	// Rack is empty in the sum.
	Rack string `json:"rack,omitempty"`

	Workers  int `json:"workers"`
	Cordoned int `json:"cordoned"`
	// Overcommitted is the number of workers whose grants exceed their capacity.
	Overcommitted int `json:"over"`

	Total   Resources `json:"total"`
	Granted Resources `json:"granted"`
	// Idle is what is not granted; Idle of workers that are over their capacity counts as 0.
	Idle Resources `json:"idle"`
	// Stranded is the part of Idle that no task of the usual shape can use.
	Stranded Resources `json:"stranded"`
	// IdleCauses splits Idle by cause; the amounts add up to Idle.
	IdleCauses []IdleAmount `json:"reasons"`
}

// CapacityReport is the answer of Capacity.
type CapacityReport struct {
	Sum CapacityStats `json:"sum"`
	// Racks is sorted by name.
	Racks []CapacityStats `json:"racks"`
	// Shape is the mean need of the running tasks, by which stranded capacity is judged.
	Shape Resources `json:"shape"`
}

// Capacity reports what is granted and idle, and why hardware is idle. Idle capacity of a
// worker is stranded when the ratio of free processors to free memory differs from the mean
// need of the running tasks: the part beyond that ratio waits for a resource that is used up.
func (c *Cell) Capacity() CapacityReport {
	rep := CapacityReport{Shape: c.shape()}
	sum := newUsable("")
	perRack := make([]*CapacityStats, len(c.racks))
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
	slices.SortFunc(rep.Racks, func(a, b CapacityStats) int { return cmp.Compare(a.Rack, b.Rack) })
	return rep
}

// WorkerState is the state of one worker.
type WorkerState struct {
	Worker
	Cordoned bool      `json:"cordoned"`
	Granted  Resources `json:"granted"`
	// Held is what the reservation holds at its start, on top of Granted.
	Held Resources `json:"held"`
	// Tasks has the ids of the running tasks, sorted.
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
	for t := w.first; t != none; t = c.tasks[t].next {
		out.Tasks = append(out.Tasks, c.tasks[t].ID)
	}
	slices.Sort(out.Tasks)
	return out, true
}

// Task returns a running task as it was placed, adopted and resized, and its worker.
func (c *Cell) Task(id string) (t Task, worker string, ok bool) {
	i, ok := c.byID[id]
	if !ok {
		return Task{}, "", false
	}
	return c.tasks[i].Task, c.workers[c.tasks[i].worker].name, true
}

func newUsable(name string) *CapacityStats {
	u := &CapacityStats{Rack: name, IdleCauses: make([]IdleAmount, causes)}
	for i := range u.IdleCauses {
		u.IdleCauses[i].Cause = Cause(i)
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

func (u *CapacityStats) count(w *worker, shape Resources) {
	u.Workers++
	u.Total = u.Total.Add(w.capacity)
	u.Granted = u.Granted.Add(w.capacity.Sub(w.free))
	if w.free.negative() {
		u.Overcommitted++
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
		u.add(HeldForReservation, held)
		idle = idle.Sub(held)
	}
	cause, part := stranded(idle, shape)
	u.add(cause, part)
	u.Stranded = u.Stranded.Add(part)
	u.add(Available, idle.Sub(part))
}

func (u *CapacityStats) add(cause Cause, amount Resources) {
	u.IdleCauses[cause].Amount = u.IdleCauses[cause].Amount.Add(amount)
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
		return CPUExhausted, part
	}
	return MemoryExhausted, part
}
