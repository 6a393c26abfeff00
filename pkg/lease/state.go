package lease

import "time"

// The methods in this file update the state that Held, Observed and ConfirmedAt return.

func (e *Elector) setAcquired(lease Lease) {
	e.mu.Lock()
	e.held = true
	e.lease = lease
	e.confirmedAt = time.Time{}
	e.observed = lease
	e.mu.Unlock()
	e.Stats.Gains.Add(1)
	if e.OnAcquired != nil {
		e.OnAcquired(lease)
	}
}

func (e *Elector) setConfirmed(start time.Time) {
	e.mu.Lock()
	e.confirmedAt = start
	e.mu.Unlock()
	e.Stats.Renewals.Add(1)
}

func (e *Elector) setLost() {
	e.mu.Lock()
	lease := e.lease
	e.held = false
	e.lease = Lease{}
	e.confirmedAt = time.Time{}
	e.mu.Unlock()
	e.Stats.Losses.Add(1)
	if e.OnLost != nil {
		e.OnLost(lease)
	}
}

func (e *Elector) setObserved(owner ownerRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed = Lease{
		FailureDomain: e.FailureDomain,
		Holder:        owner.Holder,
		Address:       owner.Address,
		Epoch:         owner.Epoch,
	}
	if e.held && e.lease.Holder == owner.Holder && e.lease.Epoch == owner.Epoch {
		e.observed.EpochVersion = e.lease.EpochVersion
	}
}
