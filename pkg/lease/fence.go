package lease

import "time"

// Fence decides at a worker which owner may command it and for how long.
//
// All times are readings of the worker's own monotonic clock, which must not
// go back when the worker restarts: a base of an earlier incarnation would
// otherwise count as a later moment. The value is pure and belongs to one
// goroutine or one lock: Admit, Renew, Lapsed and the start that they allow
// form one critical section.
//
// It is safe when the owner is paused between check and act. The owner's own
// check counts for nothing: the command is checked where and when it takes
// effect. An owner sends only bases that it received before it began a store
// renewal that succeeded, so every base it holds is older than the
// acquisition of any later owner, however long the owner or its message is
// delayed. Such a message can therefore not carry the claim past
// acquisition + limit, while the later owner waits for limit x 1.05 + 1 s from
// its acquisition before it starts a task elsewhere. It must count from a
// moment at which the acquisition had taken effect, such as the arrival of the
// answer. The factor covers clocks that run at different rates. Once the later
// owner has claimed the worker, Admit refuses the older one at once.
type Fence struct {
	owner   string
	epoch   int64
	base    time.Duration
	renewed bool
}

// Claim makes owner the one admitted if its epoch is the highest so far, and returns the epoch in force.
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

// Admit reports whether a command of owner at epoch may take effect.
func (f *Fence) Admit(owner string, epoch int64) bool {
	return f.epoch > 0 && epoch == f.epoch && owner == f.owner
}

// Epoch returns the highest claimed epoch, 0 before the first claim.
func (f *Fence) Epoch() int64 {
	return f.epoch
}

// Renew extends the claim to the limits after base. It never moves backwards
// and ignores a base in the future, which this worker can not have sent.
func (f *Fence) Renew(base, now time.Duration) {
	if base > now {
		return
	}
	if !f.renewed || base > f.base {
		f.base = base
		f.renewed = true
	}
}

// Lapsed reports whether starts of this kind are refused and running tasks of it must stop.
// Without any proven base every kind has lapsed.
func (f *Fence) Expired(kind CutOffPolicy, now time.Duration) bool {
	until, ok := f.ExpiresAt(kind)
	return !ok || now >= until
}

// Until returns when the claim lapses for this kind; ok is false without any proven base.
func (f *Fence) ExpiresAt(kind CutOffPolicy) (until time.Duration, ok bool) {
	if !f.renewed {
		return 0, false
	}
	if kind == StayOnCutOff {
		return f.base + StayTimeout, true
	}
	return f.base + MoveTimeout, true
}
