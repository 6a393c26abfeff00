// Package sched schedules the jobs of one failure domain on its workers.
//
// An entry instance runs a term while it holds the lease of its failure domain and thus is the
// owner. In a term, the owner goroutine has sole access to the jobs, the queue and the placement
// index, one goroutine for each worker sends commands and receives reports, and one goroutine
// commits records to the table service. They communicate over bounded channels. A new term rebuilds
// its state from the rows of the table and from the workers' reports.
package sched
