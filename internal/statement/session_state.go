package statement

import "strings"

// stateVerbs are statements that leave session state by their first word alone.
var stateVerbs = map[string]string{
	"listen": "LISTEN", "unlisten": "UNLISTEN", "notify": "NOTIFY",
	"deallocate": "DEALLOCATE", "discard": "DISCARD", "reset": "RESET",
	"load": "LOAD", "prepare": "PREPARE",
}

// transactionSettings follow SET and last no longer than the transaction.
var transactionSettings = map[string]bool{
	"local": true, "transaction": true, "constraints": true,
}

// sessionState names the session state that a statement leaves behind and that
// pooling cannot keep, or returns "".
func sessionState(tokens []token) string {
	first := wordAt(tokens, 0)
	if s := stateVerbs[first]; s != "" {
		return s
	}
	switch {
	case first == "set" && !transactionSettings[wordAt(tokens, 1)]:
		return "SET"
	case first == "declare" && hasPair(tokens, "with", "hold"):
		return "DECLARE WITH HOLD"
	case temporary(tokens):
		return "temporary table"
	}
	return functionState(tokens)
}

// temporary finds CREATE TEMPORARY and SELECT INTO TEMPORARY, and names in the
// session's own schema.
func temporary(tokens []token) bool {
	for i, t := range tokens {
		if t.kind != tokenWord && t.kind != tokenQuoted {
			continue
		}
		if t.text == "pg_temp" || temporaryWord(t.text) && creates(tokens, i) {
			return true
		}
	}
	return false
}

func temporaryWord(w string) bool { return w == "temp" || w == "temporary" }

// creates reports whether the words before the index create a table.
func creates(tokens []token, i int) bool {
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

// functionState finds functions that change the session.
func functionState(tokens []token) string {
	for i := range tokens {
		switch name := call(tokens, i); {
		case name == "set_config" && !localConfig(tokens[i+1:]):
			return "set_config"
		case name == "pg_notify":
			return "NOTIFY"
		case sessionLock(name):
			return "session advisory lock"
		}
	}
	return ""
}

// localConfig reports whether the arguments of set_config end in true, which
// limits the setting to the transaction.
func localConfig(arguments []token) bool {
	depth := 0
	for i, t := range arguments {
		switch {
		case t.symbol("("):
			depth++
		case t.symbol(")"):
			depth--
		}
		if depth == 0 {
			return i > 1 && arguments[i-1].word("true") && arguments[i-2].symbol(",")
		}
	}
	return false
}

func sessionLock(name string) bool {
	lock := strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_")
	return lock && !strings.Contains(name, "_xact_")
}

func hasPair(tokens []token, a, b string) bool {
	for i := range tokens {
		if wordAt(tokens, i) == a && wordAt(tokens, i+1) == b {
			return true
		}
	}
	return false
}
