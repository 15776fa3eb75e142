package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageRows    = 500
	storeDelay  = 4 * time.Millisecond
	maxFeedWait = 30 * time.Second
)

// row is a row in the JSON form of the platform.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

// store is the platform's table store.
type store struct {
	mu      sync.Mutex
	rows    map[[2]string]row
	version uint64
	changed chan struct{}
	started time.Time
	// era counts the restorations; copies holds copies of the rows, one for each snapshotInterval.
	era    int
	copies []snapshot
	// down makes the store answer nothing but 503.
	down bool
}

// snapshot is a copy of the store.
type snapshot struct {
	rows    map[[2]string]row
	version uint64
}

const snapshotInterval = 500 * time.Millisecond

// keepCopies copies the store at each snapshotInterval.
func (s *store) keepCopies() {
	for {
		s.mu.Lock()
		s.copies = append(s.copies, snapshot{rows: maps.Clone(s.rows), version: s.version})
		s.mu.Unlock()
		time.Sleep(snapshotInterval)
	}
}

// restore brings the store back from the copy that is the given number of snapshots old. What the
// operator and the servers wrote is written again.
func (s *store) restore(age int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.copies[max(len(s.copies)-1-age, 0)]
	now := s.rows
	s.rows, s.version = maps.Clone(from.rows), from.version
	s.copies = append(s.copies[:max(len(s.copies)-1-age, 0):max(len(s.copies)-1-age, 0)], snapshot{maps.Clone(s.rows), s.version})
	s.era++
	for key, r := range now {
		if key[0] == "op" || key[0] == "servers" {
			s.version++
			s.set(r.Table, r.Key, r.Value)
		}
	}
}

func newStore() *store {
	return &store{rows: make(map[[2]string]row), changed: make(chan struct{}), started: time.Now()}
}

// put writes a row for the operator or a server; a nil value removes it.
func (s *store) put(table, key string, value any) {
	var body []byte
	if value != nil {
		body, _ = json.Marshal(value) // Maps of strings and numbers can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[[2]string{table, key}]; value == nil && (!ok || r.Tombstone) {
		return
	}
	s.version++
	s.set(table, key, body)
}

// set writes a row at the current version. mu must be held.
func (s *store) set(table, key string, value []byte) {
	s.rows[[2]string{table, key}] = row{Table: table, Key: key, Value: value, Ver: s.version, Tombstone: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/rows-get":
		s.list(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// answer writes rows with the newest version.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "HasMore": more, "Ver": version, "NowMs": time.Since(s.started).Milliseconds()})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var out []row
	for _, x := range s.rows {
		if x.Table == q.Get("Table") && !x.Tombstone && x.Key >= q.Get("From") {
			out = append(out, x)
		}
	}
	version := s.version
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > pageRows
	s.answer(w, http.StatusOK, out[:min(len(out), pageRows)], more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	began := s.currentEra()
	until := time.After(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	for waiting := true; ; {
		s.mu.Lock()
		var out []row
		for _, x := range s.rows {
			if x.Table == q.Get("Table") && x.Ver > after {
				out = append(out, x)
			}
		}
		version, changed := s.version, s.changed
		gone := after > version || s.era != began
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		if gone {
			w.Header().Set("Store-Era", strconv.Itoa(s.currentEra()))
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out) > 0 || !waiting {
			slices.SortFunc(out, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
			s.answer(w, http.StatusOK, out, false, version)
			return
		}
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ ExpectedRev, SetKeys, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	var current []row
	met := true
	for _, e := range t.ExpectedRev {
		x, ok := s.rows[[2]string{e.Table, e.Key}]
		if !ok || x.Tombstone {
			met = met && e.Ver == 0
			continue
		}
		met = met && e.Ver == x.Ver
		current = append(current, x)
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.version++
	for _, x := range t.SetKeys {
		s.set(x.Table, x.Key, x.Value)
	}
	for _, x := range t.Remove {
		s.set(x.Table, x.Key, nil)
	}
	s.answer(w, http.StatusOK, nil, false, s.version)
}
