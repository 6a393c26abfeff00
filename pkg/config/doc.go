// Package config keeps the configuration documents in force.
package config
