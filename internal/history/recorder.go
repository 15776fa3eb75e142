package history

import "sync"

// Recorder collects the operations of concurrent callers. The zero value is ready to
// use.
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

// Ops returns a copy of the recorded operations, in the order in which they finished.
func (r *Recorder) Ops() []Op {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Op(nil), r.ops...)
}
