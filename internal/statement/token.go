package statement

// tokenKind is the kind of a token.
type tokenKind int

const (
	// tokenWord is a keyword or an unquoted identifier.
	tokenWord tokenKind = iota
	// tokenQuoted is a double-quoted identifier.
	tokenQuoted
	// tokenLiteral is a string, a number or a parameter.
	tokenLiteral
	// tokenSymbol is one character of an operator or a punctuation mark.
	tokenSymbol
	// tokenComment is a block comment.
	tokenComment
	// tokenUnreadable is a string, identifier or comment without its end, or an
	// identifier with Unicode escapes.
	tokenUnreadable
)

// token is a part of the SQL text.
type token struct {
	kind tokenKind
	// text is in lower case for words, and without the delimiters for quoted
	// identifiers and comments.
	text string
}

func (t token) isSymbol(s string) bool { return t.kind == tokenSymbol && t.text == s }

func (t token) isWord(s string) bool { return t.kind == tokenWord && t.text == s }
