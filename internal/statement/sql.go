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
			info.parseComment(t.text)
		case t.isSymbol(";"):
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

// addStatement adds the effects of one statement and reports whether it is read-only.
// The semicolons in the body of an SQL-standard function (BEGIN ATOMIC) do not end the
// statement, but its parts are classified separately. This is safe, because the first
// part is never read-only.
func (i *Info) addStatement(tokens []token) bool {
	begins, ends := transactionControl(tokens)
	i.BeginsTransaction = i.BeginsTransaction || begins
	i.EndsTransaction = i.EndsTransaction || ends
	if i.SessionState == "" {
		i.SessionState = sessionState(tokens)
	}
	i.CallsUnknownFunction = i.CallsUnknownFunction || callsUnknownFunction(tokens)
	return readOnly(tokens)
}
