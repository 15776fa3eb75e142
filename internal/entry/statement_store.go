package entry

import (
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// statement is a prepared statement of a caller.
type statement struct {
	name string
	text string
	// parse is the encoded Parse message with the empty name.
	parse []byte
}

// statementStore holds the prepared statements of a caller by name. The unnamed statement
// has the empty name.
type statementStore struct {
	byName map[string]*statement
	// size is the total size of the Parse messages, in bytes.
	size     int
	maxBytes int
}

// newStatementStore returns an empty store for at most maxBytes of Parse messages.
func newStatementStore(maxBytes int) *statementStore {
	return &statementStore{byName: make(map[string]*statement), maxBytes: maxBytes}
}

// put adds or replaces a statement.
func (s *statementStore) put(st *statement) {
	s.remove(st.name)
	s.byName[st.name] = st
	s.size += len(st.parse)
}

// remove deletes a statement.
func (s *statementStore) remove(name string) {
	if old := s.byName[name]; old != nil {
		s.size -= len(old.parse)
		delete(s.byName, name)
	}
}

// clear deletes all statements.
func (s *statementStore) clear() {
	clear(s.byName)
	s.size = 0
}

// statementChange is a change of the store by a Parse or Close in a batch. It is applied
// when the answer shows that the message succeeded.
type statementChange struct {
	// put is the statement that a Parse adds, nil for other changes.
	put *statement
	// closed is true if a Close removes the statement called name.
	closed bool
	name   string
	// injected is true for a Parse that the entry added. Its ParseComplete is removed
	// from the answer.
	injected bool
}

// apply applies a change.
func (s *statementStore) apply(c statementChange) {
	if c.put != nil {
		s.put(c.put)
	}
	if c.closed {
		s.remove(c.name)
	}
}

// selfContainedBatch is a batch that can run on any connection, because it parses each
// prepared statement that it uses.
type selfContainedBatch struct {
	data []byte
	// executedTexts are the SQL texts that the batch executes.
	executedTexts []string
	// parsedTexts are the SQL texts that the batch parses or describes.
	parsedTexts []string
	// parses and closes are the changes by the Parse and Close messages, in order. The
	// Close of a portal is an empty change, since it also gets a CloseComplete.
	parses []statementChange
	closes []statementChange
	// endsWithFlush is true if the caller ended the batch with Flush.
	endsWithFlush bool
}

// composer builds a selfContainedBatch from a caller's batch.
type composer struct {
	store *statementStore
	out   *selfContainedBatch
	// pending holds the statements that the batch itself parses, and nil for those that it
	// closes.
	pending map[string]*statement
	// unnamed is the statement that the owner's connection holds as the unnamed statement
	// at this point of the batch.
	unnamed *statement
	size    int
}

// syncMessage is an encoded Sync.
var syncMessage = []byte{typeSync, 0, 0, 0, 4}

// compose makes a batch self-contained: it adds the Parse of each statement that an earlier
// batch has parsed, before the first message that uses it.
func (s *statementStore) compose(b *batch) (*selfContainedBatch, *refusal) {
	c := composer{store: s, out: &selfContainedBatch{}, pending: make(map[string]*statement), size: s.size}
	c.out.data = make([]byte, 0, len(b.data))
	for _, m := range b.messages {
		if refused := c.add(b, m); refused != nil {
			return nil, refused
		}
	}
	return c.out, nil
}

// add appends one message.
func (c *composer) add(b *batch, m message) *refusal {
	switch m.messageType {
	case typeQuery:
		c.out.executedTexts = append(c.out.executedTexts, m.text)
	case typeParse:
		return c.parse(b, m)
	case typeBind:
		return c.addWithParse(b, m, &c.out.executedTexts)
	case typeDescribe:
		if m.objectType == objectStatement {
			return c.addWithParse(b, m, &c.out.parsedTexts)
		}
	case typeClose:
		c.close(m)
	case typeFlush:
		c.out.endsWithFlush = true
		c.out.data = append(c.out.data, syncMessage...)
		return nil
	}
	c.out.data = append(c.out.data, b.encoded(m)...)
	return nil
}

// lookup returns the statement with the name at this point of the batch, nil if there is
// none.
func (c *composer) lookup(name string) *statement {
	if st, ok := c.pending[name]; ok {
		return st
	}
	return c.store.byName[name]
}

// parse appends a Parse of the caller.
func (c *composer) parse(b *batch, m message) *refusal {
	if m.statement != "" && c.lookup(m.statement) != nil {
		return notRun(stateDuplicateStatement, metrics.RefusedProtocol, "prepared statement %q already exists", m.statement)
	}
	st := &statement{name: m.statement, text: m.text, parse: append([]byte(nil), b.encoded(m)...)}
	c.size += len(st.parse)
	if c.size > c.store.maxBytes {
		return notRun(stateLimitExceeded, metrics.RefusedOversize, "prepared statements of the connection exceed %d bytes", c.store.maxBytes)
	}
	c.pending[m.statement] = st
	c.unnamed = st
	c.out.parsedTexts = append(c.out.parsedTexts, m.text)
	c.out.parses = append(c.out.parses, statementChange{put: st})
	c.out.data = append(c.out.data, st.parse...)
	return nil
}

// addWithParse appends a message that uses a statement. If another statement is the unnamed
// one at this point, it first appends the Parse of the statement.
func (c *composer) addWithParse(b *batch, m message, texts *[]string) *refusal {
	st := c.lookup(m.statement)
	if st == nil {
		return notRun(stateUnknownStatement, metrics.RefusedProtocol, "prepared statement %q does not exist", m.statement)
	}
	if c.unnamed != st {
		c.out.parses = append(c.out.parses, statementChange{injected: true})
		c.out.data = append(c.out.data, st.parse...)
		c.unnamed = st
	}
	*texts = append(*texts, st.text)
	c.out.data = append(c.out.data, b.encoded(m)...)
	return nil
}

// close records a Close. The message is still sent to the owner, so that its CloseComplete
// is in the right place in the answer.
func (c *composer) close(m message) {
	if m.objectType != objectStatement {
		c.out.closes = append(c.out.closes, statementChange{})
		return
	}
	c.pending[m.statement] = nil
	c.unnamed = nil
	c.out.closes = append(c.out.closes, statementChange{closed: true, name: m.statement})
}
