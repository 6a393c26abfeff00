// Package health quarantines workers on which all tasks fail and delays restarts of jobs
// that fail on every worker.
//
// Callers record failures and successes of tasks in a Tracker and ask it whether a worker
// may be used and when a job may be attempted next. They pass in the time; a Tracker must
// be used by one goroutine only.
package health
