// Package place decides which worker holds a task.
//
// A Cell has the workers of one failure domain and everything granted on them. Its methods
// are pure: time is passed in, there is no I/O, there are no goroutines, and one goroutine
// owns the value. Nothing is granted beyond the capacity of a worker; only Adopt, which
// counts tasks that already run, and SetWorker with a smaller capacity can exceed it, and
// Check and Capacity then report it.
//
// Amounts are thousandths of a core, MB (2^20 bytes) and whole accelerators. A decision that
// places nothing carries a Reason; errors are ErrUnknownWorker, ErrOnOtherWorker, ErrInvalid,
// ErrOverCapacity and ErrInconsistent. docs/policy.md explains the choices and has the figures.
package place
