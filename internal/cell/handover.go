package cell

import "time"

// maxHandedOverLeases limits the leases that an owner tells its successor of.
const maxHandedOverLeases = 2000

// Leases returns when the leases have expired that this owner and earlier ones have granted, of the executors that do
// not respond and of those that are gone but recorded for a job. The leases of all other executors may be extended until
// the end of the term.
func (c *Core) Leases() map[string]time.Time {
	out := make(map[string]time.Time)
	for _, ex := range c.sortedExecutors {
		switch {
		case len(out) == maxHandedOverLeases:
			return out
		case !ex.claimed:
			out[ex.ID] = c.priorLeaseExpiry(ex.ID)
		case ex.missedPolls > 0:
			out[ex.ID] = latest(ex.leaseExpiry(), c.priorLeaseExpiry(ex.ID))
		}
	}
	for _, j := range c.jobs {
		if j.State.Final() {
			continue
		}
		for _, id := range j.Executors() {
			if len(out) == maxHandedOverLeases {
				return out
			}
			if c.executors[id] == nil {
				out[id] = c.priorLeaseExpiry(id)
			}
		}
	}
	return out
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// priorLeaseExpiry returns when the leases have expired that earlier owners have granted on an executor.
func (c *Core) priorLeaseExpiry(id string) time.Time {
	all := c.priorLeasesExpiry()
	if expiry, ok := c.PriorLeases[id]; ok && expiry.Before(all) {
		return expiry
	}
	return all
}

// priorLeases returns PriorLeases by the clock of this instance.
func (d *Driver) priorLeases() map[string]time.Time {
	out := make(map[string]time.Time, len(d.PriorLeases))
	for id, clock := range d.PriorLeases {
		out[id] = d.history.Reading.LatestTime(clock)
	}
	return out
}

// leasesByStoreClock returns the leases to hand over by the store's clock, which the next owner reads as well.
func (d *Driver) leasesByStoreClock() map[string]time.Duration {
	if d.history.Reading.Sent.IsZero() {
		return nil
	}
	leases := d.core.Leases()
	out := make(map[string]time.Duration, len(leases))
	for id, expiry := range leases {
		out[id] = d.history.Reading.Latest(expiry)
	}
	return out
}

// Leases returns when the leases have expired of executors that do not respond, by the store's clock. It must only be
// called once the term has ended.
func (d *Driver) Leases() map[string]time.Duration {
	return d.leases
}

// Epoch returns the epoch of the term, 0 if it has not begun. It must only be called once the term has ended.
func (d *Driver) Epoch() int64 {
	if d.core == nil {
		return 0
	}
	return d.core.Epoch
}
