// Package main plays case 10 of the review: the users' platform with its store, executors and clients, as stand-ins in one
// process, beside instances of daisyrack that it starts as processes of their own.
package main
