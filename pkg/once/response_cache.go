package once

import "container/list"

// responseCache holds the entries with a cached response in the order in which the responses were
// recorded. Deduplicator.mu guards it.
type responseCache struct {
	order     list.List
	bodyBytes int
}

// add adds an entry and returns the entries that are evicted, oldest first.
func (q *responseCache) add(e *keyEntry, maxResponses, maxBytes int) []*keyEntry {
	q.order.PushBack(e)
	q.bodyBytes += len(e.response.Body)
	var evicted []*keyEntry
	for q.order.Len() > maxResponses || q.bodyBytes > maxBytes {
		oldest := q.order.Remove(q.order.Front()).(*keyEntry)
		q.bodyBytes -= len(oldest.response.Body)
		evicted = append(evicted, oldest)
	}
	return evicted
}
