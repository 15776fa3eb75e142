package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// maxDepth limits the nesting of a document, so that malicious input cannot
// exhaust the stack.
const maxDepth = 64

// errTooDeep reports that a document exceeds maxDepth.
var errTooDeep = fmt.Errorf("nesting is deeper than %d", maxDepth)

// parser parses a document into nodes and collects duplicate keys.
type parser struct {
	dec   *json.Decoder
	list  List
	size  int
	depth int
}

// parse parses the whole document. After a syntax error it returns the part
// before the error, and false.
func parse(data []byte) (*node, List, bool) {
	p := &parser{dec: json.NewDecoder(bytes.NewReader(data)), size: len(data)}
	p.dec.UseNumber()
	root, err := p.parseValue("")
	if err != nil {
		p.addSyntaxError(err, p.dec.InputOffset())
		return root, p.list, false
	}
	last := p.dec.InputOffset()
	if err := p.expectEnd(); err != nil {
		p.addSyntaxError(err, last)
		return root, p.list, false
	}
	return root, p.list, true
}

// expectEnd checks that no data follows the document.
func (p *parser) expectEnd() error {
	_, err := p.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.New("data follows the end of the document")
}

// addSyntaxError adds a finding for a syntax error with its byte offset.
func (p *parser) addSyntaxError(err error, offset int64) {
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

// parseValue parses the next value. On an error it returns the part that was
// parsed.
func (p *parser) parseValue(pointer string) (*node, error) {
	token, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	switch t := token.(type) {
	case json.Delim:
		return p.parseComposite(pointer, t)
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

// parseComposite parses the rest of an object or array.
func (p *parser) parseComposite(pointer string, open json.Delim) (*node, error) {
	if p.depth++; p.depth > maxDepth {
		return nil, errTooDeep
	}
	defer func() { p.depth-- }()
	if open == '{' {
		return p.parseObject(pointer)
	}
	return p.parseArray(pointer)
}

// parseObject parses members up to the closing brace.
func (p *parser) parseObject(pointer string) (*node, error) {
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
		at := AppendKey(pointer, key)
		value, err := p.parseValue(at)
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

// parseArray parses elements up to the closing bracket.
func (p *parser) parseArray(pointer string) (*node, error) {
	n := &node{kind: kindArray}
	for p.dec.More() {
		value, err := p.parseValue(AppendIndex(pointer, len(n.elements)))
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
