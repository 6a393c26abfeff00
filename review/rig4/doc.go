// Command rig4 is the stand-in of the users' platform, its executors and its clients for the cases of the third
// review. It starts the project's own program as separate processes, on loopback addresses only.
package main
