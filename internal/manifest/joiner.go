package manifest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// errHash reports content that is not the one its hash names.
var errHash = errors.New("content does not have this hash")

// errDecode reports content that this version cannot read.
var errDecode = errors.New("content cannot be read")

// Getter returns the object of a hash. It must be safe for concurrent use if the
// Joiner is parallel.
type Getter func(hash string) ([]byte, error)

// Join assembles and checks the manifest of a root hash.
func Join(root string, get Getter) (*Document, error) {
	return NewJoiner(1).Join(root, get)
}

// Joiner assembles manifests and keeps the decoded objects of the last one, so
// that a change of one pool of thousands decodes only the objects that changed.
// It is not safe for concurrent use.
type Joiner struct {
	decoded map[string]any
	next    map[string]any
	// bodies holds objects that were fetched and not decoded yet.
	bodies   map[string][]byte
	get      Getter
	parallel int
	root     string
	history  []Acceptance
}

// NewJoiner returns a joiner without decoded objects, which fetches at most
// parallel objects at once.
func NewJoiner(parallel int) *Joiner { return &Joiner{parallel: parallel} }

// Join assembles the manifest of a root hash. Pools are sorted by name. Content
// that does not have its hash, is missing or is not valid gives an *ObjectError.
// Keys that this version does not know are ignored, so that daemons of two
// versions run side by side.
func (j *Joiner) Join(root string, get Getter) (*Document, error) {
	j.get = get
	j.bodies = make(map[string][]byte)
	j.next = make(map[string]any, len(j.decoded))
	doc, err := j.document(root)
	if err != nil {
		return nil, err
	}
	j.decoded = j.next
	return doc, nil
}

// History returns the manifests that were accepted before the last one joined,
// newest first.
func (j *Joiner) History() []Acceptance { return j.history }

// CheckGeneration returns an *ObjectError if the history of the last manifest
// joined says that it cannot be of this generation.
func (j *Joiner) CheckGeneration(generation uint64) error {
	if len(j.history) == 0 || j.history[0].Generation+1 == generation {
		return nil
	}
	err := fmt.Errorf("%w: it follows generation %d, so that it is not generation %d", errDecode, j.history[0].Generation, generation)
	return &ObjectError{Hash: j.root, Err: err}
}

// References returns the hashes of all objects of the last manifest joined.
func (j *Joiner) References() map[string]bool {
	refs := make(map[string]bool, len(j.decoded))
	for h := range j.decoded {
		refs[h] = true
	}
	return refs
}

// document assembles the manifest, and fetches the objects of each level
// together.
func (j *Joiner) document(root string) (*Document, error) {
	if err := j.fetch([]string{root}); err != nil {
		return nil, err
	}
	r, err := object(j, root, checkRoot)
	if err != nil {
		return nil, err
	}
	if err := j.fetch(append([]string{r.Shared}, r.Buckets...)); err != nil {
		return nil, err
	}
	shared, err := object(j, r.Shared, checkShared)
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

// poolRefs returns the pools that all buckets name, sorted by name. A name in a
// bucket that it does not belong to is refused, so that no pool appears twice.
func (j *Joiner) poolRefs(buckets []string) ([]poolRef, error) {
	var refs []poolRef
	for i, h := range buckets {
		if h == "" {
			continue
		}
		b, err := object[bucketObject](j, h, nil)
		if err != nil {
			return nil, err
		}
		for name, hash := range b.Pools {
			if bucketOf(name) != i {
				return nil, &ObjectError{Hash: h, Err: fmt.Errorf("%w: pool %q is in bucket %d", errDecode, name, i)}
			}
			refs = append(refs, poolRef{name: name, hash: hash})
		}
	}
	slices.SortFunc(refs, func(a, b poolRef) int { return strings.Compare(a.name, b.name) })
	return refs, nil
}

// pools fetches and returns the pools.
func (j *Joiner) pools(refs []poolRef) ([]Pool, error) {
	hashes := make([]string, len(refs))
	for i, r := range refs {
		hashes[i] = r.hash
	}
	if err := j.fetch(hashes); err != nil {
		return nil, err
	}
	pools := make([]Pool, len(refs))
	for i, r := range refs {
		p, err := object(j, r.hash, checkPool)
		if err != nil {
			return nil, err
		}
		if p.Name != r.name {
			return nil, &ObjectError{Hash: r.hash, Err: fmt.Errorf("%w: pool is %q, its bucket says %q", errDecode, p.Name, r.name)}
		}
		pools[i] = *p
	}
	return pools, nil
}
