package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	txTime   = 8 * time.Millisecond
	readTime = 4 * time.Millisecond
	maxRows  = 500

	// maxRowBytes is platform.row_bytes of the settings, maxCallBytes the largest transaction.
	maxRowBytes  = 65536
	maxCallBytes = 1 << 20
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store stands in for the platform's store. It loses nothing and serves every call.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	ver     int64
	begin   time.Time
	changed chan struct{}
	// tooLarge is called with each row that is refused since it exceeds maxRowBytes.
	tooLarge func(r row)
}

func (s *store) refused(r row) {
	if s.tooLarge != nil {
		s.tooLarge(r)
	}
}

func newStore() *store {
	return &store{rows: make(map[rowID]row), begin: time.Now(), changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return mux
}

// apply writes and deletes rows under a new version. The caller holds mu.
func (s *store) apply(puts, drops []row) {
	s.ver++
	for _, r := range puts {
		r.Ver = s.ver
		s.rows[r.id()] = r
	}
	for _, r := range drops {
		if _, ok := s.rows[r.id()]; ok {
			s.rows[r.id()] = row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes one row as the operator or an executor does.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: []byte(value)}}, nil)
}

func (s *store) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.ver
	body["now_ms"] = time.Since(s.begin).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Puts, Drops []row }
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	for _, p := range t.Puts {
		if len(p.Value) > maxRowBytes {
			s.refused(p)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		now := s.rows[e.id()]
		if now.Deleted {
			now.Ver = 0
		}
		if now.Ver != e.Ver {
			s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}})
			return
		}
	}
	s.apply(t.Puts, t.Drops)
	s.respond(w, http.StatusOK, map[string]any{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, x := range s.rows {
		before := q.Get("target") == "" || x.Key < q.Get("target")
		if !x.Deleted && x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && before {
			rows = append(rows, x)
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
	for over := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		changed := s.changed
		if len(rows) > 0 || over {
			sort.Slice(rows, func(i, k int) bool { return rows[i].Ver < rows[k].Ver })
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

type route struct {
	name, prefix string
	priority     int
	attempts     int
}

// putConfig writes the operator's configuration.
func (s *store) putConfig(version int, routes []route) {
	text := ""
	for i, q := range routes {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":%q,"kind":"non_idempotent","timeout_ms":3000,`+
			`"slo_ms":1000,"priority":%d,"service":"pool","max_attempts":%d,"stretch":2}`, q.name, q.prefix, q.priority, q.attempts)
	}
	s.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"pool","max_conns":64,"admission_check":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`, version, text))
}
