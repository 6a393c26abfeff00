// Package setup reads and checks the settings file of a process.
package setup
