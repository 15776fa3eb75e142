package statement

import "strings"

// sessionStateKeywords are the first words of statements that always change session
// state, with the name of that state.
var sessionStateKeywords = map[string]string{
	"listen": "LISTEN", "unlisten": "UNLISTEN", "notify": "NOTIFY",
	"deallocate": "DEALLOCATE", "discard": "DISCARD", "reset": "RESET",
	"load": "LOAD", "prepare": "PREPARE",
}

// transactionScopeKeywords are the words after SET that limit it to the transaction.
var transactionScopeKeywords = map[string]bool{
	"local": true, "transaction": true, "constraints": true,
}

// sessionState returns the name of the session state that a statement leaves behind and
// that connection pooling cannot keep, or "" if there is none.
func sessionState(tokens []token) string {
	first := wordAt(tokens, 0)
	if s := sessionStateKeywords[first]; s != "" {
		return s
	}
	switch {
	case first == "set" && !transactionScopeKeywords[wordAt(tokens, 1)]:
		return "SET"
	case first == "declare" && hasWordPair(tokens, "with", "hold"):
		return "DECLARE WITH HOLD"
	case createsTemporary(tokens):
		return "temporary table"
	}
	return functionSessionState(tokens)
}

// createsTemporary reports whether a statement contains CREATE TEMPORARY, SELECT INTO
// TEMPORARY, or a name in the session's temporary schema.
func createsTemporary(tokens []token) bool {
	for i, t := range tokens {
		if t.kind != tokenWord && t.kind != tokenQuoted {
			continue
		}
		if t.text == "pg_temp" || isTemporaryKeyword(t.text) && followsCreate(tokens, i) {
			return true
		}
	}
	return false
}

func isTemporaryKeyword(w string) bool { return w == "temp" || w == "temporary" }

// followsCreate reports whether the word at index i belongs to a CREATE or INTO clause.
func followsCreate(tokens []token, i int) bool {
	for i--; i >= 0; i-- {
		switch wordAt(tokens, i) {
		case "create", "into":
			return true
		case "local", "global", "or", "replace":
		default:
			return false
		}
	}
	return false
}

// functionSessionState returns the name of the session state that a function called in
// the statement changes, or "".
func functionSessionState(tokens []token) string {
	for i := range tokens {
		switch name := calledFunction(tokens, i); {
		case name == "set_config" && !isTransactionLocal(tokens[i+1:]):
			return "set_config"
		case name == "pg_notify":
			return "NOTIFY"
		case takesSessionLock(name):
			return "session advisory lock"
		}
	}
	return ""
}

// isTransactionLocal reports whether the last argument of set_config is true, which
// limits the setting to the transaction.
func isTransactionLocal(arguments []token) bool {
	depth := 0
	for i, t := range arguments {
		switch {
		case t.isSymbol("("):
			depth++
		case t.isSymbol(")"):
			depth--
		}
		if depth == 0 {
			return i > 1 && arguments[i-1].isWord("true") && arguments[i-2].isSymbol(",")
		}
	}
	return false
}

// takesSessionLock reports whether the function takes or releases an advisory lock of
// the session.
func takesSessionLock(name string) bool {
	lock := strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_")
	return lock && !strings.Contains(name, "_xact_")
}

// hasWordPair reports whether the word a is directly followed by b.
func hasWordPair(tokens []token, a, b string) bool {
	for i := range tokens {
		if wordAt(tokens, i) == a && wordAt(tokens, i+1) == b {
			return true
		}
	}
	return false
}
