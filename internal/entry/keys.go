package entry

import (
	"crypto/rand"
	"crypto/subtle"
	"sync"
)

// secretSize is the length of a cancel key in protocol version 3.0, in bytes.
const secretSize = 4

// keys holds the cancel keys of the callers' connections.
type keys struct {
	mu      sync.Mutex
	last    uint32
	callers map[uint32]*caller
}

// newKeys returns an empty set.
func newKeys() *keys { return &keys{callers: make(map[uint32]*caller)} }

// add gives the caller a process ID and a secret.
func (k *keys) add(c *caller) {
	c.secret = make([]byte, secretSize)
	_, _ = rand.Read(c.secret) // crypto/rand.Read never fails.
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		k.last++
		if _, used := k.callers[k.last]; !used && k.last != 0 {
			break
		}
	}
	c.processID = k.last
	k.callers[c.processID] = c
}

// remove forgets the caller's key.
func (k *keys) remove(c *caller) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.callers, c.processID)
}

// find returns the caller of a key, nil if the key is wrong.
func (k *keys) find(processID uint32, secret []byte) *caller {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.callers[processID]
	if c == nil || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return nil
	}
	return c
}
