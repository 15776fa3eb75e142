package platform

import (
	"encoding/json"
	"net/http"
)

// serveFaults returns the switches.
func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) }

// serveSetFaults replaces the switches.
func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// serveCounts returns the counts.
func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client has gone if this fails.
}
