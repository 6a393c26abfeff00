package plat

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

const (
	maxRows       = 128
	maxBytes      = 256 << 10
	maxKeyBytes   = 1 << 10
	maxTokenBytes = 256
	maxScanRows   = 1000

	// defaultMaxTokens covers more than three minutes at 300 writes/s.
	defaultMaxTokens = 65536
)

// Transaction applies all of its puts and deletes, or none if a check fails. Its token makes retries
// idempotent.
type Transaction struct {
	Token   string   `json:"token"`
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Check requires that a row has the given version; version 0 means that the row must not exist.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Row is one row. Its version is the number of the commit that last changed it.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// CommitReply is the response to a transaction that was applied, now or by an earlier call with the
// same token.
type CommitReply struct {
	Version int64 `json:"version"`
}

// ConflictReply is the response to a transaction whose checks failed. It contains the current versions
// of the rows in conflict.
type ConflictReply struct {
	Conflicts []Check `json:"conflicts"`
}

// Page is the response to a scan.
type Page struct {
	Rows    []Row `json:"rows"`
	Version int64 `json:"version"`
}

type table struct {
	version int64
	rows    map[string]Row
	keys    keyIndex

	tokens     map[string]int64
	tokenOrder []string // from oldest to newest
	maxTokens  int
}

func (t *table) init(maxTokens int) {
	t.maxTokens = maxTokens
	t.rows = make(map[string]Row)
	t.tokens = make(map[string]int64)
}

func (s *Server) commit(_ *http.Request, body []byte) reply {
	var tx Transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		return errorReply(http.StatusBadRequest, "commit: %v", err)
	}
	if rejection, ok := tx.validate(); !ok {
		return rejection
	}
	if version, ok := s.table.tokens[tx.Token]; ok {
		return reply{status: http.StatusOK, value: CommitReply{Version: version}}
	}
	if conflicts := s.table.conflicts(tx.Checks); len(conflicts) > 0 {
		return reply{status: http.StatusConflict, value: ConflictReply{Conflicts: conflicts}}
	}
	return reply{status: http.StatusOK, value: CommitReply{Version: s.table.apply(tx)}}
}

// validate returns false and an error response if the transaction is malformed or too large.
func (tx Transaction) validate() (reply, bool) {
	if tx.Token == "" || len(tx.Token) > maxTokenBytes {
		return errorReply(http.StatusBadRequest, "token must have 1 to %d bytes", maxTokenBytes), false
	}
	size := 0
	keys := make(map[string]bool)
	changed := make(map[string]bool)
	for _, check := range tx.Checks {
		keys[check.Key] = true
		size += len(check.Key)
	}
	changes := slices.Clone(tx.Deletes)
	for _, put := range tx.Puts {
		changes = append(changes, put.Key)
		size += len(put.Value)
	}
	for _, key := range changes {
		if changed[key] {
			return errorReply(http.StatusBadRequest, "key %q is changed twice", key), false
		}
		keys[key] = true
		changed[key] = true
		size += len(key)
	}
	for key := range keys {
		if key == "" || len(key) > maxKeyBytes {
			return errorReply(http.StatusBadRequest, "key %q must have 1 to %d bytes", key, maxKeyBytes), false
		}
	}
	if len(keys) > maxRows || size > maxBytes {
		return errorReply(http.StatusRequestEntityTooLarge,
			"transaction has %d rows and %d bytes; at most %d and %d are allowed",
			len(keys), size, maxRows, maxBytes), false
	}
	return reply{}, true
}

func (t *table) conflicts(checks []Check) []Check {
	var found []Check
	for _, check := range checks {
		if version := t.rows[check.Key].Version; version != check.Version {
			found = append(found, Check{Key: check.Key, Version: version})
		}
	}
	return found
}

func (t *table) apply(tx Transaction) int64 {
	t.version++
	for _, put := range tx.Puts {
		t.keys.insert(put.Key)
		t.rows[put.Key] = Row{Key: put.Key, Value: put.Value, Version: t.version}
	}
	for _, key := range tx.Deletes {
		t.keys.remove(key)
		delete(t.rows, key)
	}
	t.recordToken(tx.Token)
	return t.version
}

func (t *table) recordToken(token string) {
	t.tokens[token] = t.version
	t.tokenOrder = append(t.tokenOrder, token)
	if len(t.tokenOrder) > t.maxTokens {
		delete(t.tokens, t.tokenOrder[0])
		t.tokenOrder = t.tokenOrder[1:]
	}
}

func (s *Server) getCommit(r *http.Request) reply {
	version, ok := s.table.tokens[r.PathValue("token")]
	if !ok {
		return errorReply(http.StatusNotFound, "token is unknown")
	}
	return reply{status: http.StatusOK, value: CommitReply{Version: version}}
}

func (s *Server) getRow(r *http.Request) reply {
	key := r.URL.Query().Get("key")
	row, ok := s.table.rows[key]
	if !ok {
		return errorReply(http.StatusNotFound, "row %q does not exist", key)
	}
	return reply{status: http.StatusOK, value: row}
}

func (s *Server) scanRows(r *http.Request) reply {
	q := r.URL.Query()
	limit := maxScanRows
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxScanRows {
			return errorReply(http.StatusBadRequest, "limit %q must be 1 to %d", text, maxScanRows)
		}
		limit = n
	}
	return reply{status: http.StatusOK, value: s.table.scan(q.Get("prefix"), q.Get("after"), limit)}
}

func (t *table) scan(prefix, after string, limit int) Page {
	page := Page{Rows: []Row{}, Version: t.version}
	for key := range t.keys.from(max(prefix, after)) {
		if !strings.HasPrefix(key, prefix) || len(page.Rows) == limit {
			break
		}
		if key != after {
			page.Rows = append(page.Rows, t.rows[key])
		}
	}
	return page
}
