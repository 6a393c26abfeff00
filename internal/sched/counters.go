package sched

import "sync/atomic"

// Counters count the outcomes of the owner duty since the process started.
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
