package lease

import "time"

// gain, prove, lose and observe change what the methods of Keeper return.

func (k *Elector) gain(lease Lease) {
	k.mu.Lock()
	k.held = true
	k.lease = lease
	k.proven = time.Time{}
	k.observed = lease
	k.mu.Unlock()
	k.Stats.Gains.Add(1)
	if k.OnAcquired != nil {
		k.OnAcquired(lease)
	}
}

func (k *Elector) prove(start time.Time) {
	k.mu.Lock()
	k.proven = start
	k.mu.Unlock()
	k.Stats.Renewals.Add(1)
}

func (k *Elector) lose() {
	k.mu.Lock()
	lease := k.lease
	k.held = false
	k.lease = Lease{}
	k.proven = time.Time{}
	k.mu.Unlock()
	k.Stats.Losses.Add(1)
	if k.OnLost != nil {
		k.OnLost(lease)
	}
}

func (k *Elector) observe(own record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observed = Lease{
		FailureDomain: k.FailureDomain,
		Holder:        own.Holder,
		Address:       own.Address,
		Epoch:         own.Epoch,
	}
	if k.held && k.lease.Holder == own.Holder && k.lease.Epoch == own.Epoch {
		k.observed.EpochVersion = k.lease.EpochVersion
	}
}
