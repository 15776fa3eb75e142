package statement

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// headerBytes is the size of the type and length fields that start a message.
const headerBytes = 5

// textSeparator separates the SQL texts of several messages in Info.Text.
const textSeparator = ";\n"

// Classify classifies a batch of raw frontend messages: Query, or Parse, Bind,
// Describe, Execute, Close, Flush and Sync. It returns a *MalformedError if the
// batch does not follow the protocol, and an *UnsupportedError for any other
// message type.
func Classify(batch []byte) (Info, error) {
	b := batchInfo{parsed: make(map[string]bool)}
	for offset := 0; offset < len(batch); {
		body, err := messageBody(batch, offset)
		if err != nil {
			return Info{}, err
		}
		if err := b.addMessage(batch[offset], body, offset); err != nil {
			return Info{}, err
		}
		offset += headerBytes + len(body)
	}
	if !b.executes {
		b.info.RequestKey = ""
	}
	b.info.ReadOnly = b.textCount > 0 && !b.writes && len(b.info.UnresolvedStatements) == 0
	return b.info, nil
}

// messageBody returns the body of the message that starts at the offset.
func messageBody(batch []byte, offset int) ([]byte, error) {
	if len(batch)-offset < headerBytes {
		return nil, &MalformedError{Offset: offset, Problem: "the header is incomplete"}
	}
	length := int64(binary.BigEndian.Uint32(batch[offset+1:]))
	if length < 4 || length > int64(len(batch)-offset-1) {
		return nil, &MalformedError{Offset: offset, Problem: fmt.Sprintf("the length %d does not fit the batch", length)}
	}
	return batch[offset+headerBytes : offset+1+int(length)], nil
}

// batchInfo collects the Info of a batch.
type batchInfo struct {
	info      Info
	textCount int
	writes    bool
	// executes is true if the batch executes a statement and does not only prepare or
	// describe it.
	executes bool
	// parsed holds the names of the prepared statements that the batch parses.
	parsed map[string]bool
}

func (b *batchInfo) addMessage(kind byte, body []byte, offset int) error {
	switch kind {
	case 'Q':
		return b.addQuery(body, offset)
	case 'P':
		return b.addParse(body, offset)
	case 'B':
		return b.addBind(body, offset)
	case 'D':
		return b.addDescribe(body, offset)
	case 'E':
		b.executes = true
		return decode(&pgproto3.Execute{}, body, offset)
	case 'C':
		return decode(&pgproto3.Close{}, body, offset)
	case 'S':
		return decode(&pgproto3.Sync{}, body, offset)
	case 'H':
		return decode(&pgproto3.Flush{}, body, offset)
	}
	return &UnsupportedError{Type: kind}
}

func (b *batchInfo) addQuery(body []byte, offset int) error {
	var m pgproto3.Query
	if err := decode(&m, body, offset); err != nil {
		return err
	}
	b.executes = true
	b.addText(m.String)
	return nil
}

func (b *batchInfo) addParse(body []byte, offset int) error {
	var m pgproto3.Parse
	if err := decode(&m, body, offset); err != nil {
		return err
	}
	b.parsed[m.Name] = true
	b.addText(m.Query)
	return nil
}

func (b *batchInfo) addBind(body []byte, offset int) error {
	var m pgproto3.Bind
	if err := decode(&m, body, offset); err != nil {
		return err
	}
	b.referToStatement(m.PreparedStatement)
	return nil
}

func (b *batchInfo) addDescribe(body []byte, offset int) error {
	var m pgproto3.Describe
	if err := decode(&m, body, offset); err != nil {
		return err
	}
	if m.ObjectType == 'S' {
		b.referToStatement(m.Name)
	}
	return nil
}

// referToStatement records the use of a prepared statement, which is unresolved if the
// batch has not parsed it.
func (b *batchInfo) referToStatement(name string) {
	if !b.parsed[name] && !slices.Contains(b.info.UnresolvedStatements, name) {
		b.info.UnresolvedStatements = append(b.info.UnresolvedStatements, name)
	}
}

// addText classifies the SQL text of one message and adds it to the batch.
func (b *batchInfo) addText(sql string) {
	one := ClassifySQL(sql)
	b.writes = b.writes || !one.ReadOnly
	b.textCount++
	if b.textCount == 1 {
		unresolved := b.info.UnresolvedStatements
		b.info = one
		b.info.UnresolvedStatements = unresolved
		return
	}
	b.info.merge(one)
}

// merge adds the Info of the batch's next SQL text.
func (i *Info) merge(o Info) {
	i.CallsUnknownFunction = i.CallsUnknownFunction || o.CallsUnknownFunction
	i.BeginsTransaction = i.BeginsTransaction || o.BeginsTransaction
	i.EndsTransaction = i.EndsTransaction || o.EndsTransaction
	i.Fingerprint = combineFingerprints(i.Fingerprint, o.Fingerprint)
	i.Text += textSeparator + o.Text
	i.Tag = firstNonEmpty(i.Tag, o.Tag)
	i.RequestKey = firstNonEmpty(i.RequestKey, o.RequestKey)
	i.SessionState = firstNonEmpty(i.SessionState, o.SessionState)
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// decode decodes the body of the message at the offset into m.
func decode(m pgproto3.FrontendMessage, body []byte, offset int) error {
	if err := m.Decode(body); err != nil {
		return &MalformedError{Offset: offset, Problem: err.Error()}
	}
	return nil
}
