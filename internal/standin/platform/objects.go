package platform

import (
	"encoding/xml"
	"io"
	"net/http"
)

// maxObjectBytes bounds the size of an object.
const maxObjectBytes = 64 << 20

// objectError is the body of an S3 error.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

// servePutObject serves PUT requests of the S3 API.
func (s *Server) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		writeObjectError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	s.applyFaults()
	s.mu.Lock()
	s.objects[r.URL.Path] = body
	s.counts.ObjectWrites++
	s.mu.Unlock()
	s.loseAnswer(&s.faults.LoseObjectAnswers)
}

// serveGetObject serves GET requests of the S3 API.
func (s *Server) serveGetObject(w http.ResponseWriter, r *http.Request) {
	s.applyFaults()
	s.mu.Lock()
	body, ok := s.objects[r.URL.Path]
	s.counts.ObjectReads++
	s.mu.Unlock()
	if !ok {
		writeObjectError(w, http.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // Fails only if the client has disconnected.
}

func writeObjectError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(objectError{Code: code, Message: message}) // Fails only if the client has disconnected.
}
