package entry

import (
	"crypto/rand"
	"crypto/subtle"
	"sync"
)

// cancelSecretBytes is the length of a cancel key's secret in protocol version 3.0.
const cancelSecretBytes = 4

// cancelKeys holds the cancel keys (process ID and secret) of the callers' connections.
type cancelKeys struct {
	mu    sync.Mutex
	last  uint32
	conns map[uint32]*callerConn
}

// newCancelKeys returns cancelKeys without a connection.
func newCancelKeys() *cancelKeys { return &cancelKeys{conns: make(map[uint32]*callerConn)} }

// add gives the connection a process ID and a secret.
func (k *cancelKeys) add(c *callerConn) {
	c.secret = make([]byte, cancelSecretBytes)
	_, _ = rand.Read(c.secret) // crypto/rand.Read never fails.
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		k.last++
		if _, used := k.conns[k.last]; !used && k.last != 0 {
			break
		}
	}
	c.processID = k.last
	k.conns[c.processID] = c
}

// remove deletes the connection's key.
func (k *cancelKeys) remove(c *callerConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c.processID)
}

// find returns the connection with the key, nil if there is none.
func (k *cancelKeys) find(processID uint32, secret []byte) *callerConn {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.conns[processID]
	if c == nil || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return nil
	}
	return c
}
