package statement

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// headerBytes is the length of a message's type and length fields.
const headerBytes = 5

// textSeparator joins the texts of several messages.
const textSeparator = ";\n"

// Classify classifies a batch of raw frontend messages: Query, or Parse, Bind,
// Describe, Execute, Close, Flush and Sync. It returns a *MalformedError if the
// batch does not follow the protocol, and an *UnsupportedError for any other
// message type.
func Classify(batch []byte) (Info, error) {
	b := batchInfo{parsed: make(map[string]bool)}
	for at := 0; at < len(batch); {
		body, err := messageBody(batch, at)
		if err != nil {
			return Info{}, err
		}
		if err := b.message(batch[at], body, at); err != nil {
			return Info{}, err
		}
		at += headerBytes + len(body)
	}
	if !b.executes {
		b.info.RequestKey = ""
	}
	b.info.ReadOnly = b.texts > 0 && !b.writes && len(b.info.Unresolved) == 0
	return b.info, nil
}

// messageBody returns the body of the message that starts at the offset.
func messageBody(batch []byte, at int) ([]byte, error) {
	if len(batch)-at < headerBytes {
		return nil, &MalformedError{Offset: at, Problem: "the header is incomplete"}
	}
	length := int64(binary.BigEndian.Uint32(batch[at+1:]))
	if length < 4 || length > int64(len(batch)-at-1) {
		return nil, &MalformedError{Offset: at, Problem: fmt.Sprintf("the length %d does not fit the batch", length)}
	}
	return batch[at+headerBytes : at+1+int(length)], nil
}

// batchInfo collects the Info of a batch.
type batchInfo struct {
	info   Info
	texts  int
	writes bool
	// executes is true if the batch runs a statement, and does not only prepare.
	executes bool
	parsed   map[string]bool
}

func (b *batchInfo) message(kind byte, body []byte, at int) error {
	switch kind {
	case 'Q':
		return b.query(body, at)
	case 'P':
		return b.parse(body, at)
	case 'B':
		return b.bind(body, at)
	case 'D':
		return b.describe(body, at)
	case 'E':
		b.executes = true
		return decode(&pgproto3.Execute{}, body, at)
	case 'C':
		return decode(&pgproto3.Close{}, body, at)
	case 'S':
		return decode(&pgproto3.Sync{}, body, at)
	case 'H':
		return decode(&pgproto3.Flush{}, body, at)
	}
	return &UnsupportedError{Type: kind}
}

func (b *batchInfo) query(body []byte, at int) error {
	var m pgproto3.Query
	if err := decode(&m, body, at); err != nil {
		return err
	}
	b.executes = true
	b.addText(m.String)
	return nil
}

func (b *batchInfo) parse(body []byte, at int) error {
	var m pgproto3.Parse
	if err := decode(&m, body, at); err != nil {
		return err
	}
	b.parsed[m.Name] = true
	b.addText(m.Query)
	return nil
}

func (b *batchInfo) bind(body []byte, at int) error {
	var m pgproto3.Bind
	if err := decode(&m, body, at); err != nil {
		return err
	}
	b.use(m.PreparedStatement)
	return nil
}

func (b *batchInfo) describe(body []byte, at int) error {
	var m pgproto3.Describe
	if err := decode(&m, body, at); err != nil {
		return err
	}
	if m.ObjectType == 'S' {
		b.use(m.Name)
	}
	return nil
}

// use notes a prepared statement that the batch does not parse.
func (b *batchInfo) use(name string) {
	if !b.parsed[name] && !slices.Contains(b.info.Unresolved, name) {
		b.info.Unresolved = append(b.info.Unresolved, name)
	}
}

// addText adds the statements of one message.
func (b *batchInfo) addText(sql string) {
	one := ClassifySQL(sql)
	b.writes = b.writes || !one.ReadOnly
	b.texts++
	if b.texts == 1 {
		unresolved := b.info.Unresolved
		b.info = one
		b.info.Unresolved = unresolved
		return
	}
	b.info.merge(one)
}

// merge adds the Info of a further text.
func (i *Info) merge(o Info) {
	i.CallsUnknown = i.CallsUnknown || o.CallsUnknown
	i.Begins = i.Begins || o.Begins
	i.Ends = i.Ends || o.Ends
	i.Fingerprint = combine(i.Fingerprint, o.Fingerprint)
	i.Text += textSeparator + o.Text
	i.Tag = first(i.Tag, o.Tag)
	i.RequestKey = first(i.RequestKey, o.RequestKey)
	i.SessionState = first(i.SessionState, o.SessionState)
}

func first(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// decode decodes a body into m.
func decode(m pgproto3.FrontendMessage, body []byte, at int) error {
	if err := m.Decode(body); err != nil {
		return &MalformedError{Offset: at, Problem: err.Error()}
	}
	return nil
}
