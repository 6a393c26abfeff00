// Package near decides how long tasks wait for a place where they run faster: on the rack that holds their data, or
// on the rack of the other tasks of their step. It does no I/O and reads no clock.
package near
