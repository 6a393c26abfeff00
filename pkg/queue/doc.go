// Package queue decides which work is admitted and which runs next.
//
// A Queue serves classes by guaranteed shares: a class that received less than
// its share of the service is served first, and service that no class is owed
// is lent in class order. Within a class the teams share by weight, and within
// a team items leave in order of arrival. Service is the cost of an item times
// the time that it runs, so long and short items are treated alike.
//
// The package is pure: time is passed in and one goroutine owns a Queue.
package queue
