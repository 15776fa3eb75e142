package manifestsync

import (
	"sync"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// recorder gets objects from the manifest held, otherwise from a source, and
// records them.
type recorder struct {
	fetch manifest.Getter
	have  *held

	mu  sync.Mutex
	got map[string][]byte
}

// get implements manifest.Getter.
func (r *recorder) get(hash string) ([]byte, error) {
	body, err := r.find(hash)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.got[hash] = body
	return body, nil
}

func (r *recorder) find(hash string) ([]byte, error) {
	if r.have != nil {
		if body, ok := r.have.objects[hash]; ok {
			return body, nil
		}
	}
	return r.fetch(hash)
}
