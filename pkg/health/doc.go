// Package health quarantines workers that fail everything and backs off crash loops.
package health
