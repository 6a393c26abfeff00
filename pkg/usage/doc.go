// Package usage estimates the resource use and run times of jobs from delayed reports.
//
// An Estimator keeps decaying histograms for each job or family of jobs. An estimate is the
// declared size at first, then a high percentile of the reports plus a margin. Units are
// thousandths of a core and MB (2^20 bytes); run times are estimated in whole seconds. Callers
// pass in the time; an Estimator must be used by one goroutine only. The only error is
// ErrInvalidSnapshot.
package usage
