// Package plat is a stand-in for the platform.
package plat
