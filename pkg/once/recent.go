package once

import "container/list"

// recent holds the entries with a cached response in the order in which the responses were
// recorded. Deduplicator.mu guards it.
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
