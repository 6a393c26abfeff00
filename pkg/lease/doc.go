// Package lease elects the owner of a failure domain and fences former owners at workers.
//
// Elector acquires, renews and hands over the lease, a row of the table that names the owner.
// Fence decides at a worker which owner's commands are accepted and for how long. RestartGuard
// decides at the owner when a task may be restarted without running twice.
package lease
