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

// token is a lexical unit of a statement. Comments are tokenSpace.
type token struct {
	kind tokenKind
	text string
}

// is reports whether the token is the keyword, which is in upper case.
func (t token) is(keyword string) bool {
	return t.kind == tokenWord && strings.EqualFold(t.text, keyword)
}

func (t token) symbol(s string) bool { return t.kind == tokenSymbol && t.text == s }

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

func nextToken(s string) (tokenKind, int) {
	c := s[0]
	switch {
	case isSpace(c):
		return tokenSpace, span(s, isSpace)
	case strings.HasPrefix(s, "--"):
		return tokenSpace, through(s, 2, "\n")
	case strings.HasPrefix(s, "/*"):
		return tokenSpace, through(s, 2, "*/")
	case c == '\'':
		return tokenString, quoted(s, '\'')
	case c == '"':
		return tokenQuotedName, quoted(s, '"')
	case c == '$' && len(s) > 1 && isDigit(s[1]):
		return tokenParam, 1 + span(s[1:], isDigit)
	case strings.HasPrefix(s, "::"):
		return tokenCast, 2
	case isDigit(c):
		return tokenNumber, span(s, isNumberPart)
	case isWordStart(c):
		return tokenWord, span(s, isWordPart)
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

func span(s string, in func(byte) bool) int {
	n := 0
	for n < len(s) && in(s[n]) {
		n++
	}
	return n
}

func through(s string, from int, end string) int {
	i := strings.Index(s[from:], end)
	if i < 0 {
		return len(s)
	}
	return from + i + len(end)
}

// quoted returns the length of a quoted text in which the quote is doubled.
func quoted(s string, quote byte) int {
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

// splitStatements splits at semicolons and leaves out empty statements.
func splitStatements(tokens []token) [][]token {
	var out [][]token
	start := 0
	for i, t := range tokens {
		if t.symbol(";") {
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
