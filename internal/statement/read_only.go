package statement

// readVerbs are the first words of statements that may be read only.
var readVerbs = map[string]bool{
	"select": true, "values": true, "show": true, "table": true, "with": true,
}

// writeWords make a statement with a read verb modify data, directly or in a
// WITH query, or create a table (SELECT INTO).
var writeWords = map[string]bool{
	"insert": true, "update": true, "delete": true, "merge": true,
	"truncate": true, "into": true, "create": true, "drop": true, "alter": true,
	"call": true, "copy": true, "lock": true,
}

// lockWords follow FOR in a locking clause.
var lockWords = map[string]bool{"update": true, "share": true, "no": true, "key": true}

// readOnly reports whether a statement is known not to write.
func readOnly(tokens []token) bool {
	first := 0
	for first < len(tokens) && tokens[first].symbol("(") {
		first++
	}
	if !readVerbs[wordAt(tokens, first)] {
		return false
	}
	for i, t := range tokens {
		if t.kind == tokenBroken || writes(tokens, i) || volatileFunction(call(tokens, i)) {
			return false
		}
	}
	return true
}

func writes(tokens []token, i int) bool {
	if tokens[i].kind != tokenWord {
		return false
	}
	return writeWords[tokens[i].text] || tokens[i].text == "for" && lockWords[wordAt(tokens, i+1)]
}
