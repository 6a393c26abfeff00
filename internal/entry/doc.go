// Package entry assembles one entry instance.
//
// All entry instances are equal. Each one serves clients, follows the configuration and the
// membership of the other instances, and competes for the lease of its failure domain. The
// components are assembled with fx; each background task is a goroutine that starts and stops
// with the application.
package entry
