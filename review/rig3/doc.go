// Package main plays the users' platform for the cases of this folder's scripts: the store, executors and clients, as
// stand-ins in one process, beside instances of daisyrack that it starts as processes of their own.
package main
