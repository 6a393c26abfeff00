package place

import "github.com/cockroachdb/errors"

// ErrInconsistent means that the sums of a cell do not match; it is a fault of this package.
var ErrInconsistent = errors.New("place: inconsistent cell")

// Check verifies that the grants of every worker add up and exceed no capacity, that the
// index matches, and that backfill left the held capacity alone. It returns ErrInconsistent
// or, after Adopt or a smaller SetWorker, ErrOverCapacity. Its cost grows with the cell.
func (c *Cell) Check() error {
	tasks := 0
	var total, granted Resources
	for i := range c.workers {
		w := &c.workers[i]
		if !w.used {
			continue
		}
		n, err := c.checkWorker(int32(i), w)
		if err != nil {
			return err
		}
		tasks += n
		total = total.Add(w.capacity)
		granted = granted.Add(w.capacity.Sub(w.free))
	}
	if total != c.total || granted != c.granted {
		return errors.Wrapf(ErrInconsistent, "sums %+v and %+v, want %+v and %+v", c.total, c.granted, total, granted)
	}
	if tasks != len(c.byID) {
		return errors.Wrapf(ErrInconsistent, "%d tasks on workers, %d known", tasks, len(c.byID))
	}
	if err := c.checkJobs(); err != nil {
		return err
	}
	return c.checkCapacity()
}

func (c *Cell) checkWorker(i int32, w *worker) (int, error) {
	n := 0
	var sum, ending Resources
	for t := w.first; t != none; t = c.tasks[t].next {
		if c.tasks[t].worker != i || c.byID[c.tasks[t].ID] != t {
			return 0, errors.Wrapf(ErrInconsistent, "task %q on worker %q", c.tasks[t].ID, w.name)
		}
		sum = sum.Add(c.tasks[t].Need)
		if c.tasks[t].ends {
			ending = ending.Add(c.tasks[t].Need)
		}
		n++
	}
	if sum.Add(w.free) != w.capacity {
		return 0, errors.Wrapf(ErrInconsistent, "worker %q: granted %+v, free %+v, capacity %+v", w.name, sum, w.free, w.capacity)
	}
	if w.reserved && w.after != w.free.Add(ending) {
		return 0, errors.Wrapf(ErrInconsistent, "worker %q: free at the reserved start", w.name)
	}
	lv, slot := c.grid.slotOf(w.free)
	if w.cordoned != (w.slot == none) || !w.cordoned && (lv != w.level || slot != w.slot) {
		return 0, errors.Wrapf(ErrInconsistent, "worker %q: index", w.name)
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
			return errors.Wrapf(ErrInconsistent, "job %q: %d by rack, %d in all", name, n, c.jobs[j].count)
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
