package place

import (
	"cmp"
	"slices"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Throttle limits the CPU usage of a task to Action.CPUMillis.
	Throttle ActionKind = iota
	// Checkpoint saves the work of a task; it precedes the Stop of the same task.
	Checkpoint
	// Stop ends a task.
	Stop
)

var actionNames = [...]string{"throttle", "checkpoint", "stop"}

// String returns the name that is used in events.
func (k ActionKind) String() string {
	if int(k) >= len(actionNames) {
		return "unknown"
	}
	return actionNames[k]
}

// Action is one step to relieve an overloaded worker.
type Action struct {
	Kind ActionKind
	Task string
	// CPUMillis is the new limit when Kind is Throttle.
	CPUMillis int64
}

// Usage is the measured resource usage of a running task.
type Usage struct {
	Task string
	Used Resources
}

const (
	defaultThrottleFloor = 0.1
	// minThrottleMillis is the lowest CPU limit, in millicores.
	minThrottleMillis = 10
)

// taskUsage is a task on an overloaded worker with its usage and its rank among the tasks.
type taskUsage struct {
	task     *task
	used     Resources
	stage    int
	lostWork float64
}

// stageOf returns the stage in which a task is acted on: deferrable batch and gang tasks
// first, then normal ones, then deferrable and normal services, and urgent work last.
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

// OverloadActions returns the ordered actions that reduce the measured usage of a worker to
// the sum of its grants, or to its capacity with BurstToCapacity.
//
// Deferrable tasks are throttled first, then checkpointed and stopped; normal tasks, services
// and urgent work follow in the same way. Throttling reduces only CPU usage; memory is freed
// by stopping tasks. Within a stage the tasks that exceed their own grant come first, then
// those that lose the least work. A task without a measurement counts with its grant;
// measurements of tasks that do not run on the worker are ignored.
func (c *Cell) OverloadActions(now time.Time, name string, measured []Usage) []Action {
	w, ok := c.byName[name]
	if !ok {
		return nil
	}
	usages, excess := c.excess(now, w, measured)
	var out []Action
	for first := 0; first < len(usages); {
		last := first
		for last < len(usages) && usages[last].stage == usages[first].stage {
			last++
		}
		if excess.CPUMillis <= 0 && excess.MemoryMB <= 0 {
			break
		}
		group := usages[first:last]
		out = c.throttle(out, group, &excess)
		out = stop(out, group, &excess)
		first = last
	}
	return out
}

// excess returns the tasks of the worker in the order of the actions, and the usage above the
// limit of the worker.
func (c *Cell) excess(now time.Time, w int32, measured []Usage) ([]taskUsage, Resources) {
	wk := &c.workers[w]
	used := make(map[string]Resources, len(measured))
	for _, m := range measured {
		used[m.Task] = m.Used
	}
	var usages []taskUsage
	var total Resources
	for i := wk.firstTask; i != none; i = c.tasks[i].nextOnWorker {
		t := &c.tasks[i]
		u, ok := used[t.ID]
		if !ok {
			u = t.Need
		}
		total = total.Add(u)
		usages = append(usages, taskUsage{t, u, stageOf(&t.Task), c.lostWorkOf(now, t)})
	}
	slices.SortFunc(usages, func(a, b taskUsage) int {
		return cmp.Or(cmp.Compare(a.stage, b.stage), cmp.Compare(withinGrant(a), withinGrant(b)),
			cmp.Compare(a.lostWork, b.lostWork), cmp.Compare(a.task.ID, b.task.ID))
	})
	limit := wk.capacity.Sub(wk.free)
	if c.BurstToCapacity {
		limit = wk.capacity
	}
	return usages, total.Sub(limit)
}

// withinGrant returns 0 for a task that exceeds its grant and 1 otherwise.
func withinGrant(u taskUsage) int {
	if u.used.Fits(u.task.Need) {
		return 1
	}
	return 0
}

// throttle limits the tasks of a group until no CPU excess is left.
func (c *Cell) throttle(out []Action, group []taskUsage, excess *Resources) []Action {
	floor := c.ThrottleFloor
	if floor <= 0 {
		floor = defaultThrottleFloor
	}
	for i := range group {
		if excess.CPUMillis <= 0 {
			return out
		}
		u := &group[i]
		minLimit := max(int64(floor*float64(u.task.Need.CPUMillis)), minThrottleMillis)
		limit := max(u.used.CPUMillis-excess.CPUMillis, minLimit)
		if limit >= u.used.CPUMillis {
			continue
		}
		excess.CPUMillis -= u.used.CPUMillis - limit
		u.used.CPUMillis = limit
		out = append(out, Action{Throttle, u.task.ID, limit})
	}
	return out
}

// stop checkpoints and stops the tasks of a group that use a resource with an excess.
func stop(out []Action, group []taskUsage, excess *Resources) []Action {
	for i := range group {
		u := &group[i]
		cpu := excess.CPUMillis > 0 && u.used.CPUMillis > 0
		mem := excess.MemoryMB > 0 && u.used.MemoryMB > 0
		if !cpu && !mem {
			continue
		}
		*excess = excess.Sub(u.used)
		out = append(out, Action{Kind: Checkpoint, Task: u.task.ID}, Action{Kind: Stop, Task: u.task.ID})
	}
	return out
}
