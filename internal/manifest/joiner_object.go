package manifest

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// object returns the decoded object of a hash. Only objects that were not part
// of the last manifest are fetched, verified, decoded and checked.
func object[T any](j *Joiner, hash string, check func(*T) error) (*T, error) {
	if v, ok := j.decoded[hash].(*T); ok {
		j.next[hash] = v
		return v, nil
	}
	body, err := j.get(hash)
	if err != nil {
		return nil, &ObjectError{Hash: hash, Err: err}
	}
	v := new(T)
	if err := decodeObject(hash, body, v, check); err != nil {
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
		return err
	}
	if check == nil {
		return nil
	}
	return check(v)
}

// checkRoot refuses formats that this version cannot read.
func checkRoot(r *rootObject) error {
	if r.Version != FormatVersion {
		return errors.Newf("format version %d is not supported", r.Version)
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
