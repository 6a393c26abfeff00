package fake

import (
	"sort"
	"strings"
	"sync"

	"github.com/daisyrack/daisyrack/pkg/table"
)

// Table holds rows, tokens and objects in memory. The zero value is empty and ready for use.
type Table struct {
	// Fault returns the fault to inject into a call; nil means none. Set it before the first call
	// or with SetFault.
	Fault func(Call) Fault

	mu      sync.Mutex
	version int64
	rows    map[string]table.Row
	tokens  map[string]int64
	objects map[string][]byte
	stats   Stats
}

// Stats counts the calls that reached the table.
type Stats struct {
	// Commits counts the transactions that were received, Applied those that took effect.
	Commits, Applied int
	// Reads counts reads of rows and tokens.
	Reads int
	// MaxRows is the largest number of checks, puts and deletes in a transaction.
	MaxRows int
}

// Stats returns a snapshot of the counters.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// SetFault sets the faults of later calls.
func (t *Table) SetFault(fault func(Call) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Fault = fault
}

// Get returns a row. No faults are injected.
func (t *Table) Get(key string) (table.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok
}

// ObjectCount returns the number of stored objects.
func (t *Table) ObjectCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.objects)
}

// apply applies a transaction. It ignores whether the token is known, because the platform's
// protocol does not guarantee that a token takes effect only once.
func (t *Table) apply(tx table.Transaction) table.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.stats.Commits++
	t.stats.MaxRows = max(t.stats.MaxRows, len(tx.Checks)+len(tx.Puts)+len(tx.Deletes))
	var conflicts []table.Check
	for _, check := range tx.Checks {
		if current := t.rows[check.Key].Version; current != check.Version {
			conflicts = append(conflicts, table.Check{Key: check.Key, Version: current})
		}
	}
	if len(conflicts) > 0 {
		return table.Result{Outcome: table.Conflict, Conflicts: conflicts}
	}
	t.stats.Applied++
	t.version++
	for _, put := range tx.Puts {
		t.rows[put.Key] = table.Row{Key: put.Key, Value: put.Value, Version: t.version}
	}
	for _, key := range tx.Deletes {
		delete(t.rows, key)
	}
	t.tokens[tx.Token] = t.version
	return table.Result{Outcome: table.Committed, Version: t.version}
}

func (t *Table) init() {
	if t.rows == nil {
		t.rows = make(map[string]table.Row)
		t.tokens = make(map[string]int64)
		t.objects = make(map[string][]byte)
	}
}

func (t *Table) readPage(prefix, after string, limit int) ([]table.Row, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	var page []table.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, row)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	return page[:min(limit, len(page))], t.version
}

func (t *Table) readToken(token string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	version, ok := t.tokens[token]
	return version, ok
}

func (t *Table) readRow(key string) (table.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	row, ok := t.rows[key]
	return row, ok
}
