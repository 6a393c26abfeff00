package once

import "container/list"

// responseCache holds the entries with a cached response in the order in which the responses were
// recorded. Deduplicator.mu guards it.
type responseCache struct {
	order     list.List
	bodyBytes int
}

// add adds an entry and returns the entries that are evicted, oldest first.
func (c *responseCache) add(e *keyEntry, maxResponses, maxBytes int) []*keyEntry {
	c.order.PushBack(e)
	c.bodyBytes += len(e.response.Body)
	var evicted []*keyEntry
	for c.order.Len() > maxResponses || c.bodyBytes > maxBytes {
		oldest := c.order.Remove(c.order.Front()).(*keyEntry)
		c.bodyBytes -= len(oldest.response.Body)
		evicted = append(evicted, oldest)
	}
	return evicted
}
