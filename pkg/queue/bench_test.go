package queue_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/daisyrack/daisyrack/pkg/queue"
)

// BenchmarkQueue measures operations on queues with different numbers of waiting items, from
// 48 teams and 3 classes. In the first two benchmarks the number of items remains constant.
func BenchmarkQueue(b *testing.B) {
	push := func(q *queue.Queue, n int) {
		q.Push(start, item(strconv.Itoa(n), fmt.Sprint("team", n%48), queue.Class(n%queue.NumClasses)))
	}
	operations := []struct {
		name string
		run  func(q *queue.Queue, size, i int)
	}{
		{"PushNextDone", func(q *queue.Queue, size, i int) {
			push(q, size+i)
			it, _ := q.Next(start)
			q.Done(it.Team, it.Class, it.Cost)
		}},
		{"PushCancel", func(q *queue.Queue, size, i int) {
			push(q, size+i)
			q.Cancel(strconv.Itoa(size/2 + i))
		}},
		// The queue is full after 1,000 more items.
		{"PushFull", func(q *queue.Queue, size, i int) { push(q, size+i) }},
	}
	for _, o := range operations {
		for _, size := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprint(o.name, "/", size), func(b *testing.B) {
				q := fill(size)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					o.run(q, size, i)
				}
			})
		}
	}
}
