package entry

import "strings"

// tokenKind is the kind of a token of SQL text.
type tokenKind int

// Kinds of tokens.
const (
	tokenWord tokenKind = iota
	tokenLiteral
	tokenSymbol
)

// token is one token of SQL text. Unquoted words are in lower case. Literals and quoted
// names are stored without the quotes; a quoted name is a tokenWord, too.
type token struct {
	kind tokenKind
	text string
}

// lexer splits SQL text into statements, and these into tokens, and collects the comments.
type lexer struct {
	rest       string
	statements [][]token
	current    []token
	comments   []string
}

// lex reads the whole SQL text.
func lex(sql string) *lexer {
	l := &lexer{rest: sql}
	for l.rest != "" {
		l.next()
	}
	l.endStatement()
	return l
}

// endStatement ends the current statement.
func (l *lexer) endStatement() {
	if len(l.current) > 0 {
		l.statements = append(l.statements, l.current)
		l.current = nil
	}
}

// next reads one token, comment or white space character.
func (l *lexer) next() {
	c := l.rest[0]
	switch {
	case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
		l.rest = l.rest[1:]
	case strings.HasPrefix(l.rest, "--"):
		l.lineComment()
	case strings.HasPrefix(l.rest, "/*"):
		l.blockComment()
	case c == '\'':
		l.quoted('\'', l.afterEscape(), tokenLiteral)
	case c == '"':
		l.quoted('"', false, tokenWord)
	case c == '$' && l.dollarQuoted():
	case c == ';':
		l.rest = l.rest[1:]
		l.endStatement()
	case isWordByte(c):
		l.word()
	default:
		l.add(tokenSymbol, l.rest[:1])
		l.rest = l.rest[1:]
	}
}

// add appends a token.
func (l *lexer) add(kind tokenKind, text string) {
	l.current = append(l.current, token{kind: kind, text: text})
}

// lineComment reads a comment up to the end of the line.
func (l *lexer) lineComment() {
	end := strings.IndexByte(l.rest, '\n')
	if end < 0 {
		end = len(l.rest)
	}
	l.comments = append(l.comments, l.rest[2:end])
	l.rest = l.rest[end:]
}

// blockComment reads a block comment. Block comments can be nested.
func (l *lexer) blockComment() {
	depth, i := 0, 0
	for i < len(l.rest) {
		switch {
		case strings.HasPrefix(l.rest[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(l.rest[i:], "*/"):
			depth--
			i += 2
		default:
			i++
		}
		if depth == 0 {
			l.comments = append(l.comments, l.rest[2:i-2])
			l.rest = l.rest[i:]
			return
		}
	}
	l.rest = ""
}

// afterEscape reports whether the next literal is an escape string (E'...'). Its prefix
// was read as a word.
func (l *lexer) afterEscape() bool {
	n := len(l.current)
	return n > 0 && l.current[n-1].kind == tokenWord && l.current[n-1].text == "e"
}

// quoted reads a literal or a quoted name. If escapes is true, a backslash escapes the
// next character.
func (l *lexer) quoted(quote byte, escapes bool, kind tokenKind) {
	i := 1
	for i < len(l.rest) {
		switch {
		case escapes && l.rest[i] == '\\':
			i += 2
		case l.rest[i] != quote:
			i++
		case i+1 < len(l.rest) && l.rest[i+1] == quote:
			i += 2
		default:
			l.add(kind, l.rest[1:i])
			l.rest = l.rest[i+1:]
			return
		}
	}
	l.add(kind, l.rest[1:])
	l.rest = ""
}

// dollarQuoted reads a dollar-quoted literal. It returns false if none starts here.
func (l *lexer) dollarQuoted() bool {
	end := 1
	for end < len(l.rest) && isWordByte(l.rest[end]) && l.rest[end] != '$' {
		end++
	}
	if end >= len(l.rest) || l.rest[end] != '$' || (end > 1 && l.rest[1] >= '0' && l.rest[1] <= '9') {
		return false
	}
	tag := l.rest[:end+1]
	body, rest, found := strings.Cut(l.rest[end+1:], tag)
	l.add(tokenLiteral, body)
	l.rest = rest
	if !found {
		l.rest = ""
	}
	return true
}

// word reads a word or a number.
func (l *lexer) word() {
	i := 1
	for i < len(l.rest) && isWordByte(l.rest[i]) {
		i++
	}
	l.add(tokenWord, strings.ToLower(l.rest[:i]))
	l.rest = l.rest[i:]
}

// isWordByte reports whether c can be part of a word or a number.
func isWordByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '$' || c >= 0x80
}
