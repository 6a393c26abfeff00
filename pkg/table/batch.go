package table

// batch collects the writes of one transaction.
type batch struct {
	maxRows, maxBytes int

	entries []*entry
	tx      Commit
	fence   []Check
	rows    int
	bytes   int
	full    bool

	// checked holds the demanded versions; written the keys that are put or deleted, and the
	// keys of writes that were left out, so that no later write overtakes them.
	checked map[string]int64
	written map[string]bool
}

func newBatch(fence []Check, maxRows, maxBytes int) *batch {
	b := &batch{
		maxRows:  maxRows,
		maxBytes: maxBytes,
		fence:    fence,
		rows:     len(fence),
		checked:  make(map[string]int64),
		written:  make(map[string]bool),
	}
	for _, check := range fence {
		b.checked[check.Key] = check.Version
		b.tx.Checks = append(b.tx.Checks, check)
	}
	return b
}

// add takes a write into the transaction; false means that it has to wait for the next one.
func (b *batch) add(e *entry) bool {
	if !b.fits(e) {
		b.full = true
		return false
	}
	if len(b.entries) > 0 && !b.apart(e) {
		b.block(e)
		return false
	}
	b.rows += e.rows()
	b.bytes += e.bytes()
	b.entries = append(b.entries, e)
	for _, check := range e.write.Checks {
		// The first write may contradict the fence; the store then reports its conflict.
		if version, ok := b.checked[check.Key]; !ok || version != check.Version {
			b.checked[check.Key] = check.Version
			b.tx.Checks = append(b.tx.Checks, check)
		}
	}
	for _, key := range e.writtenKeys() {
		b.written[key] = true
	}
	b.tx.Puts = append(b.tx.Puts, e.write.Puts...)
	b.tx.Deletes = append(b.tx.Deletes, e.write.Deletes...)
	return true
}

// fits always holds for the first write, so that a fence can't keep a large write out forever.
func (b *batch) fits(e *entry) bool {
	if len(b.entries) == 0 {
		return true
	}
	return b.rows+e.rows() <= b.maxRows && b.bytes+e.bytes() <= b.maxBytes
}

// apart reports whether no key that one write changes is touched by another one, and no two
// writes demand different versions of one row.
func (b *batch) apart(e *entry) bool {
	for _, check := range e.write.Checks {
		if b.written[check.Key] {
			return false
		}
		if version, ok := b.checked[check.Key]; ok && version != check.Version {
			return false
		}
	}
	own := make(map[string]bool, len(e.write.Checks))
	for _, key := range e.writtenKeys() {
		own[key] = true
	}
	for key := range own {
		if _, checked := b.checked[key]; checked || b.written[key] {
			return false
		}
	}
	return true
}

func (b *batch) block(e *entry) {
	for _, check := range e.write.Checks {
		b.written[check.Key] = true
	}
	for _, key := range e.writtenKeys() {
		b.written[key] = true
	}
}
