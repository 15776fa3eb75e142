package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// maxDepth bounds the nesting of a document, so that hostile input cannot
// exhaust the stack.
const maxDepth = 64

// errTooDeep reports nesting above maxDepth.
var errTooDeep = fmt.Errorf("nesting is deeper than %d", maxDepth)

// parser reads a document into nodes and collects duplicate keys.
type parser struct {
	dec   *json.Decoder
	list  List
	size  int
	depth int
}

// parse reads the whole document. After a syntax error it returns what was
// read before it, and false.
func parse(data []byte) (*node, List, bool) {
	p := &parser{dec: json.NewDecoder(bytes.NewReader(data)), size: len(data)}
	p.dec.UseNumber()
	root, err := p.value("")
	if err != nil {
		p.syntax(err, p.dec.InputOffset())
		return root, p.list, false
	}
	last := p.dec.InputOffset()
	if err := p.end(); err != nil {
		p.syntax(err, last)
		return root, p.list, false
	}
	return root, p.list, true
}

// end checks that nothing follows the document.
func (p *parser) end() error {
	_, err := p.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.New("data follows the end of the document")
}

// syntax adds the finding of a syntax error with its byte offset.
func (p *parser) syntax(err error, offset int64) {
	var se *json.SyntaxError
	if errors.As(err, &se) {
		offset = max(offset, min(se.Offset, int64(p.size)))
	}
	problem := err.Error()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		problem = "document ends too early"
	}
	p.list.Add("", "correct the JSON at this offset", "syntax error at byte offset %d: %s", offset, problem)
}

// value reads the next value. On an error it returns the part that was read.
func (p *parser) value(pointer string) (*node, error) {
	token, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	switch t := token.(type) {
	case json.Delim:
		return p.composite(pointer, t)
	case string:
		return &node{kind: kindString, scalar: t}, nil
	case json.Number:
		return &node{kind: kindNumber, scalar: t}, nil
	case bool:
		return &node{kind: kindBoolean, scalar: t}, nil
	default:
		return &node{kind: kindNull}, nil
	}
}

// composite reads the rest of an object or array.
func (p *parser) composite(pointer string, open json.Delim) (*node, error) {
	if p.depth++; p.depth > maxDepth {
		return nil, errTooDeep
	}
	defer func() { p.depth-- }()
	if open == '{' {
		return p.object(pointer)
	}
	return p.array(pointer)
}

// object reads members up to the closing brace.
func (p *parser) object(pointer string) (*node, error) {
	n := &node{kind: kindObject}
	seen := make(map[string]bool)
	for p.dec.More() {
		token, err := p.dec.Token()
		if err != nil {
			return n, err
		}
		key, ok := token.(string)
		if !ok {
			return n, errors.Newf("object key is %v, not a string", token)
		}
		at := Key(pointer, key)
		value, err := p.value(at)
		if seen[key] {
			p.list.Add(at, "keep one of them", "key %q appears more than once", key)
		} else if value != nil {
			n.members = append(n.members, member{key: key, value: value})
		}
		seen[key] = true
		if err != nil {
			return n, err
		}
	}
	_, err := p.dec.Token()
	return n, err
}

// array reads elements up to the closing bracket.
func (p *parser) array(pointer string) (*node, error) {
	n := &node{kind: kindArray}
	for p.dec.More() {
		value, err := p.value(Index(pointer, len(n.elements)))
		if value != nil {
			n.elements = append(n.elements, value)
		}
		if err != nil {
			return n, err
		}
	}
	_, err := p.dec.Token()
	return n, err
}
