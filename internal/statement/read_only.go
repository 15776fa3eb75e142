package statement

// readKeywords are the first words of statements that can be read-only.
var readKeywords = map[string]bool{
	"select": true, "values": true, "show": true, "table": true, "with": true,
}

// writeKeywords occur in statements that start with one of readKeywords but write: in a
// WITH query, or in SELECT INTO, which creates a table.
var writeKeywords = map[string]bool{
	"insert": true, "update": true, "delete": true, "merge": true,
	"truncate": true, "into": true, "create": true, "drop": true, "alter": true,
	"call": true, "copy": true, "lock": true,
}

// lockKeywords are the words after FOR in a locking clause such as FOR UPDATE.
var lockKeywords = map[string]bool{"update": true, "share": true, "no": true, "key": true}

// readOnly reports whether a statement certainly does not write.
func readOnly(tokens []token) bool {
	first := 0
	for first < len(tokens) && tokens[first].isSymbol("(") {
		first++
	}
	if !readKeywords[wordAt(tokens, first)] {
		return false
	}
	for i, t := range tokens {
		if t.kind == tokenUnreadable || isWriteKeyword(tokens, i) || isPrimaryOnly(calledFunction(tokens, i)) {
			return false
		}
	}
	return true
}

// isWriteKeyword reports whether the token at index i is a word that makes the statement
// write or lock rows.
func isWriteKeyword(tokens []token, i int) bool {
	if tokens[i].kind != tokenWord {
		return false
	}
	return writeKeywords[tokens[i].text] || tokens[i].text == "for" && lockKeywords[wordAt(tokens, i+1)]
}
