package guard

import (
	"sync"
	"time"
)

// Phase is what a connection is doing.
type Phase uint8

// Phases of a connection. In Head, Body and Response it waits for the client, in Run for the instance.
const (
	// Idle is between two requests.
	Idle Phase = iota
	// Head is from the start of a connection or the first byte of a request until its head is complete.
	Head
	// Body is while the body is read.
	Body
	// Run is while the request is served.
	Run
	// Response is while the response is written.
	Response
	// Closing is while a connection whose body was not read waits for the client to read the response.
	Closing
)

// Causes for which clients are refused or connections closed, as in metrics and log lines.
const (
	// CauseConnections means that there are too many connections, of one source or in all.
	CauseConnections = "connections"
	// CauseRequests means that there are too many requests in progress.
	CauseRequests = "requests"
	// CauseHeldBytes means that too many bytes are held for requests that are not complete.
	CauseHeldBytes = "held_bytes"
	// CauseEvicted means that a connection was closed to make room for others.
	CauseEvicted = "evicted"
	// CauseHeaderFields means that a request has too many header fields.
	CauseHeaderFields = "header_fields"
	// CauseStalled means that a body or the reader of a response was too slow.
	CauseStalled = "stalled"
)

const (
	// sourceShare is the part of a budget, in eighths, that one source may take. The rest is kept for others.
	sourceShare = 7

	// evictionBatch is the fraction of the connections that is closed at once where as many are stalled, so that a
	// crowd of new connections does not search all others for each.
	evictionBatch = 32
)

// Budget accounts for the connections of one listener. It needs no network and reads no clock: times are those since
// any fixed moment. Set the exported fields before the first call.
type Budget struct {
	Limits Limits

	mu       sync.Mutex
	members  map[*Member]struct{}
	sources  map[string]*source
	held     int64
	requests int
	sequence int64
}

// source is what the connections of one source take.
type source struct {
	connections, requests int
	held                  int64
}

// Member is one connection in a budget.
type Member struct {
	// Source is the address of the client without its port.
	Source string
	// Close closes the connection at once. It is called without locks held.
	Close func()

	source   *source
	sequence int64
	phase    Phase
	progress time.Duration
	held     int64
	request  bool
	gone     bool
}

// Usage is what a budget has given out.
type Usage struct {
	Connections, Requests, Sources int
	HeldBytes                      int64
}

// Open adds a connection and returns whether it may be served. It returns connections that the caller has to close
// to make room.
func (b *Budget) Open(m *Member, now time.Duration) (victims []*Member, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.members == nil {
		b.members, b.sources = make(map[*Member]struct{}), make(map[string]*source)
	}
	if limit := b.Limits.Connections; b.full(m.Source) {
		victims = b.evictStalled(now, max(limit/evictionBatch, 1))
		if b.full(m.Source) {
			victims = append(victims, b.evictIdle(m.Source, now)...)
		}
		if b.full(m.Source) {
			victims = append(victims, b.evictNewestOfLargest(m.Source)...)
		}
		if b.full(m.Source) {
			return victims, false
		}
	}
	s := b.sources[m.Source]
	if s == nil {
		s = &source{}
		b.sources[m.Source] = s
	}
	s.connections++
	b.sequence++
	m.source, m.sequence, m.phase, m.progress = s, b.sequence, Head, now
	b.members[m] = struct{}{}
	return victims, true
}

// full reports whether the budget has no connection left for a source.
func (b *Budget) full(name string) bool {
	limit := b.Limits.Connections
	s := b.sources[name]
	return limit > 0 && (len(b.members) >= limit || s != nil && s.connections >= share(limit))
}

// share returns how much of a limit one source may take.
func share(limit int) int { return max(limit*sourceShare/8, 1) }

// Remove releases all that a connection holds. It may be called more than once.
func (b *Budget) Remove(m *Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(m)
}

func (b *Budget) remove(m *Member) {
	if m.gone || m.source == nil {
		return
	}
	m.gone = true
	b.release(m)
	b.endRequest(m)
	delete(b.members, m)
	if m.source.connections--; m.source.connections == 0 {
		delete(b.sources, m.Source)
	}
}

// Enter sets the phase of a connection, which counts as progress.
func (b *Budget) Enter(m *Member, p Phase, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m.phase, m.progress = p, now
	if p == Idle {
		b.release(m)
	}
}

// Phase returns the phase of a connection.
func (b *Budget) Phase(m *Member) Phase {
	b.mu.Lock()
	defer b.mu.Unlock()
	return m.phase
}

// Hold adds to the bytes that are held for a connection's request until it ends, and returns whether they may be. It
// returns other connections that the caller has to close to make room.
func (b *Budget) Hold(m *Member, n int64, now time.Duration) (victims []*Member, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.gone {
		return nil, false
	}
	b.hold(m, n)
	m.progress = now
	limit := b.Limits.HeldBytes
	if limit <= 0 || b.held <= limit {
		return nil, true
	}
	victims = b.evictStalled(now, max(len(b.members)/evictionBatch, 1))
	for b.held > limit {
		more := b.evictHolder()
		if more == nil {
			break
		}
		if more == m {
			return victims, false
		}
		victims = append(victims, more)
	}
	return victims, b.held <= limit
}

func (b *Budget) hold(m *Member, n int64) {
	m.held += n
	m.source.held += n
	b.held += n
}

func (b *Budget) release(m *Member) {
	b.hold(m, -m.held)
}

// Begin counts a request and returns whether it may be served. End, or Remove, ends it.
func (b *Budget) Begin(m *Member) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.Limits.Requests
	if m.gone || limit > 0 && (b.requests >= limit || m.source.requests >= share(limit)) {
		return false
	}
	m.request = true
	m.source.requests++
	b.requests++
	return true
}

// End ends the request of a connection, if it has one.
func (b *Budget) End(m *Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endRequest(m)
}

func (b *Budget) endRequest(m *Member) {
	if m.request {
		m.request = false
		m.source.requests--
		b.requests--
	}
}

// Usage returns what is given out.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Connections: len(b.members), Requests: b.requests, Sources: len(b.sources), HeldBytes: b.held}
}

// waitsForClient reports whether the instance waits for the client in the middle of a request.
func (m *Member) waitsForClient() bool {
	return m.phase == Head || m.phase == Body || m.phase == Response || m.phase == Closing
}

// evictStalled removes connections that are stalled in the middle of a request, up to n of them.
func (b *Budget) evictStalled(now time.Duration, n int) []*Member {
	var victims []*Member
	for m := range b.members {
		if len(victims) >= n {
			break
		}
		if m.phase == Closing || m.waitsForClient() && now-m.progress >= evictableAfter {
			victims = append(victims, m)
			b.remove(m)
		}
	}
	return victims
}

// evictIdle removes the connection that has been idle longest, if it has been for idleEvictableAfter, of the source
// with the most connections, or of the given one if that has its whole share.
func (b *Budget) evictIdle(name string, now time.Duration) []*Member {
	from := b.sources[name]
	if from == nil || from.connections < share(b.Limits.Connections) {
		from = b.largest("")
	}
	var oldest *Member
	for m := range b.members {
		if m.source == from && m.phase == Idle && now-m.progress >= idleEvictableAfter && (oldest == nil || m.progress < oldest.progress) {
			oldest = m
		}
	}
	if oldest == nil {
		return nil
	}
	b.remove(oldest)
	return []*Member{oldest}
}

// largest returns the source with the most connections except for one; nil if there is none.
func (b *Budget) largest(except string) *source {
	var largest *source
	for name, s := range b.sources {
		if name != except && (largest == nil || s.connections > largest.connections) {
			largest = s
		}
	}
	return largest
}

// evictNewestOfLargest makes room for a connection of a source: it removes the newest one of the source with the most,
// if that has more than the given one would have.
func (b *Budget) evictNewestOfLargest(except string) []*Member {
	largest, taken := b.largest(except), 1
	if own := b.sources[except]; own != nil {
		taken += own.connections
	}
	if largest == nil || taken >= largest.connections {
		return nil
	}
	newest := b.newest(func(m *Member) bool { return m.source == largest })
	if newest == nil {
		return nil
	}
	b.remove(newest)
	return []*Member{newest}
}

// evictHolder removes the newest connection with held bytes of the source that holds the most, and returns it.
func (b *Budget) evictHolder() *Member {
	var largest *source
	for _, s := range b.sources {
		if largest == nil || s.held > largest.held {
			largest = s
		}
	}
	newest := b.newest(func(m *Member) bool { return m.source == largest && m.held > 0 })
	if newest != nil {
		b.remove(newest)
	}
	return newest
}

// newest returns the newest connection that matches and whose request is not being served.
func (b *Budget) newest(matches func(m *Member) bool) *Member {
	var newest *Member
	for m := range b.members {
		if m.phase != Run && matches(m) && (newest == nil || m.sequence > newest.sequence) {
			newest = m
		}
	}
	return newest
}
