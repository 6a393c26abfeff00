// Package share decides what teams may run: quotas bound what a team has running, and shares order the teams while there
// is less room than demand. It reads no clock and makes no calls.
package share
