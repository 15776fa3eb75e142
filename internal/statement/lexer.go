package statement

import "strings"

// lexer splits SQL text into tokens by PostgreSQL's lexical rules with
// standard_conforming_strings on.
type lexer struct {
	text string
	pos  int
}

// next returns the next token, or false at the end of the text.
func (l *lexer) next() (token, bool) {
	l.skipSpace()
	if l.pos >= len(l.text) {
		return token{}, false
	}
	rest := l.text[l.pos:]
	switch c := rest[0]; {
	case strings.HasPrefix(rest, "/*"):
		return l.blockComment(), true
	case c == '\'':
		return l.quoted('\'', tokenLiteral, false), true
	case c == '"':
		return l.quoted('"', tokenQuoted, false), true
	case c == '$':
		return l.dollar(), true
	case isDigit(c) || c == '.' && len(rest) > 1 && isDigit(rest[1]):
		return l.number(), true
	case isIdentifierStart(c):
		return l.word(), true
	default:
		l.pos++
		return token{kind: tokenSymbol, text: rest[:1]}, true
	}
}

// skipSpace skips white space and line comments.
func (l *lexer) skipSpace() {
	for l.pos < len(l.text) {
		switch {
		case isSpace(l.text[l.pos]):
			l.pos++
		case strings.HasPrefix(l.text[l.pos:], "--"):
			l.skipLine()
		default:
			return
		}
	}
}

func (l *lexer) skipLine() {
	n := strings.IndexAny(l.text[l.pos:], "\r\n")
	if n < 0 {
		l.pos = len(l.text)
		return
	}
	l.pos += n
}

// blockComment reads a block comment. Block comments can be nested.
func (l *lexer) blockComment() token {
	start, depth := l.pos+2, 0
	for l.pos < len(l.text) {
		switch rest := l.text[l.pos:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.pos += 2
		default:
			l.pos++
		}
		if depth == 0 {
			return token{kind: tokenComment, text: l.text[start : l.pos-2]}
		}
	}
	return token{kind: tokenUnreadable}
}

// quoted reads a quoted string or identifier. A doubled quote stands for one quote. If
// escapes is true, a backslash escapes the next character.
func (l *lexer) quoted(quote byte, kind tokenKind, escapes bool) token {
	start := l.pos + 1
	for i := start; i < len(l.text); i++ {
		switch {
		case escapes && l.text[i] == '\\':
			i++
		case l.text[i] != quote:
		case i+1 < len(l.text) && l.text[i+1] == quote:
			i++
		default:
			l.pos = i + 1
			return token{kind: kind, text: l.text[start:i]}
		}
	}
	l.pos = len(l.text)
	return token{kind: tokenUnreadable}
}

// dollar reads a parameter such as $1 or a dollar-quoted string.
func (l *lexer) dollar() token {
	i := l.pos + 1
	if i < len(l.text) && isDigit(l.text[i]) {
		for i < len(l.text) && isDigit(l.text[i]) {
			i++
		}
		l.pos = i
		return token{kind: tokenLiteral}
	}
	for i < len(l.text) && (isIdentifierStart(l.text[i]) || isDigit(l.text[i])) {
		i++
	}
	if i >= len(l.text) || l.text[i] != '$' {
		l.pos++
		return token{kind: tokenSymbol, text: "$"}
	}
	return l.dollarQuoted(l.text[l.pos : i+1])
}

func (l *lexer) dollarQuoted(delimiter string) token {
	body := l.pos + len(delimiter)
	n := strings.Index(l.text[body:], delimiter)
	if n < 0 {
		l.pos = len(l.text)
		return token{kind: tokenUnreadable}
	}
	l.pos = body + n + len(delimiter)
	return token{kind: tokenLiteral, text: l.text[body : body+n]}
}

// number reads a numeric literal including its exponent.
func (l *lexer) number() token {
	start := l.pos
	for l.pos < len(l.text) && (isNumberPart(l.text[l.pos]) || l.exponentSign(start)) {
		l.pos++
	}
	return token{kind: tokenLiteral, text: l.text[start:l.pos]}
}

// exponentSign reports whether the current character is the sign of an exponent in the
// number that begins at start.
func (l *lexer) exponentSign(start int) bool {
	c := l.text[l.pos]
	if c != '+' && c != '-' || l.pos == start || l.pos+1 >= len(l.text) {
		return false
	}
	previous := l.text[l.pos-1]
	hex := strings.HasPrefix(l.text[start:], "0x") || strings.HasPrefix(l.text[start:], "0X")
	return !hex && (previous == 'e' || previous == 'E') && isDigit(l.text[l.pos+1])
}

// word reads a word, or the string or identifier that follows a prefix such as E or U&.
func (l *lexer) word() token {
	start := l.pos
	for l.pos < len(l.text) && (isIdentifierStart(l.text[l.pos]) || isDigit(l.text[l.pos]) || l.text[l.pos] == '$') {
		l.pos++
	}
	word := strings.ToLower(l.text[start:l.pos])
	rest := l.text[l.pos:]
	switch {
	case strings.HasPrefix(rest, "'") && word == "e":
		return l.quoted('\'', tokenLiteral, true)
	case strings.HasPrefix(rest, "'") && (word == "b" || word == "x" || word == "n"):
		return l.quoted('\'', tokenLiteral, false)
	case strings.HasPrefix(rest, "&'") && word == "u":
		l.pos++
		return l.quoted('\'', tokenLiteral, false)
	case strings.HasPrefix(rest, `&"`) && word == "u":
		// The escapes in the identifier are not decoded, so its name is unknown.
		l.pos++
		l.quoted('"', tokenQuoted, false)
		return token{kind: tokenUnreadable}
	}
	return token{kind: tokenWord, text: word}
}

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isIdentifierStart reports whether an identifier can start with c. Every byte of a
// character beyond ASCII counts as a letter.
func isIdentifierStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isNumberPart(c byte) bool { return isDigit(c) || c == '.' || c == '_' || isIdentifierStart(c) }
