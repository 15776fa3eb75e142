package soak

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeFault is the fault that the store shows to one host.
type storeFault int

// Faults of the store.
const (
	storeHealthy storeFault = iota
	// storeUnavailable answers every request with status 503.
	storeUnavailable
	// storeHangs neither executes nor answers requests.
	storeHangs
	// storeLosesAnswers executes writes but does not answer them.
	storeLosesAnswers
	storeFaultCount
)

// storedRow is a row in the JSON form of the platform. Fields without a tag are encoded
// under their Go names.
type storedRow struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

// store is a stand-in for the platform's table store.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[[2]string]storedRow
	changed chan struct{}
	faults  map[string]storeFault
	// addresses translates the addresses of hosts to those of the proxies in front of them.
	addresses map[string]string
	// onClaim, if set, is called when a host has written a claim, before the write is answered.
	onClaim func(host string)
}

func newStore() *store {
	return &store{rows: make(map[[2]string]storedRow), changed: make(chan struct{}), faults: make(map[string]storeFault), addresses: make(map[string]string)}
}

// put writes a row unconditionally; a nil value removes the row.
func (s *store) put(table, key string, value any) {
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			panic(err) // The values consist of strings and numbers, which can be encoded.
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(table, key, body)
}

// set writes a row with the current version. s.mu must be held.
func (s *store) set(table, key string, value []byte) {
	s.rows[[2]string{table, key}] = storedRow{Table: table, Key: key, Value: value, Ver: s.version, Tombstone: value == nil}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setFault sets the fault that the store shows to the host.
func (s *store) setFault(host string, f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[host] = f
}

// fault returns the fault that the store shows to the host.
func (s *store) fault(host string) storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[host]
}

// handler serves the store to one host.
func (s *store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", func(w http.ResponseWriter, r *http.Request) {
		listing, version := s.rowsSince(r.URL.Query().Get("Table"), 0, false)
		writeRows(w, listing, version)
	})
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.serveTransaction(w, r, host) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.fault(host) {
		case storeUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case storeHangs:
			<-r.Context().Done()
		default:
			mux.ServeHTTP(w, r)
		}
	})
}

// rowsSince returns the table's rows with a higher version than after, and the version
// as of which they are complete. With tombstones, the rows are in the order of their
// versions, otherwise in the order of their keys.
func (s *store) rowsSince(table string, after uint64, withTombstones bool) ([]storedRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storedRow{}
	for key, r := range s.rows {
		if key[0] == table && r.Ver > after && (withTombstones || !r.Tombstone) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if withTombstones {
			return out[i].Ver < out[j].Ver
		}
		return out[i].Key < out[j].Key
	})
	return out, s.version
}

// serveFeed answers with the rows that changed after the given version. It waits for a
// change for at most the time that the request states.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		rows, version := s.rowsSince(q.Get("Table"), after, true)
		if len(rows) > 0 {
			writeRows(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeRows(w, rows, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeRows answers with rows and the version as of which they are complete.
func writeRows(w http.ResponseWriter, rows []storedRow, version uint64) {
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "Ver": version, "HasMore": false})
}

// serveTransaction applies a transaction if the rows that it names still have the
// expected versions.
func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request, host string) {
	var tx struct{ ExpectedRev, SetKeys, Remove []storedRow }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, row := range tx.ExpectedRev {
		current := s.rows[[2]string{row.Table, row.Key}]
		if current.Tombstone {
			current.Ver = 0
		}
		if current.Ver != row.Ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	version := s.version
	var onClaim func(host string)
	for _, row := range tx.SetKeys {
		if strings.Contains(row.Key, "claim/") {
			onClaim = s.onClaim
		}
		for address, proxied := range s.addresses {
			row.Value = bytes.ReplaceAll(row.Value, []byte(`"`+address+`"`), []byte(`"`+proxied+`"`))
		}
		s.set(row.Table, row.Key, row.Value)
	}
	for _, row := range tx.Remove {
		s.set(row.Table, row.Key, nil)
	}
	s.mu.Unlock()
	if onClaim != nil {
		onClaim(host)
	}
	if s.fault(host) == storeLosesAnswers {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Ver": version})
}
