package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// transactionTime is how long the store takes for a transaction, readTime for a read.
const (
	transactionTime = 8 * time.Millisecond
	readTime        = 4 * time.Millisecond
	maxRowsPerRead  = 500
)

// row is a row of the store, as on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is the platform's store, in memory. It loses nothing, serves all calls and limits no rates.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	ver     int64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// put writes rows as the operator and the executors do, in one transaction.
func (s *store) put(rows ...row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return mux
}

type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Drops    []row `json:"drops"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	time.Sleep(transactionTime)
	conflict := false
	current := []row{}
	for _, e := range tx.Expected {
		c := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if !c.Deleted && c.Ver != e.Ver || c.Deleted && e.Ver != 0 {
			conflict = true
		}
		if c.Ver != 0 && !c.Deleted {
			current = append(current, c)
		}
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver = s.ver
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
	}
	for _, d := range tx.Drops {
		d.Ver, d.Deleted, d.Value = s.ver, true, nil
		s.rows[rowKey{d.Table, d.Part, d.Key}] = d
	}
	s.notify()
	s.reply(w, http.StatusOK, nil, false)
}

// reply writes a response; the caller holds s.mu.
func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": s.ver, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := maxRowsPerRead
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for k, c := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !c.Deleted && k.key >= q.Get("from") &&
			(q.Get("target") == "" || k.key < q.Get("target")) {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
	more := len(out) > limit
	s.reply(w, http.StatusOK, out[:min(len(out), limit)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		var out []row
		for k, c := range s.rows {
			if k.table == q.Get("table") && c.Ver > after {
				out = append(out, c)
			}
		}
		if len(out) > 0 || !waiting {
			sort.Slice(out, func(i, k int) bool { return out[i].Ver < out[k].Ver })
			s.reply(w, http.StatusOK, out, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
