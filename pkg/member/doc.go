// Package member keeps one entry instance's view of the others.
package member
