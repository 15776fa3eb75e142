package database

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// faultsDocument is the JSON form of Faults. When faults are set, members that are
// absent keep their values.
type faultsDocument struct {
	ReceiveLagMs   *int64 `json:"receive_lag_ms"`
	ApplyLagMs     *int64 `json:"apply_lag_ms"`
	ServiceTimeMs  *int64 `json:"service_time_ms"`
	Cut            *bool  `json:"cut"`
	CutClients     *bool  `json:"cut_clients"`
	CutReplication *bool  `json:"cut_replication"`
	Paused         *bool  `json:"paused"`
}

// serveAdmin starts the admin server with GET and POST /faults and GET /status.
func (s *Server) serveAdmin() error {
	listener, err := net.Listen("tcp", s.cfg.AdminListen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", s.getFaults)
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /status", s.getStatus)
	s.admin = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.adminAddress = listener.Addr().String()
	s.goTracked(func() { _ = s.admin.Serve(listener) })
	return nil
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, documentOf(s.Faults()))
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var d faultsDocument
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(d.apply)
	writeJSON(w, documentOf(s.Faults()))
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func documentOf(f Faults) faultsDocument {
	receive, apply, service := f.ReceiveLag.Milliseconds(), f.ApplyLag.Milliseconds(), f.ServiceTime.Milliseconds()
	return faultsDocument{
		ReceiveLagMs:   &receive,
		ApplyLagMs:     &apply,
		ServiceTimeMs:  &service,
		Cut:            &f.Cut,
		CutClients:     &f.CutClients,
		CutReplication: &f.CutReplication,
		Paused:         &f.Paused,
	}
}

func (d faultsDocument) apply(f *Faults) {
	setDuration(&f.ReceiveLag, d.ReceiveLagMs)
	setDuration(&f.ApplyLag, d.ApplyLagMs)
	setDuration(&f.ServiceTime, d.ServiceTimeMs)
	setBool(&f.Cut, d.Cut)
	setBool(&f.CutClients, d.CutClients)
	setBool(&f.CutReplication, d.CutReplication)
	setBool(&f.Paused, d.Paused)
}

func setDuration(to *time.Duration, ms *int64) {
	if ms != nil {
		*to = time.Duration(*ms) * time.Millisecond
	}
}

func setBool(to *bool, v *bool) {
	if v != nil {
		*to = *v
	}
}
