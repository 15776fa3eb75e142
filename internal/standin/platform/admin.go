package platform

import (
	"encoding/json"
	"net/http"
)

// serveFaults serves the current fault switches.
func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) }

// serveSetFaults replaces the fault switches.
func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// serveCounts serves the request counts.
func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

// writeJSON answers with the value in JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // Fails only if the client has disconnected.
}
