package statement

import "strings"

// lexer splits SQL text into tokens by PostgreSQL's lexical rules with
// standard_conforming_strings on.
type lexer struct {
	text string
	at   int
}

// next returns the next token; false at the end of the text.
func (l *lexer) next() (token, bool) {
	l.skipSpace()
	if l.at >= len(l.text) {
		return token{}, false
	}
	rest := l.text[l.at:]
	switch c := rest[0]; {
	case strings.HasPrefix(rest, "/*"):
		return l.comment(), true
	case c == '\'':
		return l.quoted('\'', tokenLiteral, false), true
	case c == '"':
		return l.quoted('"', tokenQuoted, false), true
	case c == '$':
		return l.dollar(), true
	case digit(c) || c == '.' && len(rest) > 1 && digit(rest[1]):
		return l.number(), true
	case letter(c):
		return l.word(), true
	default:
		l.at++
		return token{kind: tokenSymbol, text: rest[:1]}, true
	}
}

// skipSpace passes white space and line comments.
func (l *lexer) skipSpace() {
	for l.at < len(l.text) {
		switch {
		case space(l.text[l.at]):
			l.at++
		case strings.HasPrefix(l.text[l.at:], "--"):
			l.skipLine()
		default:
			return
		}
	}
}

func (l *lexer) skipLine() {
	n := strings.IndexAny(l.text[l.at:], "\r\n")
	if n < 0 {
		l.at = len(l.text)
		return
	}
	l.at += n
}

// comment reads a block comment; block comments nest.
func (l *lexer) comment() token {
	start, depth := l.at+2, 0
	for l.at < len(l.text) {
		switch rest := l.text[l.at:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.at += 2
		default:
			l.at++
		}
		if depth == 0 {
			return token{kind: tokenComment, text: l.text[start : l.at-2]}
		}
	}
	return token{kind: tokenBroken}
}

// quoted reads up to the closing quote; a doubled quote stands for itself, and
// with escapes a backslash hides the next character.
func (l *lexer) quoted(quote byte, kind tokenKind, escapes bool) token {
	start := l.at + 1
	for i := start; i < len(l.text); i++ {
		switch {
		case escapes && l.text[i] == '\\':
			i++
		case l.text[i] != quote:
		case i+1 < len(l.text) && l.text[i+1] == quote:
			i++
		default:
			l.at = i + 1
			return token{kind: kind, text: l.text[start:i]}
		}
	}
	l.at = len(l.text)
	return token{kind: tokenBroken}
}

// dollar reads a parameter such as $1 or a dollar-quoted string.
func (l *lexer) dollar() token {
	i := l.at + 1
	if i < len(l.text) && digit(l.text[i]) {
		for i < len(l.text) && digit(l.text[i]) {
			i++
		}
		l.at = i
		return token{kind: tokenLiteral}
	}
	for i < len(l.text) && (letter(l.text[i]) || digit(l.text[i])) {
		i++
	}
	if i >= len(l.text) || l.text[i] != '$' {
		l.at++
		return token{kind: tokenSymbol, text: "$"}
	}
	return l.dollarQuoted(l.text[l.at : i+1])
}

func (l *lexer) dollarQuoted(delimiter string) token {
	body := l.at + len(delimiter)
	n := strings.Index(l.text[body:], delimiter)
	if n < 0 {
		l.at = len(l.text)
		return token{kind: tokenBroken}
	}
	l.at = body + n + len(delimiter)
	return token{kind: tokenLiteral, text: l.text[body : body+n]}
}

// number reads a numeric literal, with its exponent and its sign.
func (l *lexer) number() token {
	start := l.at
	for l.at < len(l.text) && (numeric(l.text[l.at]) || l.exponentSign(start)) {
		l.at++
	}
	return token{kind: tokenLiteral, text: l.text[start:l.at]}
}

func (l *lexer) exponentSign(start int) bool {
	c := l.text[l.at]
	if c != '+' && c != '-' || l.at == start || l.at+1 >= len(l.text) {
		return false
	}
	previous := l.text[l.at-1]
	hex := strings.HasPrefix(l.text[start:], "0x") || strings.HasPrefix(l.text[start:], "0X")
	return !hex && (previous == 'e' || previous == 'E') && digit(l.text[l.at+1])
}

// word reads a word, or the string or identifier that a prefix such as E or U&
// introduces.
func (l *lexer) word() token {
	start := l.at
	for l.at < len(l.text) && (letter(l.text[l.at]) || digit(l.text[l.at]) || l.text[l.at] == '$') {
		l.at++
	}
	word := strings.ToLower(l.text[start:l.at])
	rest := l.text[l.at:]
	switch {
	case strings.HasPrefix(rest, "'") && word == "e":
		return l.quoted('\'', tokenLiteral, true)
	case strings.HasPrefix(rest, "'") && (word == "b" || word == "x" || word == "n"):
		return l.quoted('\'', tokenLiteral, false)
	case strings.HasPrefix(rest, "&'") && word == "u":
		l.at++
		return l.quoted('\'', tokenLiteral, false)
	case strings.HasPrefix(rest, `&"`) && word == "u":
		// The identifier may hold escapes that spell any name.
		l.at++
		l.quoted('"', tokenQuoted, false)
		return token{kind: tokenBroken}
	}
	return token{kind: tokenWord, text: word}
}

func space(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }

func digit(c byte) bool { return c >= '0' && c <= '9' }

func letter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func numeric(c byte) bool { return digit(c) || c == '.' || c == '_' || letter(c) }
