package queue_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/daisyrack/daisyrack/pkg/queue"
)

var sizes = []int{1_000, 10_000, 100_000}

// BenchmarkPushNextDone measures one item through the queue at a steady number of waiting items.
func BenchmarkPushNextDone(b *testing.B) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			q := fill(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				q.Push(start, item(strconv.Itoa(n+i), "team1", queue.Class(i%queue.Classes)))
				it, _ := q.Next(start)
				q.Done(it.Team, it.Class, it.Cost)
			}
		})
	}
}

// BenchmarkNextDone measures taking items of 48 teams and 3 classes; the queue is refilled outside the timer.
func BenchmarkNextDone(b *testing.B) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			q := fill(n)
			b.ResetTimer()
			for i := range b.N {
				if i%(n/2) == n/2-1 {
					b.StopTimer()
					q = fill(n)
					b.StartTimer()
				}
				it, _ := q.Next(start)
				q.Done(it.Team, it.Class, it.Cost)
			}
		})
	}
}

// BenchmarkPushCancel measures a push and the cancellation of an item in the middle of the queue.
func BenchmarkPushCancel(b *testing.B) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			q := fill(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := i
				if i >= n/2 {
					id = n + i - n/2
				}
				q.Cancel(strconv.Itoa(id))
				q.Push(start, item(strconv.Itoa(n+i), fmt.Sprint("team", i%48), queue.Class(i%queue.Classes)))
			}
		})
	}
}

// BenchmarkRefused measures what a flood costs when the queue is full.
func BenchmarkRefused(b *testing.B) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			q := fill(n)
			limits := q.Limits
			limits.Sum = n
			q.Reconfigure(limits)
			b.ResetTimer()
			for i := range b.N {
				q.Push(start, item(strconv.Itoa(n+i), "team1", queue.Urgent))
			}
		})
	}
}
