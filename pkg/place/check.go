package place

import "github.com/cockroachdb/errors"

// ErrInconsistent means that the bookkeeping of a cell is inconsistent, a bug in this package.
var ErrInconsistent = errors.New("place: inconsistent cell")

// Check verifies the invariants of the cell: the grants of every worker add up and do not
// exceed its capacity, and the grid, the job counts and the capacity expected at the start of
// the reservation match the running tasks. It returns ErrInconsistent or, after Adopt or a
// SetWorker with a smaller capacity, ErrOverCapacity. It visits all workers and tasks.
func (c *Cell) Check() error {
	tasks := 0
	var total, granted, typical Resources
	for i := range c.workers {
		w := &c.workers[i]
		if !w.inUse {
			continue
		}
		n, err := c.checkWorker(int32(i), w)
		if err != nil {
			return err
		}
		tasks += n
		total = total.Add(w.capacity)
		granted = granted.Add(w.capacity.Sub(w.free))
		typical = typical.Add(w.capacity.Min(c.grid.reference))
	}
	if total != c.total || granted != c.granted {
		return errors.Wrapf(ErrInconsistent, "total capacity %+v and granted %+v, want %+v and %+v", c.total, c.granted, total, granted)
	}
	if typical != c.typical {
		return errors.Wrapf(ErrInconsistent, "capacity up to the reference %+v, want %+v", c.typical, typical)
	}
	if tasks != len(c.byID) {
		return errors.Wrapf(ErrInconsistent, "%d tasks on workers, %d tasks by id", tasks, len(c.byID))
	}
	if err := c.checkJobs(); err != nil {
		return err
	}
	return c.checkCapacity()
}

func (c *Cell) checkWorker(i int32, w *worker) (int, error) {
	n := 0
	var sum, ending Resources
	for t := w.firstTask; t != none; t = c.tasks[t].nextOnWorker {
		if c.tasks[t].worker != i || c.byID[c.tasks[t].ID] != t {
			return 0, errors.Wrapf(ErrInconsistent, "task %q is listed by worker %q but not recorded there", c.tasks[t].ID, w.name)
		}
		sum = sum.Add(c.tasks[t].Need)
		if c.tasks[t].endsByStart {
			ending = ending.Add(c.tasks[t].Need)
		}
		n++
	}
	if sum.Add(w.free) != w.capacity {
		return 0, errors.Wrapf(ErrInconsistent, "worker %q: granted %+v, free %+v, capacity %+v", w.name, sum, w.free, w.capacity)
	}
	if w.reserved && w.freeAtStart != w.free.Add(ending) {
		return 0, errors.Wrapf(ErrInconsistent, "worker %q: wrong free capacity at the start of the reservation", w.name)
	}
	lv, bucket := c.grid.locate(w.free)
	if w.cordoned != (w.bucket == none) || !w.cordoned && (lv != w.level || bucket != w.bucket) {
		return 0, errors.Wrapf(ErrInconsistent, "worker %q: wrong bucket in the grid", w.name)
	}
	return n, nil
}

func (c *Cell) checkJobs() error {
	for name, j := range c.byJob {
		var n int32
		for _, k := range c.jobs[j].perRack {
			n += k
		}
		if n != c.jobs[j].count || c.jobs[j].name != name {
			return errors.Wrapf(ErrInconsistent, "job %q: replica counts of the racks add up to %d, want %d", name, n, c.jobs[j].count)
		}
	}
	return nil
}

func (c *Cell) checkCapacity() error {
	for i := range c.workers {
		if c.workers[i].free.negative() {
			return errors.Wrapf(ErrOverCapacity, "worker %q: free %+v", c.workers[i].name, c.workers[i].free)
		}
	}
	return nil
}
