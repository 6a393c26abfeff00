package sched

import "sync/atomic"

// Counters counts scheduling events since the process started. The metrics page derives the names
// of its metrics from the names of the fields.
type Counters struct {
	TasksStarted      atomic.Int64
	TasksSucceeded    atomic.Int64
	TasksFailed       atomic.Int64
	TasksStopped      atomic.Int64
	TasksLost         atomic.Int64
	TasksAdopted      atomic.Int64
	StartsRefused     atomic.Int64
	UnexpectedTasks   atomic.Int64
	Preemptions       atomic.Int64
	JobsAccepted      atomic.Int64
	JobsRefused       atomic.Int64
	JobsEnded         atomic.Int64
	SavesCommitted    atomic.Int64
	SavesRefused      atomic.Int64
	SavesUnknown      atomic.Int64
	SyncsFailed       atomic.Int64
	WorkersClaimed    atomic.Int64
	FencedOut         atomic.Int64
	Terms             atomic.Int64
	RecoveryMS        atomic.Int64
	OvercommitReports atomic.Int64
}
