package place

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// none is the nil value of the indexes into the slabs and ends the linked lists.
const none = int32(-1)

var (
	// ErrUnknownWorker means that the cell has no worker of that name.
	ErrUnknownWorker = errors.New("place: unknown worker")
	// ErrOverCapacity means that the resources granted on a worker exceed its capacity.
	ErrOverCapacity = errors.New("place: grants exceed the capacity")
	// ErrOnOtherWorker means that the task is already placed on another worker.
	ErrOnOtherWorker = errors.New("place: task is held by another worker")
	// ErrInvalid means that a task has no id, or a need that is negative or above the limits.
	ErrInvalid = errors.New("place: invalid task")
)

// Cell tracks the workers of one failure domain and the resources granted on them. The zero
// value is ready to use. Set the exported fields before the first call. A Cell is not safe
// for concurrent use.
type Cell struct {
	// DefaultRunTime is the run time that Reserve assumes for tasks without one; 0 means 1 h.
	DefaultRunTime time.Duration

	// ThrottleFloor is the lowest CPU limit that OverloadActions sets for a task, as a fraction
	// of its grant; 0 means 0.1.
	ThrottleFloor float64

	// BurstToCapacity lets tasks exceed their grants while the worker has spare capacity.
	BurstToCapacity bool

	// workers, tasks and jobs are slabs; the free lists have the indexes of unused elements.
	workers     []worker
	freeWorkers []int32
	byName      map[string]int32

	tasks     []task
	freeTasks []int32
	byID      map[string]int32

	jobs     []job
	freeJobs []int32
	byJob    map[string]int32

	racks  []rack
	byRack map[string]int32
	// usedRacks is the number of racks with at least one worker.
	usedRacks int32

	grid        capacityGrid
	reservation *reservationPlan
	failed      failedNeeds

	// preemptCalls counts the calls of Preempt; it invalidates job.lostWork.
	preemptCalls uint64
	// victimBuf holds scratch buffers of Preempt.
	victimBuf [2][]victim

	// schedulable is the number of workers that are not cordoned.
	schedulable int
	// total and granted are sums over all workers.
	total   Resources
	granted Resources
	// typical is the sum over all workers of the capacity up to grid.reference.
	typical Resources
}

// worker is an element of the slab Cell.workers. Other structures refer to it by its index.
type worker struct {
	free Resources
	// level and bucket are the position in the grid; bucket is none while the worker is not in
	// the grid.
	nextInBucket int32
	prevInBucket int32
	bucket       int32
	level        int32
	rack         int32
	firstTask    int32
	// held is the capacity held for the reservation.
	held Resources
	// freeAtStart is the free capacity expected at the start of the reservation; valid while
	// reserved is set.
	freeAtStart Resources
	reserved    bool
	inUse       bool
	cordoned    bool
	capacity    Resources
	name        string
}

// task is an element of the slab Cell.tasks. Other structures refer to it by its index.
type task struct {
	Task
	worker                     int32
	nextOnWorker, prevOnWorker int32
	job                        int32
	nextInJob                  int32
	prevInJob                  int32
	// endsByStart is set when the task is expected to have ended, or is going to be stopped, by
	// the start of the reservation.
	endsByStart bool
	// stopAtStart is set when the task has to be stopped at the start of the reservation.
	stopAtStart bool
}

// job counts the tasks of a service or gang job.
type job struct {
	name      string
	firstTask int32
	count     int32
	perRack   []int32
	// lostWork is the work lost by stopping the job, cached during the Preempt call with the
	// number lostWorkCall.
	lostWork     float64
	lostWorkCall uint64
}

type rack struct {
	name    string
	workers int32
}

func (c *Cell) prepare() {
	if c.byName != nil {
		return
	}
	c.byName = make(map[string]int32)
	c.byID = make(map[string]int32)
	c.byJob = make(map[string]int32)
	c.byRack = make(map[string]int32)
}

// SetWorker adds a worker or updates the capacity and rack of an existing one, which keeps
// its tasks. A capacity outside of 0 to the limits (MaxCPUMillis, MaxMemoryMB, MaxAccelerators)
// counts as the nearest of them, so that no sum over the workers overflows.
func (c *Cell) SetWorker(w Worker) {
	c.prepare()
	w.Capacity = w.Capacity.positive().Min(maxCapacity)
	c.failed.clear()
	i, known := c.byName[w.Name]
	if known {
		c.updateWorker(i, w)
		return
	}
	i = c.newWorker()
	c.byName[w.Name] = i
	c.workers[i] = worker{
		name: w.Name, capacity: w.Capacity, free: w.Capacity,
		rack: c.rackOf(w.Rack), firstTask: none, bucket: none, inUse: true,
	}
	c.countRack(c.workers[i].rack, 1)
	c.schedulable++
	c.addTotal(Resources{}, w.Capacity)
	c.resizeGrid(w.Capacity)
	c.link(i)
}

// addTotal updates the sums of the capacities for a worker whose capacity changes.
func (c *Cell) addTotal(from, to Resources) {
	c.total = c.total.Add(to.Sub(from))
	c.typical = c.typical.Add(to.Min(c.grid.reference).Sub(from.Min(c.grid.reference)))
}

func (c *Cell) updateWorker(i int32, w Worker) {
	c.unlink(i)
	wk := &c.workers[i]
	delta := w.Capacity.Sub(wk.capacity)
	c.addTotal(wk.capacity, w.Capacity)
	wk.free = wk.free.Add(delta)
	wk.freeAtStart = wk.freeAtStart.Add(delta)
	wk.capacity = w.Capacity
	if rk := c.rackOf(w.Rack); rk != wk.rack {
		c.moveRack(i, rk)
	}
	c.resizeGrid(w.Capacity)
	c.link(i)
}

// moveRack moves the worker, along with the replica counts of its tasks, to another rack.
func (c *Cell) moveRack(i, to int32) {
	wk := &c.workers[i]
	for t := wk.firstTask; t != none; t = c.tasks[t].nextOnWorker {
		if j := c.tasks[t].job; j != none {
			c.jobs[j].perRack[wk.rack]--
			c.jobs[j].perRack[to]++
		}
	}
	c.countRack(wk.rack, -1)
	c.countRack(to, 1)
	wk.rack = to
}

// RemoveWorker removes the worker and its tasks and returns the sorted ids of these tasks.
// It cancels a reservation that held the worker; the caller then calls Reserve again.
func (c *Cell) RemoveWorker(name string) []string {
	i, ok := c.byName[name]
	if !ok {
		return nil
	}
	var ids []string
	for c.workers[i].firstTask != none {
		t := c.workers[i].firstTask
		ids = append(ids, c.tasks[t].ID)
		c.revoke(t)
	}
	slices.Sort(ids)
	if c.workers[i].reserved {
		c.dropReservation()
	}
	if !c.workers[i].cordoned {
		c.schedulable--
	}
	c.unlink(i)
	c.addTotal(c.workers[i].capacity, Resources{})
	c.countRack(c.workers[i].rack, -1)
	delete(c.byName, name)
	c.workers[i] = worker{bucket: none, firstTask: none}
	c.freeWorkers = append(c.freeWorkers, i)
	c.resizeGrid(Resources{})
	return ids
}

// Cordon disables new placements on the worker, or enables them again. Running tasks stay.
func (c *Cell) Cordon(name string, on bool) {
	i, ok := c.byName[name]
	if !ok || c.workers[i].cordoned == on {
		return
	}
	c.failed.clear()
	c.unlink(i)
	c.workers[i].cordoned = on
	if on {
		c.schedulable--
	} else {
		c.schedulable++
	}
	c.link(i)
}

// Adopt accounts for a task that already runs on the worker, for recovery. A task that
// exceeds the capacity is accounted for as well, and ErrOverCapacity is returned. After
// ErrUnknownWorker, ErrOnOtherWorker and ErrInvalid the cell is unchanged.
func (c *Cell) Adopt(t Task, name string) error {
	if t.ID == "" || !t.Need.valid() {
		return errors.Wrapf(ErrInvalid, "task %q", t.ID)
	}
	w, ok := c.byName[name]
	if !ok {
		return errors.Wrapf(ErrUnknownWorker, "worker %q", name)
	}
	if old, held := c.byID[t.ID]; held {
		if c.tasks[old].worker != w {
			return errors.Wrapf(ErrOnOtherWorker, "task %q on %q", t.ID, c.workers[c.tasks[old].worker].name)
		}
		c.revoke(old)
	}
	c.grant(w, &t)
	if c.workers[w].free.negative() {
		return errors.Wrapf(ErrOverCapacity, "worker %q after adopting task %q", name, t.ID)
	}
	return nil
}

// Release frees the resources of a task and reports whether the task was known.
func (c *Cell) Release(id string) bool {
	t, ok := c.byID[id]
	if !ok {
		return false
	}
	c.revoke(t)
	return true
}

// Resize changes the grant of a running task. It returns false and changes nothing when the
// task is unknown, the need is negative or the growth does not fit on its worker.
func (c *Cell) Resize(id string, need Resources) bool {
	i, ok := c.byID[id]
	if !ok || need.negative() {
		return false
	}
	t := &c.tasks[i]
	w := &c.workers[t.worker]
	growth := need.Sub(t.Need)
	if !growth.positive().Fits(w.free.positive()) || !c.preservesHeld(w, t, growth) {
		return false
	}
	c.unlink(t.worker)
	w.free = w.free.Sub(growth)
	c.granted = c.granted.Add(growth)
	if !t.endsByStart {
		w.freeAtStart = w.freeAtStart.Sub(growth)
	}
	t.Need = need
	c.link(t.worker)
	c.failed.forgetFitting(w.free)
	return true
}

// RecordCheckpoint sets the time at which a running task last saved its work. It reports
// whether the task is known.
func (c *Cell) RecordCheckpoint(id string, at time.Time) bool {
	i, ok := c.byID[id]
	if ok {
		c.tasks[i].LastCheckpoint = at
	}
	return ok
}

// WorkerOf returns the name of the worker that runs the task.
func (c *Cell) WorkerOf(id string) (string, bool) {
	i, ok := c.byID[id]
	if !ok {
		return "", false
	}
	return c.workers[c.tasks[i].worker].name, true
}

// Len returns the numbers of tasks and workers.
func (c *Cell) Len() (tasks, workers int) {
	return len(c.byID), len(c.byName)
}

// grant adds t to worker w and deducts its need from the free capacity.
func (c *Cell) grant(w int32, t *Task) {
	i := c.newTask()
	c.byID[t.ID] = i
	added := &c.tasks[i]
	*added = task{Task: *t, worker: w, job: none, nextOnWorker: none, prevOnWorker: none, nextInJob: none, prevInJob: none}
	wk := &c.workers[w]
	added.nextOnWorker = wk.firstTask
	if wk.firstTask != none {
		c.tasks[wk.firstTask].prevOnWorker = i
	}
	wk.firstTask = i
	c.joinJob(i)
	wk.free = wk.free.Sub(t.Need)
	c.granted = c.granted.Add(t.Need)
	c.accountAtStart(wk, added)
	c.relink(w)
}

// revoke is the inverse of grant.
func (c *Cell) revoke(i int32) {
	t := &c.tasks[i]
	w := t.worker
	wk := &c.workers[w]
	if t.prevOnWorker != none {
		c.tasks[t.prevOnWorker].nextOnWorker = t.nextOnWorker
	} else {
		wk.firstTask = t.nextOnWorker
	}
	if t.nextOnWorker != none {
		c.tasks[t.nextOnWorker].prevOnWorker = t.prevOnWorker
	}
	c.leaveJob(i)
	wk.free = wk.free.Add(t.Need)
	c.granted = c.granted.Sub(t.Need)
	if !t.endsByStart {
		wk.freeAtStart = wk.freeAtStart.Add(t.Need)
	}
	delete(c.byID, t.ID)
	c.tasks[i] = task{}
	c.freeTasks = append(c.freeTasks, i)
	c.relink(w)
	if !wk.cordoned {
		c.failed.forgetFitting(wk.free)
	}
}

// joinJob adds a service or gang task to its job. Batch tasks are not tracked by job.
func (c *Cell) joinJob(i int32) {
	t := &c.tasks[i]
	if t.Kind == Batch {
		return
	}
	j, ok := c.byJob[t.Job]
	if !ok {
		j = c.newJob()
		c.jobs[j].name = t.Job
		c.byJob[t.Job] = j
	}
	jb := &c.jobs[j]
	for len(jb.perRack) < len(c.racks) {
		jb.perRack = append(jb.perRack, 0)
	}
	jb.perRack[c.workers[t.worker].rack]++
	jb.count++
	t.job = j
	t.nextInJob = jb.firstTask
	if jb.firstTask != none {
		c.tasks[jb.firstTask].prevInJob = i
	}
	jb.firstTask = i
}

func (c *Cell) leaveJob(i int32) {
	t := &c.tasks[i]
	if t.job == none {
		return
	}
	jb := &c.jobs[t.job]
	if t.prevInJob != none {
		c.tasks[t.prevInJob].nextInJob = t.nextInJob
	} else {
		jb.firstTask = t.nextInJob
	}
	if t.nextInJob != none {
		c.tasks[t.nextInJob].prevInJob = t.prevInJob
	}
	jb.perRack[c.workers[t.worker].rack]--
	jb.count--
	if jb.count == 0 {
		delete(c.byJob, jb.name)
		jb.name = ""
		c.freeJobs = append(c.freeJobs, t.job)
	}
}

func (c *Cell) newWorker() int32 {
	if n := len(c.freeWorkers); n > 0 {
		i := c.freeWorkers[n-1]
		c.freeWorkers = c.freeWorkers[:n-1]
		return i
	}
	c.workers = append(c.workers, worker{})
	return int32(len(c.workers) - 1)
}

func (c *Cell) newTask() int32 {
	if n := len(c.freeTasks); n > 0 {
		i := c.freeTasks[n-1]
		c.freeTasks = c.freeTasks[:n-1]
		return i
	}
	c.tasks = append(c.tasks, task{})
	return int32(len(c.tasks) - 1)
}

func (c *Cell) newJob() int32 {
	if n := len(c.freeJobs); n > 0 {
		i := c.freeJobs[n-1]
		c.freeJobs = c.freeJobs[:n-1]
		c.jobs[i].firstTask = none
		return i
	}
	c.jobs = append(c.jobs, job{firstTask: none})
	return int32(len(c.jobs) - 1)
}

func (c *Cell) rackOf(name string) int32 {
	if i, ok := c.byRack[name]; ok {
		return i
	}
	c.racks = append(c.racks, rack{name: name})
	i := int32(len(c.racks) - 1)
	c.byRack[name] = i
	for j := range c.jobs {
		c.jobs[j].perRack = append(c.jobs[j].perRack, 0)
	}
	return i
}

// countRack adds delta, 1 or -1, to the number of workers of a rack and updates usedRacks.
func (c *Cell) countRack(i, delta int32) {
	r := &c.racks[i]
	if r.workers == 0 {
		c.usedRacks++
	}
	r.workers += delta
	if r.workers == 0 {
		c.usedRacks--
	}
}
