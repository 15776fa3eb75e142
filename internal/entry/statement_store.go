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

// statementStore holds a caller's prepared statements, by name. The unnamed
// statement has the empty name.
type statementStore struct {
	byName map[string]*statement
	// size is the number of bytes of all Parse messages.
	size  int
	limit int
}

// newStatementStore returns an empty store for at most limit bytes.
func newStatementStore(limit int) *statementStore {
	return &statementStore{byName: make(map[string]*statement), limit: limit}
}

// put adds or replaces a statement.
func (s *statementStore) put(st *statement) {
	s.remove(st.name)
	s.byName[st.name] = st
	s.size += len(st.parse)
}

// remove forgets a statement.
func (s *statementStore) remove(name string) {
	if old := s.byName[name]; old != nil {
		s.size -= len(old.parse)
		delete(s.byName, name)
	}
}

// clear forgets all statements.
func (s *statementStore) clear() {
	clear(s.byName)
	s.size = 0
}

// change is an effect of a batch on the store, applied when the answer confirms
// it.
type change struct {
	// put is the statement of a Parse, nil for other changes.
	put *statement
	// remove says that the statement name is closed.
	remove bool
	name   string
	// extra marks a Parse that the entry added; its ParseComplete is removed.
	extra bool
}

// apply carries out a change.
func (s *statementStore) apply(c change) {
	if c.put != nil {
		s.put(c.put)
	}
	if c.remove {
		s.remove(c.name)
	}
}

// prepared is a self-contained batch, ready to be sent.
type prepared struct {
	data []byte
	// texts are the SQL texts that the batch runs.
	texts []string
	// parsed are the SQL texts that the batch parses or describes.
	parsed []string
	// parses and closes are the effects of the Parse and Close messages, in order.
	parses []change
	closes []change
	// flush says that the caller ended the batch with Flush.
	flush bool
}

// composer builds a self-contained batch from a caller's batch.
type composer struct {
	store *statementStore
	out   *prepared
	// pending holds the batch's own statements; nil entries are closed ones.
	pending map[string]*statement
	// loaded is the statement that the batch so far leaves as the unnamed one.
	loaded *statement
	size   int
}

// syncMessage is an encoded Sync.
var syncMessage = []byte{typeSync, 0, 0, 0, 4}

// compose makes a batch self-contained: it prefixes each use of a statement
// that was parsed earlier by its Parse.
func (s *statementStore) compose(b *batch) (*prepared, *refusal) {
	c := composer{store: s, out: &prepared{}, pending: make(map[string]*statement), size: s.size}
	c.out.data = make([]byte, 0, len(b.data))
	for _, i := range b.items {
		if refused := c.add(b, i); refused != nil {
			return nil, refused
		}
	}
	return c.out, nil
}

// add appends one message.
func (c *composer) add(b *batch, i item) *refusal {
	switch i.kind {
	case typeQuery:
		c.out.texts = append(c.out.texts, i.text)
	case typeParse:
		return c.parse(b, i)
	case typeBind:
		return c.use(b, i, &c.out.texts)
	case typeDescribe:
		if i.object == objectStatement {
			return c.use(b, i, &c.out.parsed)
		}
	case typeClose:
		c.close(i)
	case typeFlush:
		c.out.flush = true
		c.out.data = append(c.out.data, syncMessage...)
		return nil
	}
	c.out.data = append(c.out.data, b.bytes(i)...)
	return nil
}

// lookup returns the statement of a name at this point of the batch.
func (c *composer) lookup(name string) *statement {
	if st, ok := c.pending[name]; ok {
		return st
	}
	return c.store.byName[name]
}

// parse adds a Parse of the caller.
func (c *composer) parse(b *batch, i item) *refusal {
	if i.statement != "" && c.lookup(i.statement) != nil {
		return notRun(stateDuplicateStatement, metrics.RefusedProtocol, "prepared statement %q already exists", i.statement)
	}
	st := &statement{name: i.statement, text: i.text, parse: append([]byte(nil), b.bytes(i)...)}
	c.size += len(st.parse)
	if c.size > c.store.limit {
		return notRun(stateLimitExceeded, metrics.RefusedOversize, "prepared statements of the connection exceed %d bytes", c.store.limit)
	}
	c.pending[i.statement] = st
	c.loaded = st
	c.out.parsed = append(c.out.parsed, i.text)
	c.out.parses = append(c.out.parses, change{put: st})
	c.out.data = append(c.out.data, st.parse...)
	return nil
}

// use adds a message that needs a statement, after the statement's Parse unless
// it is the last one parsed.
func (c *composer) use(b *batch, i item, texts *[]string) *refusal {
	st := c.lookup(i.statement)
	if st == nil {
		return notRun(stateUnknownStatement, metrics.RefusedProtocol, "prepared statement %q does not exist", i.statement)
	}
	if c.loaded != st {
		c.out.parses = append(c.out.parses, change{extra: true})
		c.out.data = append(c.out.data, st.parse...)
		c.loaded = st
	}
	*texts = append(*texts, st.text)
	c.out.data = append(c.out.data, b.bytes(i)...)
	return nil
}

// close records a Close, which is sent so that its CloseComplete comes in order.
func (c *composer) close(i item) {
	if i.object != objectStatement {
		c.out.closes = append(c.out.closes, change{})
		return
	}
	c.pending[i.statement] = nil
	c.loaded = nil
	c.out.closes = append(c.out.closes, change{remove: true, name: i.statement})
}
