package history

import "sync"

// Recorder collects operations of concurrent callers.
type Recorder struct {
	mu  sync.Mutex
	ops []Op
}

// Add records a finished operation.
func (r *Recorder) Add(op Op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// Ops returns a copy of what was recorded.
func (r *Recorder) Ops() []Op {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Op(nil), r.ops...)
}
