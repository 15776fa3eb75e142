package manifest

import (
	"encoding/json"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// fetch gets those of the objects that were not part of the last manifest.
func (j *Joiner) fetch(hashes []string) error {
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

// object returns the decoded object of a hash. Only objects that were not part
// of the last manifest are verified, decoded and checked.
func object[T any](j *Joiner, hash string, check func(*T) error) (*T, error) {
	if v, ok := j.decoded[hash].(*T); ok {
		j.next[hash] = v
		return v, nil
	}
	v := new(T)
	if err := decodeObject(hash, j.bodies[hash], v, check); err != nil {
		return nil, &ObjectError{Hash: hash, Err: err}
	}
	j.next[hash] = v
	return v, nil
}

func decodeObject[T any](hash string, body []byte, v *T, check func(*T) error) error {
	if Hash(body) != hash {
		return errHash
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errDecode, err)
	}
	if check == nil {
		return nil
	}
	return check(v)
}

// checkRoot refuses formats that this version cannot read.
func checkRoot(r *rootObject) error {
	if r.Version != FormatVersion {
		return fmt.Errorf("%w: format version %d is not supported", errDecode, r.Version)
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
	l.Required("/name", p.Name)
	p.validate(&l, "", newUnique(&l))
	return l.Err()
}
