// Package rack runs a whole rack in one process over loopback: the stand-ins of
// platform, workers and backend servers, and entry instances in three failure
// domains. It can send load of its own and judge what came of it.
package rack
