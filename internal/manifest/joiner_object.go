package manifest

import (
	"encoding/json"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// fetchMissing fetches the objects that were not part of the last manifest.
func (j *Joiner) fetchMissing(hashes []string) error {
	var group errgroup.Group
	group.SetLimit(j.parallel)
	var mu sync.Mutex
	for _, h := range hashes {
		if h == "" || j.decoded[h] != nil {
			continue
		}
		group.Go(func() error {
			body, err := j.get(h)
			if err != nil {
				return &ObjectError{Hash: h, Err: err}
			}
			mu.Lock()
			defer mu.Unlock()
			j.bodies[h] = body
			return nil
		})
	}
	return group.Wait()
}

// loadObject returns the decoded object with a hash. It verifies, decodes and
// checks only objects that were not part of the last manifest.
func loadObject[T any](j *Joiner, hash string, check func(*T) error) (*T, error) {
	if v, ok := j.decoded[hash].(*T); ok {
		j.nextDecoded[hash] = v
		return v, nil
	}
	v := new(T)
	if err := decodeObject(hash, j.bodies[hash], v, check); err != nil {
		return nil, &ObjectError{Hash: hash, Err: err}
	}
	j.nextDecoded[hash] = v
	return v, nil
}

func decodeObject[T any](hash string, body []byte, v *T, check func(*T) error) error {
	if Hash(body) != hash {
		return errHashMismatch
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errUnreadable, err)
	}
	if check == nil {
		return nil
	}
	return check(v)
}

// checkRoot rejects formats that this version cannot read.
func checkRoot(r *rootObject) error {
	if r.Version != FormatVersion {
		return fmt.Errorf("%w: format version %d is not supported", errUnreadable, r.Version)
	}
	return nil
}

func checkShared(s *sharedObject) error {
	var l findings.List
	d := Document{Deployment: s.Deployment, Hosts: s.Hosts}
	d.validateShared(&l)
	return l.Err()
}

func checkPool(p *Pool) error {
	var l findings.List
	l.CheckRequired("/name", p.Name)
	p.validate(&l, "", newUniqueValues(&l))
	return l.Err()
}
