package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     *int64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a sound store: it loses nothing that it has acknowledged, and its responses are linearizable.
type store struct {
	started time.Time
	// queue makes the transactions of the only partition that is written by the system wait for each other.
	queue sync.Mutex

	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	changed chan struct{}
	// slow is how many times as long as usual an answer takes, busy makes it respond with 503 and do nothing.
	slow float64
	busy bool
	// largest is the largest transaction in bytes.
	largest int
}

// Times of the store's answers while it isn't slow.
const (
	txTime   = 8 * time.Millisecond
	readTime = 2 * time.Millisecond
)

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{}), slow: 1}
}

func (s *store) set(change func(s *store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// put writes a row of the operator or of an executor.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	ver := s.version
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: value, Ver: &ver}
	s.wake()
}

// ownerRow returns the row that the owner of the cell renews.
func (s *store) ownerRow() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{"cell", "cell", "owner"}].Value
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	busy, slow := s.busy, s.slow
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.commit(w, r, slow)
	case "/v1/rows-get":
		time.Sleep(time.Duration(slow * float64(readTime)))
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.version
	body["now_ms"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request, slow float64) {
	var tx struct{ Expected, Puts, Drops []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.queue.Lock()
	time.Sleep(time.Duration(slow * float64(txTime)))
	s.queue.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largest = max(s.largest, int(r.ContentLength))
	var current []row
	met := true
	for _, e := range tx.Expected {
		have, there := s.rows[rowKey{e.Table, e.Part, e.Key}]
		want := int64(0)
		if e.Ver != nil {
			want = *e.Ver
		}
		is := int64(0)
		if there {
			is = *have.Ver
			current = append(current, have)
		}
		met = met && is == want
	}
	if !met {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	ver := s.version
	for _, p := range tx.Puts {
		p.Ver = &ver
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
	}
	for _, d := range tx.Drops {
		delete(s.rows, rowKey{d.Table, d.Part, d.Key})
	}
	s.wake()
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
	for k, have := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, have)
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	n, size := 0, 0
	for n < len(rows) && n < limit && size < maxResponse {
		size += len(rows[n].Value)
		n++
	}
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:n], "has_more": n < len(rows)})
}

// Limits of a read.
const (
	maxRows     = 500
	maxResponse = 1 << 20
)

// feed responds as soon as a row of the table is newer than a version.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for k, have := range s.rows {
			if k.table == q.Get("table") && *have.Ver > after {
				rows = append(rows, have)
			}
		}
		sort.Slice(rows, func(i, k int) bool { return *rows[i].Ver < *rows[k].Ver })
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
	}
}
