package manifestsync

import (
	"sync"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// objectRecorder gets objects from a known snapshot, or else from a source, and
// records them.
type objectRecorder struct {
	fetch manifest.ObjectGetter
	known *snapshot

	mu      sync.Mutex
	objects map[string][]byte
}

// get implements manifest.ObjectGetter.
func (r *objectRecorder) get(hash string) ([]byte, error) {
	body, err := r.find(hash)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objects[hash] = body
	return body, nil
}

func (r *objectRecorder) find(hash string) ([]byte, error) {
	if r.known != nil {
		if body, ok := r.known.objects[hash]; ok {
			return body, nil
		}
	}
	return r.fetch(hash)
}
