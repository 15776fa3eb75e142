package statement

// tokenKind is the kind of a token.
type tokenKind int

const (
	// tokenWord is a key word or an identifier without quotes.
	tokenWord tokenKind = iota
	// tokenQuoted is an identifier in double quotes.
	tokenQuoted
	// tokenLiteral is a string, a number or a parameter.
	tokenLiteral
	// tokenSymbol is one character of an operator or of punctuation.
	tokenSymbol
	// tokenComment is a block comment.
	tokenComment
	// tokenBroken is a string, identifier or comment without its end.
	tokenBroken
)

// token is a part of the SQL text.
type token struct {
	kind tokenKind
	// text is in lower case for words, without quotes for quoted identifiers and
	// without delimiters for comments.
	text string
}

func (t token) symbol(s string) bool { return t.kind == tokenSymbol && t.text == s }

func (t token) word(s string) bool { return t.kind == tokenWord && t.text == s }
