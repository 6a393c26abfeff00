// Package sched runs the owner duty of a failure domain.
package sched
