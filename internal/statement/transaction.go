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
		return endsBlock(tokens)
	case "prepare":
		return false, wordAt(tokens, 1) == "transaction"
	}
	return false, false
}

// endsBlock tells the end of a block from ROLLBACK TO a savepoint and from the
// second phase of a two-phase commit, and notes AND CHAIN, which begins the next
// block.
func endsBlock(tokens []token) (begins, ends bool) {
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

// wordAt returns the word at the index, or "" if there is none.
func wordAt(tokens []token, i int) string {
	if i >= len(tokens) || tokens[i].kind != tokenWord {
		return ""
	}
	return tokens[i].text
}
