package database

import "strings"

type tokenKind int

const (
	tokenSpace tokenKind = iota
	tokenWord
	tokenQuotedName
	tokenString
	tokenNumber
	tokenParam
	tokenCast
	tokenSymbol
)

// token is a lexical unit of a statement. A comment is a tokenSpace.
type token struct {
	kind tokenKind
	text string
}

// isKeyword reports whether the token is the keyword, which is given in upper case.
func (t token) isKeyword(keyword string) bool {
	return t.kind == tokenWord && strings.EqualFold(t.text, keyword)
}

func (t token) isSymbol(s string) bool { return t.kind == tokenSymbol && t.text == s }

func tokenize(query string) []token {
	var out []token
	for len(query) > 0 {
		kind, n := nextToken(query)
		text := query[:n]
		if kind == tokenSpace {
			text = " "
		}
		out = append(out, token{kind: kind, text: text})
		query = query[n:]
	}
	return out
}

// nextToken returns the kind and the length of the first token in s.
func nextToken(s string) (tokenKind, int) {
	c := s[0]
	switch {
	case isSpace(c):
		return tokenSpace, prefixLength(s, isSpace)
	case strings.HasPrefix(s, "--"):
		return tokenSpace, lengthThrough(s, 2, "\n")
	case strings.HasPrefix(s, "/*"):
		return tokenSpace, lengthThrough(s, 2, "*/")
	case c == '\'':
		return tokenString, quotedLength(s, '\'')
	case c == '"':
		return tokenQuotedName, quotedLength(s, '"')
	case c == '$' && len(s) > 1 && isDigit(s[1]):
		return tokenParam, 1 + prefixLength(s[1:], isDigit)
	case strings.HasPrefix(s, "::"):
		return tokenCast, 2
	case isDigit(c):
		return tokenNumber, prefixLength(s, isNumberPart)
	case isWordStart(c):
		return tokenWord, prefixLength(s, isWordPart)
	}
	return tokenSymbol, symbolLength(s)
}

func symbolLength(s string) int {
	for _, op := range []string{"||", "<=", ">=", "<>", "!=", "->>", "->"} {
		if strings.HasPrefix(s, op) {
			return len(op)
		}
	}
	return 1
}

// prefixLength returns the length of the longest prefix whose bytes all match.
func prefixLength(s string, matches func(byte) bool) int {
	n := 0
	for n < len(s) && matches(s[n]) {
		n++
	}
	return n
}

// lengthThrough returns the length of s up to and including the first end at or after
// the index from, or the whole length if there is no end.
func lengthThrough(s string, from int, end string) int {
	i := strings.Index(s[from:], end)
	if i < 0 {
		return len(s)
	}
	return from + i + len(end)
}

// quotedLength returns the length of the quoted text at the start of s, in which quotes
// are escaped by doubling.
func quotedLength(s string, quote byte) int {
	for i := 1; i < len(s); i++ {
		if s[i] != quote {
			continue
		}
		if i+1 < len(s) && s[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(s)
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNumberPart(c byte) bool { return isDigit(c) || c == '.' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) }

// splitStatements splits the tokens at semicolons and drops empty statements.
func splitStatements(tokens []token) [][]token {
	var out [][]token
	start := 0
	for i, t := range tokens {
		if t.isSymbol(";") {
			out = appendStatement(out, tokens[start:i])
			start = i + 1
		}
	}
	return appendStatement(out, tokens[start:])
}

func appendStatement(list [][]token, tokens []token) [][]token {
	tokens = trimSpace(tokens)
	if len(tokens) == 0 {
		return list
	}
	return append(list, tokens)
}

func trimSpace(tokens []token) []token {
	for len(tokens) > 0 && tokens[0].kind == tokenSpace {
		tokens = tokens[1:]
	}
	for len(tokens) > 0 && tokens[len(tokens)-1].kind == tokenSpace {
		tokens = tokens[:len(tokens)-1]
	}
	return tokens
}

func withoutSpace(tokens []token) []token {
	var out []token
	for _, t := range tokens {
		if t.kind != tokenSpace {
			out = append(out, t)
		}
	}
	return out
}
