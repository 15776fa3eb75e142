package manifest

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// errHash reports content that is not the one its hash names.
var errHash = errors.New("content does not have this hash")

// Getter returns the object of a hash.
type Getter func(hash string) ([]byte, error)

// Join assembles and checks the manifest of a root hash.
func Join(root string, get Getter) (*Document, error) {
	return NewJoiner().Join(root, get)
}

// Joiner assembles manifests and keeps the decoded objects of the last one, so
// that a change of one pool of thousands decodes only the objects that changed.
// It is not safe for concurrent use.
type Joiner struct {
	decoded map[string]any
	next    map[string]any
	get     Getter
}

// NewJoiner returns a joiner without decoded objects.
func NewJoiner() *Joiner { return &Joiner{} }

// Join assembles the manifest of a root hash. Pools are sorted by name. Content
// that does not have its hash, is missing or is not valid gives an *ObjectError.
// Keys that this version does not know are ignored, so that daemons of two
// versions run side by side.
func (j *Joiner) Join(root string, get Getter) (*Document, error) {
	j.get = get
	j.next = make(map[string]any, len(j.decoded))
	doc, err := j.document(root)
	if err != nil {
		return nil, err
	}
	j.decoded = j.next
	return doc, nil
}

// References returns the hashes of all objects of the last manifest joined.
func (j *Joiner) References() map[string]bool {
	refs := make(map[string]bool, len(j.decoded))
	for h := range j.decoded {
		refs[h] = true
	}
	return refs
}

func (j *Joiner) document(root string) (*Document, error) {
	r, err := object(j, root, checkRoot)
	if err != nil {
		return nil, err
	}
	shared, err := object(j, r.Shared, checkShared)
	if err != nil {
		return nil, err
	}
	doc := &Document{Version: r.Version, Deployment: shared.Deployment, Hosts: shared.Hosts}
	for _, h := range r.Buckets {
		if h == "" {
			continue
		}
		if doc.Pools, err = j.bucket(doc.Pools, h); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(doc.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return doc, nil
}

// bucket appends the pools of a bucket.
func (j *Joiner) bucket(pools []Pool, hash string) ([]Pool, error) {
	b, err := object[bucketObject](j, hash, nil)
	if err != nil {
		return nil, err
	}
	for _, h := range b.Pools {
		p, err := object(j, h, checkPool)
		if err != nil {
			return nil, err
		}
		pools = append(pools, *p)
	}
	return pools, nil
}
