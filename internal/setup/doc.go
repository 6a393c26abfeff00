// Package setup loads and validates the settings file of a process.
package setup
