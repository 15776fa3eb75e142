package platform

// Counts holds the numbers of requests that took effect, and of conditional writes that
// were refused as conflicts.
type Counts struct {
	TableReads   int `json:"table_reads"`
	TableWrites  int `json:"table_writes"`
	Conflicts    int `json:"conflicts"`
	ObjectReads  int `json:"object_reads"`
	ObjectWrites int `json:"object_writes"`
}

// Counts returns the current counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
