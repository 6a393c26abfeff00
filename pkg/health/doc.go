// Package health quarantines workers that fail everything and backs off crash loops.
//
// A Tracker is told of failures and successes and answers whether a worker may be used and
// when a job may be tried next. Time is passed in, one goroutine owns a Tracker, and no call
// returns an error.
package health
