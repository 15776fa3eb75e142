package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for an answer, as at the users' sites.
const storeAnswerTime = 4 * time.Millisecond

// storedRow is a row in the platform's JSON form. Fields without a tag have their Go names.
type storedRow struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	mu      sync.Mutex
	began   time.Time
	version uint64
	rows    map[[2]string]storedRow
	changed chan struct{}
	// addresses translates the admin addresses of daemons to those of the proxies in
	// front of them, so that the paths between daemons can be cut.
	addresses map[string]string
	record    *record
	// onWrite is called after each write of a daemon, before it is answered.
	onWrite func(table, key string, value []byte)
}

func newStore(r *record) *store {
	return &store{
		began: time.Now(), rows: make(map[[2]string]storedRow), changed: make(chan struct{}),
		addresses: make(map[string]string), record: r,
	}
}

// put writes a row for the operator or a server; a nil value removes it.
func (s *store) put(table, key string, value any) {
	var body []byte
	if value != nil {
		body, _ = json.Marshal(value) // The values hold strings and numbers only.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if body == nil && s.rows[[2]string{table, key}].Tombstone {
		return
	}
	s.version++
	s.set(table, key, body)
}

// set writes a row at the current version. The mutex must be held.
func (s *store) set(table, key string, value []byte) {
	s.rows[[2]string{table, key}] = storedRow{Table: table, Key: key, Value: value, Ver: s.version, Tombstone: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the daemons.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		mux.ServeHTTP(w, r)
	})
}

// since returns the rows of a table above a version and the newest version.
func (s *store) since(table string, after uint64, tombstones bool) ([]storedRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storedRow{}
	for key, r := range s.rows {
		if key[0] == table && r.Ver > after && (tombstones || !r.Tombstone) {
			out = append(out, r)
		}
	}
	return out, s.version
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	rows, version := s.since(r.URL.Query().Get("Table"), 0, false)
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		rows, version := s.since(q.Get("Table"), after, true)
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.answer(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, rows, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storedRow, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "Ver": version, "HasMore": false, "NowMs": time.Since(s.began).Milliseconds()})
}

// transact applies a transaction if the rows that it names have the expected versions.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ ExpectedRev, SetKeys, Remove []storedRow }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]storedRow{}, tx.SetKeys...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	status, current, version := s.apply(tx.ExpectedRev, tx.SetKeys, tx.Remove)
	s.answer(w, status, current, version)
}

func (s *store) apply(expected, set, remove []storedRow) (int, []storedRow, uint64) {
	s.mu.Lock()
	status := http.StatusOK
	current := []storedRow{}
	for _, row := range expected {
		now := s.rows[[2]string{row.Table, row.Key}]
		if now.Tombstone {
			now = storedRow{}
		}
		if now.Ver != row.Ver {
			status = http.StatusPreconditionFailed
		}
		if now.Ver != 0 {
			current = append(current, now)
		}
	}
	if status != http.StatusOK {
		s.mu.Unlock()
		return status, current, s.version
	}
	s.version++
	version := s.version
	for i, row := range set {
		for real, proxied := range s.addresses {
			set[i].Value = bytes.ReplaceAll(set[i].Value, []byte(`"`+real+`"`), []byte(`"`+proxied+`"`))
		}
		s.set(row.Table, row.Key, set[i].Value)
	}
	for _, row := range remove {
		s.set(row.Table, row.Key, nil)
	}
	s.mu.Unlock()
	for _, row := range set {
		s.record.line("store: %s/%s is written at version %d: %s", row.Table, row.Key, version, row.Value)
		if s.onWrite != nil {
			s.onWrite(row.Table, row.Key, row.Value)
		}
	}
	for _, row := range remove {
		s.record.line("store: %s/%s is removed at version %d", row.Table, row.Key, version)
	}
	return status, nil, version
}
