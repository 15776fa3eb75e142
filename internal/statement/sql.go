package statement

// ClassifySQL classifies the statements of one SQL text.
func ClassifySQL(sql string) Info {
	info := Info{Text: sql}
	hash := newFingerprint()
	lex := lexer{text: sql}
	var tokens []token
	statements, readOnly := 0, true
	finish := func() {
		if len(tokens) == 0 {
			return
		}
		statements++
		readOnly = info.addStatement(tokens) && readOnly
		tokens = tokens[:0]
	}
	for t, ok := lex.next(); ok; t, ok = lex.next() {
		switch {
		case t.kind == tokenComment:
			info.readComment(t.text)
		case t.symbol(";"):
			finish()
			hash.add(t)
		default:
			tokens = append(tokens, t)
			hash.add(t)
		}
	}
	finish()
	info.ReadOnly = readOnly && statements > 0
	info.Fingerprint = hash.sum()
	return info
}

// addStatement adds what one statement does, and reports whether it is read
// only. Inside the body of an SQL-standard function a semicolon does not end
// the statement; its parts are then classified on their own, and the first part
// is never read only.
func (i *Info) addStatement(tokens []token) bool {
	begins, ends := transactionControl(tokens)
	i.Begins = i.Begins || begins
	i.Ends = i.Ends || ends
	if i.SessionState == "" {
		i.SessionState = sessionState(tokens)
	}
	i.CallsUnknown = i.CallsUnknown || callsUnknown(tokens)
	return readOnly(tokens)
}
