// Package team identifies the team of a request by its key, and decides whether the configuration that says so is
// recent enough. It reads no clock and makes no calls: the caller passes in times and the results of reads.
package team
