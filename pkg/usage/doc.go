// Package usage learns sizes and run times from delayed reports.
package usage
