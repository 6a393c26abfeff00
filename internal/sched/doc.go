// Package sched runs the owner duty of a failure domain.
//
// While an entry instance holds the lease of its failure domain, a term runs:
// one goroutine owns the jobs, the queue and the placement index; one goroutine
// for each worker carries commands and reports; one goroutine saves records.
// They are joined by bounded channels. A new term rebuilds everything from the
// rows of the table and from what the workers report.
package sched
