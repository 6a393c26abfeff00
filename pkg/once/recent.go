package once

import "container/list"

// recent keeps the own recent answers in the order in which they were recorded. Register.mu
// guards it.
type recent struct {
	order list.List
	bytes int
}

// keep adds an answer and returns the entries that have to go.
func (q *recent) keep(e *entry, results, bytes int) []*entry {
	q.order.PushBack(e)
	q.bytes += len(e.answer.Body)
	var gone []*entry
	for q.order.Len() > results || q.bytes > bytes {
		oldest := q.order.Remove(q.order.Front()).(*entry)
		q.bytes -= len(oldest.answer.Body)
		gone = append(gone, oldest)
	}
	return gone
}
