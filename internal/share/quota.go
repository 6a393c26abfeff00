package share

import (
	"math"

	"github.com/daisyrack/daisyrack/pkg/place"
)

// Quota bounds what one team has running on all executors.
type Quota struct {
	// Limit is the most that may run; a field that is 0 has no limit.
	Limit place.Resources
	// Used is the need of the runs that may be running, and Runs their number.
	Used place.Resources
	Runs int
	// Assumed is the need of tasks that earlier owners may have running and that no executor has listed yet.
	Assumed place.Resources
}

// Count adds a run with the given need, or removes it if sign is -1.
func (q *Quota) Count(need place.Resources, sign int64) {
	q.Used = q.Used.Add(Times(need, sign))
	q.Runs += int(sign)
}

// Allows reports whether as many further tasks may start now. A single task that is larger than the whole quota may
// run while the team has nothing else running.
func (q *Quota) Allows(need place.Resources, tasks int) bool {
	if within(q.total().Add(Times(need, int64(tasks))), q.Limit) {
		return true
	}
	return tasks == 1 && q.idle() && !within(need, q.Limit)
}

// Room returns how many further tasks may start now, at most the given number.
func (q *Quota) Room(need place.Resources, most int) int {
	total := q.total()
	if !within(total, q.Limit) {
		return 0
	}
	if within(total.Add(Times(need, int64(most))), q.Limit) {
		return most
	}
	n := int64(most)
	for _, d := range [...][3]int64{
		{q.Limit.CPUMillis, total.CPUMillis, need.CPUMillis},
		{q.Limit.MemoryMB, total.MemoryMB, need.MemoryMB},
		{q.Limit.Accelerators, total.Accelerators, need.Accelerators},
	} {
		if limit, used, each := d[0], d[1], d[2]; limit > 0 && each > 0 {
			n = min(n, (limit-used)/each)
		}
	}
	if n == 0 && q.Allows(need, 1) {
		n = min(1, int64(most))
	}
	return int(n)
}

// EverAllows reports whether so many tasks may ever run at the same time.
func (q *Quota) EverAllows(need place.Resources, tasks int) bool {
	return tasks <= 1 || within(Times(need, int64(tasks)), q.Limit)
}

// Exceeded reports whether more runs than the quota allows, apart from a single run that is larger than all of it.
func (q *Quota) Exceeded() bool {
	return q.Runs > 1 && !within(q.Used, q.Limit)
}

// Unlimited reports whether the quota has no limit at all.
func (q *Quota) Unlimited() bool { return q.Limit == place.Resources{} }

func (q *Quota) total() place.Resources { return q.Used.Add(q.Assumed) }

func (q *Quota) idle() bool { return q.Runs == 0 && q.Assumed == place.Resources{} }

// within reports whether r is at most the limit in every dimension that has one.
func within(r, limit place.Resources) bool {
	return r.Fits(place.Resources{
		CPUMillis: orUnlimited(limit.CPUMillis), MemoryMB: orUnlimited(limit.MemoryMB), Accelerators: orUnlimited(limit.Accelerators),
	})
}

func orUnlimited(limit int64) int64 {
	if limit <= 0 {
		return math.MaxInt64
	}
	return limit
}

// Times returns n times the resources.
func Times(r place.Resources, n int64) place.Resources {
	return place.Resources{CPUMillis: n * r.CPUMillis, MemoryMB: n * r.MemoryMB, Accelerators: n * r.Accelerators}
}
