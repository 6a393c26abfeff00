package place

import (
	"cmp"
	"slices"
	"time"
)

// ActionKind is what to do to a task on an overloaded worker.
type ActionKind uint8

const (
	// Throttle limits the processor share of a task to Action.CPUMillis.
	Throttle ActionKind = iota
	// Checkpoint saves the work of a task; a Stop of the same task follows.
	Checkpoint
	// Stop ends a task.
	Stop
)

var actionNames = [...]string{"throttle", "checkpoint", "stop"}

// String returns the name used in events.
func (k ActionKind) String() string {
	if int(k) >= len(actionNames) {
		return "unknown"
	}
	return actionNames[k]
}

// Action is one step against the overload of a worker.
type Action struct {
	Kind ActionKind
	Task string
	// CPUMillis is the new limit when Kind is Throttle.
	CPUMillis int64
}

// Usage is what a running task was measured to use.
type Usage struct {
	Task string
	Used Resources
}

const (
	defaultThrottleFloor = 0.1
	// minThrottle is the lowest limit in thousandths of a core.
	minThrottle = 10
)

// hot is a task on an overloaded worker.
type hot struct {
	task  *task
	used  Resources
	stage int
	lost  float64
}

// stageOf orders the tasks: deferrable, normal, then services, urgent work last.
func stageOf(t *Task) int {
	switch {
	case t.Class == Urgent && t.Kind == Service:
		return 5
	case t.Class == Urgent:
		return 4
	case t.Kind == Service && t.Class == Normal:
		return 3
	case t.Kind == Service:
		return 2
	case t.Class == Normal:
		return 1
	}
	return 0
}

// OverloadActions returns the ordered actions that bring the measured usage of a worker back to
// the sum of its grants (to its capacity with BurstToCapacity): throttle deferrable tasks,
// checkpoint and stop deferrable tasks, throttle normal tasks, checkpoint and stop normal
// tasks; services and urgent work come last in the same way. Only processor use can be
// throttled; memory is won back by stopping. Within a group the tasks that exceed their own
// grant come first, then those that lose the least work. Tasks without a measurement are
// taken to use their grant; measurements of tasks that the worker does not hold are ignored.
func (c *Cell) OverloadActions(now time.Time, name string, measured []Usage) []Action {
	w, ok := c.byName[name]
	if !ok {
		return nil
	}
	hots, excess := c.excess(now, w, measured)
	var out []Action
	for first := 0; first < len(hots); {
		last := first
		for last < len(hots) && hots[last].stage == hots[first].stage {
			last++
		}
		if excess.CPUMillis <= 0 && excess.MemoryMB <= 0 {
			break
		}
		group := hots[first:last]
		out = c.throttle(out, group, &excess)
		out = stop(out, group, &excess)
		first = last
	}
	return out
}

// excess lists the tasks of the worker in the order of the actions, and what is used too much.
func (c *Cell) excess(now time.Time, w int32, measured []Usage) ([]hot, Resources) {
	wk := &c.workers[w]
	used := make(map[string]Resources, len(measured))
	for _, m := range measured {
		used[m.Task] = m.Used
	}
	var hots []hot
	var total Resources
	for i := wk.first; i != none; i = c.tasks[i].next {
		t := &c.tasks[i]
		u, ok := used[t.ID]
		if !ok {
			u = t.Need
		}
		total = total.Add(u)
		hots = append(hots, hot{t, u, stageOf(&t.Task), c.lostOne(now, t)})
	}
	slices.SortFunc(hots, func(a, b hot) int {
		return cmp.Or(cmp.Compare(a.stage, b.stage), cmp.Compare(within(a), within(b)),
			cmp.Compare(a.lost, b.lost), cmp.Compare(a.task.ID, b.task.ID))
	})
	limit := wk.capacity.Sub(wk.free)
	if c.BurstToCapacity {
		limit = wk.capacity
	}
	return hots, total.Sub(limit)
}

// within is 0 for a task above its grant and 1 for the others.
func within(h hot) int {
	if h.used.Fits(h.task.Need) {
		return 1
	}
	return 0
}

// throttle limits the tasks of a group as far as the processor excess needs it.
func (c *Cell) throttle(out []Action, group []hot, excess *Resources) []Action {
	floor := c.ThrottleFloor
	if floor <= 0 {
		floor = defaultThrottleFloor
	}
	for i := range group {
		if excess.CPUMillis <= 0 {
			return out
		}
		h := &group[i]
		low := max(int64(floor*float64(h.task.Need.CPUMillis)), minThrottle)
		limit := max(h.used.CPUMillis-excess.CPUMillis, low)
		if limit >= h.used.CPUMillis {
			continue
		}
		excess.CPUMillis -= h.used.CPUMillis - limit
		h.used.CPUMillis = limit
		out = append(out, Action{Throttle, h.task.ID, limit})
	}
	return out
}

// stop checkpoints and stops tasks of a group that use what is lacking.
func stop(out []Action, group []hot, excess *Resources) []Action {
	for i := range group {
		h := &group[i]
		cpu := excess.CPUMillis > 0 && h.used.CPUMillis > 0
		mem := excess.MemoryMB > 0 && h.used.MemoryMB > 0
		if !cpu && !mem {
			continue
		}
		*excess = excess.Sub(h.used)
		out = append(out, Action{Kind: Checkpoint, Task: h.task.ID}, Action{Kind: Stop, Task: h.task.ID})
	}
	return out
}
