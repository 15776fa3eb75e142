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

// token is one token of SQL text. Words are in lower case; literals and quoted
// names are without quotes.
type token struct {
	kind tokenKind
	text string
}

// lexer splits SQL text into statements of tokens and collects its comments.
type lexer struct {
	s          string
	statements [][]token
	current    []token
	comments   []string
}

// lex splits SQL text.
func lex(sql string) *lexer {
	l := &lexer{s: sql}
	for l.s != "" {
		l.step()
	}
	l.end()
	return l
}

// end ends the current statement.
func (l *lexer) end() {
	if len(l.current) > 0 {
		l.statements = append(l.statements, l.current)
		l.current = nil
	}
}

// step takes one token, comment or space.
func (l *lexer) step() {
	c := l.s[0]
	switch {
	case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
		l.s = l.s[1:]
	case strings.HasPrefix(l.s, "--"):
		l.lineComment()
	case strings.HasPrefix(l.s, "/*"):
		l.blockComment()
	case c == '\'':
		l.quoted('\'', l.afterEscape(), tokenLiteral)
	case c == '"':
		l.quoted('"', false, tokenWord)
	case c == '$' && l.dollarQuoted():
	case c == ';':
		l.s = l.s[1:]
		l.end()
	case isWord(c):
		l.word()
	default:
		l.add(tokenSymbol, l.s[:1])
		l.s = l.s[1:]
	}
}

// add appends a token.
func (l *lexer) add(kind tokenKind, text string) {
	l.current = append(l.current, token{kind: kind, text: text})
}

// lineComment takes a comment up to the end of the line.
func (l *lexer) lineComment() {
	end := strings.IndexByte(l.s, '\n')
	if end < 0 {
		end = len(l.s)
	}
	l.comments = append(l.comments, l.s[2:end])
	l.s = l.s[end:]
}

// blockComment takes a comment, which may hold further ones.
func (l *lexer) blockComment() {
	depth, i := 0, 0
	for i < len(l.s) {
		switch {
		case strings.HasPrefix(l.s[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(l.s[i:], "*/"):
			depth--
			i += 2
		default:
			i++
		}
		if depth == 0 {
			l.comments = append(l.comments, l.s[2:i-2])
			l.s = l.s[i:]
			return
		}
	}
	l.s = ""
}

// afterEscape reports whether the literal is an escape string (E'...'), whose
// prefix was taken as a word.
func (l *lexer) afterEscape() bool {
	n := len(l.current)
	return n > 0 && l.current[n-1].kind == tokenWord && l.current[n-1].text == "e"
}

// quoted takes a literal or a quoted name.
func (l *lexer) quoted(quote byte, escapes bool, kind tokenKind) {
	i := 1
	for i < len(l.s) {
		switch {
		case escapes && l.s[i] == '\\':
			i += 2
		case l.s[i] != quote:
			i++
		case i+1 < len(l.s) && l.s[i+1] == quote:
			i += 2
		default:
			l.add(kind, l.s[1:i])
			l.s = l.s[i+1:]
			return
		}
	}
	l.add(kind, l.s[1:])
	l.s = ""
}

// dollarQuoted takes a dollar-quoted literal; false if there is none here.
func (l *lexer) dollarQuoted() bool {
	end := 1
	for end < len(l.s) && isWord(l.s[end]) && l.s[end] != '$' {
		end++
	}
	if end >= len(l.s) || l.s[end] != '$' || (end > 1 && l.s[1] >= '0' && l.s[1] <= '9') {
		return false
	}
	tag := l.s[:end+1]
	body, rest, found := strings.Cut(l.s[end+1:], tag)
	l.add(tokenLiteral, body)
	l.s = rest
	if !found {
		l.s = ""
	}
	return true
}

// word takes a word or number.
func (l *lexer) word() {
	i := 1
	for i < len(l.s) && isWord(l.s[i]) {
		i++
	}
	l.add(tokenWord, strings.ToLower(l.s[:i]))
	l.s = l.s[i:]
}

// isWord reports whether c can be part of a word or number.
func isWord(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '$' || c >= 0x80
}
