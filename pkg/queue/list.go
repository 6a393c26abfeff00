package queue

// state says in which list of its node an entry is.
type state uint8

const (
	ready state = iota
	deferred
	// expired entries wait for Expire to return them; they still count as waiting.
	expired
)

// entry is a waiting item with its places in the lists of the queue.
type entry struct {
	item       Item
	node       *node
	state      state
	list       *list
	prev, next *entry
	timer      timer
}

// list is a doubly linked list of entries in order of arrival.
type list struct {
	front, back *entry
	size        int
}

// insert puts e at its place by sequence number, searching from the back, and
// returns the number of steps.
func (l *list) insert(e *entry) (steps uint64) {
	after := l.back
	for steps = 1; after != nil && after.item.seq > e.item.seq; steps++ {
		after = after.prev
	}
	l.insertAfter(after, e)
	return steps
}

// insertFromFront is insert with the search from the front.
func (l *list) insertFromFront(e *entry) (steps uint64) {
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

// insertAfter puts e behind after, or at the front when after is nil.
func (l *list) insertAfter(after, e *entry) {
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

func (l *list) remove(e *entry) {
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
