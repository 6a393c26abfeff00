package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// readTime and commitTime are how long the store takes for a read and a transaction.
	readTime   = 4 * time.Millisecond
	commitTime = 8 * time.Millisecond

	maxRows = 500
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

func (r *row) id() [3]string { return [3]string{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store: tables of rows, transactions and a feed of changes.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]row
	version int64
	start   time.Time
	changed chan struct{}
	// commits holds the transactions of a part, which are executed one after another.
	commits sync.Mutex
}

func newStore() *store {
	return &store{rows: make(map[[3]string]row), start: time.Now(), changed: make(chan struct{})}
}

// put writes a row as another writer of the platform, and returns when that is acknowledged.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.version})
	s.notify()
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.notify()
}

func (s *store) apply(r row) { s.rows[r.id()] = r }

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the instances.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.commit(w, r)
	case "/v1/rows-get":
		time.Sleep(readTime)
		s.get(w, r)
	case "/v1/rows-feed":
		time.Sleep(readTime)
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.version
	body["now_ms"] = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Puts, Drops []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.commits.Lock()
	time.Sleep(commitTime)
	s.commits.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	conflict := false
	for _, e := range tx.Expected {
		have := s.rows[e.id()]
		if have.Deleted {
			have = row{}
		}
		if have.Ver != 0 {
			current = append(current, have)
		}
		conflict = conflict || have.Ver != e.Ver
	}
	if conflict {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		p.Ver = s.version
		s.apply(p)
	}
	for _, d := range tx.Drops {
		s.apply(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.version, Deleted: true})
	}
	s.notify()
	s.respond(w, http.StatusOK, map[string]any{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, have := range s.rows {
		if !have.Deleted && have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") {
			rows = append(rows, have)
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": len(rows) > limit})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, have := range s.rows {
			if have.Table == q.Get("table") && have.Ver > after {
				rows = append(rows, have)
			}
		}
		sort.Slice(rows, func(i, k int) bool { return rows[i].Ver < rows[k].Ver })
		changed := s.changed
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
