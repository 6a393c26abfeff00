package guard

import (
	"sync"
	"time"
)

// maxLoggedSources limits the sources with a log line in one second.
const maxLoggedSources = 64

// lineLimiter allows one log line for each source and second.
type lineLimiter struct {
	mu       sync.Mutex
	second   time.Duration
	sources  map[string]struct{}
	unlogged int
}

// allow reports whether an event of a source is logged, and how many events were not since the last one that was.
func (l *lineLimiter) allow(source string, now time.Duration) (unlogged int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); l.sources == nil || second != l.second {
		l.second, l.sources = second, make(map[string]struct{})
	}
	if _, logged := l.sources[source]; logged || len(l.sources) >= maxLoggedSources {
		l.unlogged++
		return 0, false
	}
	l.sources[source] = struct{}{}
	unlogged, l.unlogged = l.unlogged, 0
	return unlogged, true
}
