// Package usage learns the sizes and run times of jobs from delayed reports.
//
// An Estimator keeps, for each job or family of jobs, histograms whose old values fade. An estimate
// is the declared size at first, then a high percentile plus a margin. Amounts are thousandths
// of a core and MB (2^20 bytes); run times are estimated in whole seconds. Time is passed in,
// and one goroutine owns an Estimator. The only error is ErrInvalidSnapshot.
package usage
