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
	maxScan       = 1000

	// defaultTokens keeps the tokens of more than three minutes at 300 writes/s.
	defaultTokens = 65536
)

// Transaction is one transaction: it applies all puts and deletes if every check holds.
type Transaction struct {
	Token   string   `json:"token"`
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Check requires that a row is at a version; version 0 means that it must not exist.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Row is one row with the commit number of its last change.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// CommitReply is the answer to an applied commit.
type CommitReply struct {
	Version int64 `json:"version"`
}

// ConflictReply is the answer to a commit whose checks failed; it holds the versions in force.
type ConflictReply struct {
	Conflicts []Check `json:"conflicts"`
}

// Page is the answer to a scan.
type Page struct {
	Rows    []Row `json:"rows"`
	Version int64 `json:"version"`
}

type table struct {
	version int64
	rows    map[string]Row
	keys    keys

	tokens    map[string]int64
	order     []string // tokens from oldest to newest
	maxTokens int
}

func (t *table) init(maxTokens int) {
	t.maxTokens = maxTokens
	t.rows = make(map[string]Row)
	t.tokens = make(map[string]int64)
}

func (s *Server) commit(_ *http.Request, body []byte) answer {
	var c Transaction
	if err := json.Unmarshal(body, &c); err != nil {
		return problem(http.StatusBadRequest, "commit: %v", err)
	}
	if a, ok := c.validate(); !ok {
		return a
	}
	if version, ok := s.table.tokens[c.Token]; ok {
		return answer{status: http.StatusOK, value: CommitReply{Version: version}}
	}
	if conflicts := s.table.conflicts(c.Checks); len(conflicts) > 0 {
		return answer{status: http.StatusConflict, value: ConflictReply{Conflicts: conflicts}}
	}
	return answer{status: http.StatusOK, value: CommitReply{Version: s.table.apply(c)}}
}

// validate returns the refusal of a commit that is malformed or too large.
func (c Transaction) validate() (answer, bool) {
	if c.Token == "" || len(c.Token) > maxTokenBytes {
		return problem(http.StatusBadRequest, "token must have 1 to %d bytes", maxTokenBytes), false
	}
	size := 0
	named := make(map[string]bool)
	changed := make(map[string]bool)
	for _, check := range c.Checks {
		named[check.Key] = true
		size += len(check.Key)
	}
	changes := slices.Clone(c.Deletes)
	for _, put := range c.Puts {
		changes = append(changes, put.Key)
		size += len(put.Value)
	}
	for _, key := range changes {
		if changed[key] {
			return problem(http.StatusBadRequest, "key %q is changed twice", key), false
		}
		named[key] = true
		changed[key] = true
		size += len(key)
	}
	for key := range named {
		if key == "" || len(key) > maxKeyBytes {
			return problem(http.StatusBadRequest, "key %q must have 1 to %d bytes", key, maxKeyBytes), false
		}
	}
	if len(named) > maxRows || size > maxBytes {
		return problem(http.StatusRequestEntityTooLarge,
			"transaction has %d rows and %d bytes; at most %d and %d are allowed",
			len(named), size, maxRows, maxBytes), false
	}
	return answer{}, true
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

func (t *table) apply(c Transaction) int64 {
	t.version++
	for _, put := range c.Puts {
		t.keys.insert(put.Key)
		t.rows[put.Key] = Row{Key: put.Key, Value: put.Value, Version: t.version}
	}
	for _, key := range c.Deletes {
		t.keys.remove(key)
		delete(t.rows, key)
	}
	t.remember(c.Token)
	return t.version
}

func (t *table) remember(token string) {
	t.tokens[token] = t.version
	t.order = append(t.order, token)
	if len(t.order) > t.maxTokens {
		delete(t.tokens, t.order[0])
		t.order = t.order[1:]
	}
}

func (s *Server) token(r *http.Request) answer {
	version, ok := s.table.tokens[r.PathValue("token")]
	if !ok {
		return problem(http.StatusNotFound, "token is unknown")
	}
	return answer{status: http.StatusOK, value: CommitReply{Version: version}}
}

func (s *Server) row(r *http.Request) answer {
	key := r.URL.Query().Get("key")
	row, ok := s.table.rows[key]
	if !ok {
		return problem(http.StatusNotFound, "row %q does not exist", key)
	}
	return answer{status: http.StatusOK, value: row}
}

func (s *Server) rows(r *http.Request) answer {
	q := r.URL.Query()
	limit := maxScan
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxScan {
			return problem(http.StatusBadRequest, "limit %q must be 1 to %d", text, maxScan)
		}
		limit = n
	}
	return answer{status: http.StatusOK, value: s.table.scan(q.Get("prefix"), q.Get("after"), limit)}
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
