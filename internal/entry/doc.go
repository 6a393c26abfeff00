// Package entry assembles one entry instance.
//
// All entry instances are equal. Each serves callers, follows the configuration
// and the other instances, and stands for the ownership of its failure domain.
// Its parts are put together with fx; every duty is a goroutine that starts and
// stops with the application.
package entry
