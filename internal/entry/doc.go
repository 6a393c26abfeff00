// Package entry assembles one entry instance.
package entry
