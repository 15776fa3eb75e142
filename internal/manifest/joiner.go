package manifest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// errHashMismatch reports content that does not match its hash.
var errHashMismatch = errors.New("content does not match its hash")

// errUnreadable reports content that this version cannot read.
var errUnreadable = errors.New("content cannot be read")

// ObjectGetter returns the object with a hash. It must be safe for concurrent
// use if the Joiner fetches in parallel.
type ObjectGetter func(hash string) ([]byte, error)

// Join assembles and checks the manifest with a root hash.
func Join(root string, get ObjectGetter) (*Document, error) {
	return NewJoiner(1).Join(root, get)
}

// Joiner assembles manifests. It keeps the decoded objects of the last
// manifest, so that after a change of one pool among thousands it decodes only
// the changed objects. It is not safe for concurrent use.
type Joiner struct {
	decoded     map[string]any
	nextDecoded map[string]any
	// bodies holds objects that were fetched but not decoded yet.
	bodies   map[string][]byte
	get      ObjectGetter
	parallel int
	root     string
	history  []Acceptance
}

// NewJoiner returns a joiner that fetches at most parallel objects at once.
func NewJoiner(parallel int) *Joiner { return &Joiner{parallel: parallel} }

// Join assembles the manifest with a root hash. Pools are sorted by name. Join
// returns an *ObjectError if an object is missing, does not match its hash or
// is not valid. It ignores unknown keys, so that daemons of two versions can
// run side by side.
func (j *Joiner) Join(root string, get ObjectGetter) (*Document, error) {
	j.get = get
	j.bodies = make(map[string][]byte)
	j.nextDecoded = make(map[string]any, len(j.decoded))
	doc, err := j.assemble(root)
	if err != nil {
		return nil, err
	}
	j.decoded = j.nextDecoded
	return doc, nil
}

// History returns the manifests that were accepted before the last one joined,
// newest first.
func (j *Joiner) History() []Acceptance { return j.history }

// CheckGeneration returns an *ObjectError if the last manifest joined cannot be
// of this generation according to its history.
func (j *Joiner) CheckGeneration(generation uint64) error {
	if len(j.history) == 0 || j.history[0].Generation+1 == generation {
		return nil
	}
	err := fmt.Errorf("%w: by its history it follows generation %d, so that it cannot be generation %d", errUnreadable, j.history[0].Generation, generation)
	return &ObjectError{Hash: j.root, Err: err}
}

// ObjectHashes returns the hashes of all objects of the last manifest joined.
func (j *Joiner) ObjectHashes() map[string]bool {
	refs := make(map[string]bool, len(j.decoded))
	for h := range j.decoded {
		refs[h] = true
	}
	return refs
}

// assemble assembles the manifest. It fetches the objects of each level in one
// batch.
func (j *Joiner) assemble(root string) (*Document, error) {
	if err := j.fetchMissing([]string{root}); err != nil {
		return nil, err
	}
	r, err := loadObject(j, root, checkRoot)
	if err != nil {
		return nil, err
	}
	if err := j.fetchMissing(append([]string{r.Shared}, r.Buckets...)); err != nil {
		return nil, err
	}
	shared, err := loadObject(j, r.Shared, checkShared)
	if err != nil {
		return nil, err
	}
	doc := &Document{Version: r.Version, Deployment: shared.Deployment, Hosts: shared.Hosts}
	refs, err := j.poolRefs(r.Buckets)
	if err != nil {
		return nil, err
	}
	if doc.Pools, err = j.pools(refs); err != nil {
		return nil, err
	}
	j.root = root
	j.history = r.History
	return doc, nil
}

// poolRefs returns the pools of all buckets, sorted by name. It rejects a pool
// that is listed in the wrong bucket, so that no pool appears twice.
func (j *Joiner) poolRefs(buckets []string) ([]poolRef, error) {
	var refs []poolRef
	for i, h := range buckets {
		if h == "" {
			continue
		}
		b, err := loadObject[bucketObject](j, h, nil)
		if err != nil {
			return nil, err
		}
		for name, hash := range b.Pools {
			if bucketOf(name) != i {
				return nil, &ObjectError{Hash: h, Err: fmt.Errorf("%w: pool %q is listed in the wrong bucket (%d)", errUnreadable, name, i)}
			}
			refs = append(refs, poolRef{name: name, hash: hash})
		}
	}
	slices.SortFunc(refs, func(a, b poolRef) int { return strings.Compare(a.name, b.name) })
	return refs, nil
}

// pools fetches, decodes and returns the pools.
func (j *Joiner) pools(refs []poolRef) ([]Pool, error) {
	hashes := make([]string, len(refs))
	for i, r := range refs {
		hashes[i] = r.hash
	}
	if err := j.fetchMissing(hashes); err != nil {
		return nil, err
	}
	pools := make([]Pool, len(refs))
	for i, r := range refs {
		p, err := loadObject(j, r.hash, checkPool)
		if err != nil {
			return nil, err
		}
		if p.Name != r.name {
			return nil, &ObjectError{Hash: r.hash, Err: fmt.Errorf("%w: object is of pool %q, but its bucket lists it as pool %q", errUnreadable, p.Name, r.name)}
		}
		pools[i] = *p
	}
	return pools, nil
}
