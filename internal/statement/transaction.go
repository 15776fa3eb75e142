package statement

// transactionControl reports whether a statement begins or ends a transaction
// block.
func transactionControl(tokens []token) (begins, ends bool) {
	switch first := wordAt(tokens, 0); first {
	case "begin":
		return true, false
	case "start":
		return wordAt(tokens, 1) == "transaction", false
	case "commit", "end", "rollback", "abort":
		return transactionEnd(tokens)
	case "prepare":
		return false, wordAt(tokens, 1) == "transaction"
	}
	return false, false
}

// transactionEnd reports what a statement that starts with COMMIT, END, ROLLBACK or ABORT
// does. ROLLBACK TO a savepoint and the second phase of a two-phase commit do not end the
// transaction block; AND CHAIN also begins the next block.
func transactionEnd(tokens []token) (begins, ends bool) {
	next := 1
	if w := wordAt(tokens, next); w == "work" || w == "transaction" {
		next++
	}
	switch wordAt(tokens, next) {
	case "to", "prepared":
		return false, false
	case "and":
		return wordAt(tokens, next+1) == "chain", true
	}
	return false, true
}

// wordAt returns the word at index i, or "" if there is none.
func wordAt(tokens []token, i int) string {
	if i >= len(tokens) || tokens[i].kind != tokenWord {
		return ""
	}
	return tokens[i].text
}
