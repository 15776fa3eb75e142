package soak

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeFault is how the store treats one host.
type storeFault int

// Faults of the store.
const (
	storeUp storeFault = iota
	// storeBusy refuses calls.
	storeBusy
	// storeSilent answers nothing and does nothing.
	storeSilent
	// storeLossy performs writes and answers none of them.
	storeLossy
	storeFaults
)

// storedRow is a row as the platform spells it.
type storedRow struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

// store is a stand-in of the platform's table store.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[[2]string]storedRow
	changed chan struct{}
	faults  map[string]storeFault
}

func newStore() *store {
	return &store{rows: make(map[[2]string]storedRow), changed: make(chan struct{}), faults: make(map[string]storeFault)}
}

// put writes a row without a condition; a nil value removes it.
func (s *store) put(table, key string, value any) {
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			panic(err) // The values are built from strings and numbers.
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(table, key, body)
}

// set writes a row under the current version. The mutex must be held.
func (s *store) set(table, key string, value []byte) {
	s.rows[[2]string{table, key}] = storedRow{Table: table, Key: key, Value: value, Ver: s.version, Tombstone: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setFault changes how the store treats a host.
func (s *store) setFault(host string, f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[host] = f
}

// fault returns how the store treats the host.
func (s *store) fault(host string) storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[host]
}

// handler serves the store to one host.
func (s *store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", func(w http.ResponseWriter, r *http.Request) {
		listing, version := s.since(r.URL.Query().Get("Table"), 0, false)
		answerRows(w, listing, version)
	})
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, host) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.fault(host) {
		case storeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case storeSilent:
			<-r.Context().Done()
		default:
			mux.ServeHTTP(w, r)
		}
	})
}

// since returns the table's rows after the version, in their order, and the version as of
// which they are complete.
func (s *store) since(table string, after uint64, removed bool) ([]storedRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storedRow{}
	for key, r := range s.rows {
		if key[0] == table && r.Ver > after && (removed || !r.Tombstone) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if removed {
			return out[i].Ver < out[j].Ver
		}
		return out[i].Key < out[j].Key
	})
	return out, s.version
}

// feed waits for changes.
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
			answerRows(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answerRows(w, rows, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answerRows writes rows with the version as of which they are complete.
func answerRows(w http.ResponseWriter, rows []storedRow, version uint64) {
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "Ver": version, "HasMore": false})
}

// transact applies a conditional change.
func (s *store) transact(w http.ResponseWriter, r *http.Request, host string) {
	var t struct{ ExpectedRev, SetKeys, Remove []storedRow }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range t.ExpectedRev {
		held := s.rows[[2]string{e.Table, e.Key}]
		if held.Tombstone {
			held.Ver = 0
		}
		if held.Ver != e.Ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	version := s.version
	for _, e := range t.SetKeys {
		s.set(e.Table, e.Key, e.Value)
	}
	for _, e := range t.Remove {
		s.set(e.Table, e.Key, nil)
	}
	s.mu.Unlock()
	if s.fault(host) == storeLossy {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Ver": version})
}
