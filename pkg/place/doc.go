// Package place assigns tasks to workers.
//
// A Cell tracks the workers of one failure domain and the resources granted on them. It
// starts no goroutines, does no I/O and takes the current time as an argument. It is not
// safe for concurrent use.
//
// Grants never exceed the capacity of a worker, except after Adopt, which accounts for tasks
// that already run, and after SetWorker with a smaller capacity. Check and Capacity report
// such workers.
//
// Resources are counted in millicores, MB (2^20 bytes) and whole accelerators. A decision
// that places nothing carries a Reason; errors wrap ErrUnknownWorker, ErrOnOtherWorker,
// ErrInvalid, ErrOverCapacity or ErrInconsistent. docs/policy.md explains the placement
// policy and has benchmark results.
package place
