package place

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// none marks the end of a list of indexes and an absent index.
const none = int32(-1)

var (
	// ErrUnknownWorker means that the cell has no worker of that name.
	ErrUnknownWorker = errors.New("place: unknown worker")
	// ErrOverCapacity means that the grants on a worker exceed its capacity.
	ErrOverCapacity = errors.New("place: grants exceed the capacity")
	// ErrOnOtherWorker means that the task is already held by another worker.
	ErrOnOtherWorker = errors.New("place: task is held by another worker")
	// ErrInvalid means that a task has no id or a negative need.
	ErrInvalid = errors.New("place: invalid task")
)

// Cell holds the workers of one failure domain and what was granted on them.
// The zero value is ready; one goroutine owns it. Set the fields before the first call.
type Cell struct {
	// DefaultRunTime is assumed by Reserve for tasks without a run time; 0 means 1 h.
	DefaultRunTime time.Duration

	// ThrottleFloor is the lowest processor share that OverloadActions throttles a task to,
	// as a fraction of its grant; 0 means 0.1.
	ThrottleFloor float64

	// BurstToCapacity lets tasks use more than their grants as long as the worker has capacity left.
	BurstToCapacity bool

	workers    []worker
	freeWorker []int32
	byName     map[string]int32

	tasks    []task
	freeTask []int32
	byID     map[string]int32

	jobs    []job
	freeJob []int32
	byJob   map[string]int32

	racks  []rack
	byRack map[string]int32
	// inRacks is the number of racks that have a worker.
	inRacks int32

	grid  index
	res   *reservation
	fails failures

	// preempts counts the calls of Preempt.
	preempts uint64
	// victimBuf has the scratch lists of Preempt.
	victimBuf [2][]victim

	// open is the number of workers that are not cordoned.
	open int
	// total and granted are sums over all workers.
	total   Resources
	granted Resources
}

// worker is one slot of the worker slab.
type worker struct {
	free  Resources
	next  int32
	prev  int32
	slot  int32
	level int32
	rack  int32
	first int32
	held  Resources
	// after is the free capacity at the start of the reservation; valid while held is set.
	after    Resources
	reserved bool
	used     bool
	cordoned bool
	capacity Resources
	name     string
}

// task is one slot of the task slab.
type task struct {
	Task
	worker     int32
	next, prev int32
	job        int32
	jobNext    int32
	jobPrev    int32
	// ends is set when the task is expected to end, or is stopped, by the start of the reservation.
	ends bool
	// backfill is set when the task has to be stopped at the start of the reservation.
	backfill bool
}

// job counts the tasks of a service or all-at-once job.
type job struct {
	name    string
	first   int32
	count   int32
	perRack []int32
	// lost is the work lost by stopping the job, computed in the call lostIn of Preempt.
	lost   float64
	lostIn uint64
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

// SetWorker adds a worker, or updates the capacity and rack of a known one and keeps its tasks.
func (c *Cell) SetWorker(w Worker) {
	c.prepare()
	w.Capacity = w.Capacity.positive()
	c.fails.clear()
	i, known := c.byName[w.Name]
	if known {
		c.updateWorker(i, w)
		return
	}
	i = c.newWorker()
	c.byName[w.Name] = i
	c.workers[i] = worker{
		name: w.Name, capacity: w.Capacity, free: w.Capacity,
		rack: c.rackOf(w.Rack), first: none, slot: none, used: true,
	}
	c.countRack(c.workers[i].rack, 1)
	c.open++
	c.total = c.total.Add(w.Capacity)
	c.fitGrid(w.Capacity)
	c.link(i)
}

func (c *Cell) updateWorker(i int32, w Worker) {
	c.unlink(i)
	wk := &c.workers[i]
	change := w.Capacity.Sub(wk.capacity)
	wk.free = wk.free.Add(change)
	wk.after = wk.after.Add(change)
	wk.capacity = w.Capacity
	c.total = c.total.Add(change)
	if rk := c.rackOf(w.Rack); rk != wk.rack {
		c.moveRack(i, rk)
	}
	c.fitGrid(w.Capacity)
	c.link(i)
}

// moveRack moves the worker and the replica counts of its service tasks to another rack.
func (c *Cell) moveRack(i, to int32) {
	wk := &c.workers[i]
	for t := wk.first; t != none; t = c.tasks[t].next {
		if j := c.tasks[t].job; j != none {
			c.jobs[j].perRack[wk.rack]--
			c.jobs[j].perRack[to]++
		}
	}
	c.countRack(wk.rack, -1)
	c.countRack(to, 1)
	wk.rack = to
}

// RemoveWorker forgets the worker and its tasks and returns the ids of these tasks, sorted.
// A reservation that held the worker is dropped; the owner of the job calls Reserve again.
func (c *Cell) RemoveWorker(name string) []string {
	i, ok := c.byName[name]
	if !ok {
		return nil
	}
	var ids []string
	for c.workers[i].first != none {
		t := c.workers[i].first
		ids = append(ids, c.tasks[t].ID)
		c.drop(t)
	}
	slices.Sort(ids)
	if c.workers[i].reserved {
		c.dropReservation()
	}
	if !c.workers[i].cordoned {
		c.open--
	}
	c.unlink(i)
	c.total = c.total.Sub(c.workers[i].capacity)
	c.countRack(c.workers[i].rack, -1)
	delete(c.byName, name)
	c.workers[i] = worker{slot: none, first: none}
	c.freeWorker = append(c.freeWorker, i)
	return ids
}

// Cordon stops or resumes new placements on the worker; running tasks stay.
func (c *Cell) Cordon(name string, on bool) {
	i, ok := c.byName[name]
	if !ok || c.workers[i].cordoned == on {
		return
	}
	c.fails.clear()
	c.unlink(i)
	c.workers[i].cordoned = on
	if on {
		c.open--
	} else {
		c.open++
	}
	c.link(i)
}

// Adopt counts a task that already runs on the worker, as recovery needs it.
// A task that exceeds the capacity is counted all the same and reported as ErrOverCapacity.
// ErrUnknownWorker, ErrOnOtherWorker and ErrInvalid mean that it was not counted.
func (c *Cell) Adopt(t Task, name string) error {
	if t.ID == "" || t.Need.negative() {
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
		c.drop(old)
	}
	c.grant(w, &t)
	if c.workers[w].free.negative() {
		return errors.Wrapf(ErrOverCapacity, "worker %q after adopting task %q", name, t.ID)
	}
	return nil
}

// Release returns what the task was granted and reports whether the task was known.
func (c *Cell) Release(id string) bool {
	t, ok := c.byID[id]
	if !ok {
		return false
	}
	c.drop(t)
	return true
}

// Resize changes what a running task is granted. It reports false, and changes nothing,
// when the task is unknown, the need is negative or the growth does not fit on its worker.
func (c *Cell) Resize(id string, need Resources) bool {
	i, ok := c.byID[id]
	if !ok || need.negative() {
		return false
	}
	t := &c.tasks[i]
	w := &c.workers[t.worker]
	growth := need.Sub(t.Need)
	if !growth.positive().Fits(w.free.positive()) || !c.roomAfter(w, t, growth) {
		return false
	}
	c.unlink(t.worker)
	w.free = w.free.Sub(growth)
	c.granted = c.granted.Add(growth)
	if !t.ends {
		w.after = w.after.Sub(growth)
	}
	t.Need = need
	c.link(t.worker)
	c.fails.freed(w.free)
	return true
}

// RecordCheckpoint records when a running task last saved its work.
func (c *Cell) RecordCheckpoint(id string, at time.Time) bool {
	i, ok := c.byID[id]
	if ok {
		c.tasks[i].LastCheckpoint = at
	}
	return ok
}

// WorkerOf returns the worker that holds the task.
func (c *Cell) WorkerOf(id string) (string, bool) {
	i, ok := c.byID[id]
	if !ok {
		return "", false
	}
	return c.workers[c.tasks[i].worker].name, true
}

// Len returns the number of tasks and of workers.
func (c *Cell) Len() (tasks, workers int) {
	return len(c.byID), len(c.byName)
}

// grant moves the need of t from the free capacity of w to the task.
func (c *Cell) grant(w int32, t *Task) {
	i := c.newTask()
	c.byID[t.ID] = i
	slot := &c.tasks[i]
	*slot = task{Task: *t, worker: w, job: none, next: none, prev: none, jobNext: none, jobPrev: none}
	wk := &c.workers[w]
	slot.next = wk.first
	if wk.first != none {
		c.tasks[wk.first].prev = i
	}
	wk.first = i
	c.joinJob(i)
	wk.free = wk.free.Sub(t.Need)
	c.granted = c.granted.Add(t.Need)
	c.holdAfter(wk, slot)
	c.relink(w)
}

// drop is the inverse of grant.
func (c *Cell) drop(i int32) {
	t := &c.tasks[i]
	w := t.worker
	wk := &c.workers[w]
	if t.prev != none {
		c.tasks[t.prev].next = t.next
	} else {
		wk.first = t.next
	}
	if t.next != none {
		c.tasks[t.next].prev = t.prev
	}
	c.leaveJob(i)
	wk.free = wk.free.Add(t.Need)
	c.granted = c.granted.Sub(t.Need)
	if !t.ends {
		wk.after = wk.after.Add(t.Need)
	}
	delete(c.byID, t.ID)
	c.tasks[i] = task{}
	c.freeTask = append(c.freeTask, i)
	c.relink(w)
	if !wk.cordoned {
		c.fails.freed(wk.free)
	}
}

// joinJob counts a service or all-at-once task; batch tasks need no count.
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
	t.jobNext = jb.first
	if jb.first != none {
		c.tasks[jb.first].jobPrev = i
	}
	jb.first = i
}

func (c *Cell) leaveJob(i int32) {
	t := &c.tasks[i]
	if t.job == none {
		return
	}
	jb := &c.jobs[t.job]
	if t.jobPrev != none {
		c.tasks[t.jobPrev].jobNext = t.jobNext
	} else {
		jb.first = t.jobNext
	}
	if t.jobNext != none {
		c.tasks[t.jobNext].jobPrev = t.jobPrev
	}
	jb.perRack[c.workers[t.worker].rack]--
	jb.count--
	if jb.count == 0 {
		delete(c.byJob, jb.name)
		jb.name = ""
		c.freeJob = append(c.freeJob, t.job)
	}
}

func (c *Cell) newWorker() int32 {
	if n := len(c.freeWorker); n > 0 {
		i := c.freeWorker[n-1]
		c.freeWorker = c.freeWorker[:n-1]
		return i
	}
	c.workers = append(c.workers, worker{})
	return int32(len(c.workers) - 1)
}

func (c *Cell) newTask() int32 {
	if n := len(c.freeTask); n > 0 {
		i := c.freeTask[n-1]
		c.freeTask = c.freeTask[:n-1]
		return i
	}
	c.tasks = append(c.tasks, task{})
	return int32(len(c.tasks) - 1)
}

func (c *Cell) newJob() int32 {
	if n := len(c.freeJob); n > 0 {
		i := c.freeJob[n-1]
		c.freeJob = c.freeJob[:n-1]
		c.jobs[i].first = none
		return i
	}
	c.jobs = append(c.jobs, job{first: none})
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

// countRack adds change, 1 or -1, to the workers of a rack; inRacks counts the racks with workers.
func (c *Cell) countRack(i, change int32) {
	r := &c.racks[i]
	if r.workers == 0 {
		c.inRacks++
	}
	r.workers += change
	if r.workers == 0 {
		c.inRacks--
	}
}
