package lease

import "time"

// Fence decides at a worker which owner's commands are accepted and for how long.
//
// All times are readings of the worker's own monotonic clock, which must not
// go back when the worker restarts: a renewal time of an earlier incarnation
// would otherwise count as a later one. Fence does no I/O and is not safe for
// concurrent use: Admit, Renew, Expired and the task start that they allow
// must run in one critical section.
//
// Fencing holds even if the owner is paused between checking its lease and
// sending a command, because the command is checked at the worker when it
// takes effect. A renewal time is a clock reading that the owner received from
// the worker before it began a lease renewal that succeeded. Every renewal
// time that an owner can send is therefore older than the acquisition of any
// later owner, however long the owner or its message is delayed. Such a
// message can't extend the claim past acquisition + timeout, and the later
// owner waits for timeout x 1.05 + 1 s after its acquisition before it starts a
// task elsewhere. It must count that wait from a time at which the acquisition
// was in effect, such as the arrival of the response. The factor covers clocks
// that run at different rates. Once the later owner has claimed the worker,
// Admit rejects the former one immediately.
type Fence struct {
	owner       string
	epoch       int64
	renewalTime time.Duration
	renewed     bool
}

// Claim admits owner if its epoch is the highest so far, and returns the epoch in force.
// A repeated claim by the same owner at the same epoch is accepted.
func (f *Fence) Claim(owner string, epoch int64) (ok bool, current int64) {
	if owner == "" || epoch < 1 {
		return false, f.epoch
	}
	if epoch > f.epoch {
		f.owner = owner
		f.epoch = epoch
	}
	return f.Admit(owner, epoch), f.epoch
}

// Admit reports whether a command that owner sent at epoch may take effect.
func (f *Fence) Admit(owner string, epoch int64) bool {
	return f.epoch > 0 && epoch == f.epoch && owner == f.owner
}

// Epoch returns the highest claimed epoch, 0 before the first claim.
func (f *Fence) Epoch() int64 {
	return f.epoch
}

// Renew extends the claim, which expires the timeout of the cut-off policy after renewalTime.
// It never shortens the claim, and ignores a time in the future, which this worker can't have
// sent.
func (f *Fence) Renew(renewalTime, now time.Duration) {
	if renewalTime > now {
		return
	}
	if !f.renewed || renewalTime > f.renewalTime {
		f.renewalTime = renewalTime
		f.renewed = true
	}
}

// Expired reports whether the claim has expired for tasks with this policy: starts are refused
// and running tasks must stop. Before the first renewal it has expired for every policy.
func (f *Fence) Expired(policy CutOffPolicy, now time.Duration) bool {
	expiry, ok := f.ExpiresAt(policy)
	return !ok || now >= expiry
}

// ExpiresAt returns when the claim expires for tasks with this policy; ok is false before the
// first renewal.
func (f *Fence) ExpiresAt(policy CutOffPolicy) (expiry time.Duration, ok bool) {
	if !f.renewed {
		return 0, false
	}
	if policy == StayOnCutOff {
		return f.renewalTime + StayTimeout, true
	}
	return f.renewalTime + MoveTimeout, true
}
