package platform

// Counts holds how many requests took effect.
type Counts struct {
	TableReads   int `json:"table_reads"`
	TableWrites  int `json:"table_writes"`
	Conflicts    int `json:"conflicts"`
	ObjectReads  int `json:"object_reads"`
	ObjectWrites int `json:"object_writes"`
}

// Counts returns how many requests took effect so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
