package queue

// state determines the list that an entry is in.
type state uint8

const (
	ready state = iota
	suspended
	// expired entries are in Queue.expiredEntries until Expire returns them. They still count
	// as waiting.
	expired
)

// entry is a waiting item with its links in the lists of the queue.
type entry struct {
	item       Item
	flow       *flow
	state      state
	list       *entryList
	prev, next *entry
	timer      timer
}

// entryList is a doubly linked list of entries in order of arrival.
type entryList struct {
	front, back *entry
	size        int
}

// insert adds e in order of the sequence number, searching from the back, and returns the
// number of search steps.
func (l *entryList) insert(e *entry) (steps uint64) {
	after := l.back
	for steps = 1; after != nil && after.item.seq > e.item.seq; steps++ {
		after = after.prev
	}
	l.insertAfter(after, e)
	return steps
}

// insertFromFront is like insert but searches from the front.
func (l *entryList) insertFromFront(e *entry) (steps uint64) {
	before := l.front
	for steps = 1; before != nil && before.item.seq < e.item.seq; steps++ {
		before = before.next
	}
	after := l.back
	if before != nil {
		after = before.prev
	}
	l.insertAfter(after, e)
	return steps
}

// insertAfter adds e behind after, or at the front if after is nil.
func (l *entryList) insertAfter(after, e *entry) {
	e.list = l
	e.prev = after
	if after == nil {
		e.next = l.front
		l.front = e
	} else {
		e.next = after.next
		after.next = e
	}
	if e.next == nil {
		l.back = e
	} else {
		e.next.prev = e
	}
	l.size++
}

func (l *entryList) remove(e *entry) {
	if e.prev == nil {
		l.front = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.back = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.list, e.prev, e.next = nil, nil, nil
	l.size--
}
