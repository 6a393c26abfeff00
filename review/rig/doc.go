// Command rig runs the scripted cases of the review: it starts the real program as separate processes
// and stands in for the store, the executors and the clients on loopback addresses.
package main
