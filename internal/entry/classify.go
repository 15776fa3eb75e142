package entry

import (
	"slices"
	"strings"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
	sqlstmt "github.com/beryltrestle/beryltrestle/internal/statement"
)

// class says how the entry must treat a statement.
type class int

// Classes of statements.
const (
	// classOther may write. The statement is repeated only if it certainly did not run.
	classOther class = iota
	// classRead has no effect, so the statement may be repeated.
	classRead
	// classBegin only begins a transaction. It may be repeated: when the stream to the
	// owner breaks, the transaction is rolled back.
	classBegin
	// classCommit may make the effects of a transaction permanent.
	classCommit
	// classRollback ends a transaction and discards its effects.
	classRollback
	// classLocal is answered by the entry itself.
	classLocal
	// classRefused needs session state that connection pooling cannot keep, or a part of
	// the protocol that is not supported.
	classRefused
)

// statementClass is the result of classifying one statement.
type statementClass struct {
	class class
	// tag is the command tag with which a classLocal statement is answered.
	tag string
	// clearsStatements is true if a classLocal statement deallocates all prepared
	// statements.
	clearsStatements bool
	// message is the error message for a classRefused statement.
	message string
}

// batchClasses is the result of classifying all statements of a batch.
type batchClasses struct {
	statements []statementClass
	requestKey string
}

// requestKeyPrefix precedes the request key in a comment.
const requestKeyPrefix = "request_key="

// classifyTexts classifies all statements of the texts.
func classifyTexts(texts []string) batchClasses {
	c := batchClasses{}
	for _, text := range texts {
		l := lex(text)
		for _, tokens := range l.statements {
			c.statements = append(c.statements, classify(tokens))
		}
		if c.requestKey == "" {
			c.requestKey = findRequestKey(l.comments)
		}
	}
	return c
}

// findRequestKey returns the first request key in the comments, empty if there is none.
func findRequestKey(comments []string) string {
	for _, comment := range comments {
		for field := range strings.FieldsFuncSeq(comment, func(r rune) bool { return r == ' ' || r == ',' || r == '\n' || r == '\t' }) {
			if key, ok := strings.CutPrefix(field, requestKeyPrefix); ok {
				return key
			}
		}
	}
	return ""
}

// count returns the number of statements that belong to one of the classes.
func (c batchClasses) count(classes ...class) int {
	n := 0
	for _, sc := range c.statements {
		if slices.Contains(classes, sc.class) {
			n++
		}
	}
	return n
}

// repeatable reports whether running the batch twice does no harm.
func (c batchClasses) repeatable() bool { return c.count(classRead, classBegin) == len(c.statements) }

// answeredLocally reports whether the entry answers the whole batch.
func (c batchClasses) answeredLocally() bool {
	return len(c.statements) > 0 && c.count(classLocal) == len(c.statements)
}

// refusal returns the refusal of the batch, nil if the batch is accepted.
func (c batchClasses) refusal() *refusal {
	for _, sc := range c.statements {
		if sc.class == classRefused {
			return notRun(stateNotSupported, metrics.RefusedSessionState, "%s", sc.message)
		}
	}
	if c.count(classLocal) > 0 && !c.answeredLocally() {
		return notRun(stateNotSupported, metrics.RefusedSessionState, "SET, RESET, DISCARD and DEALLOCATE must not share a batch with other statements")
	}
	return nil
}

// refusedStatement returns the class of a statement that needs session state.
func refusedStatement(feature string) statementClass {
	return statementClass{class: classRefused, message: feature + " needs session state, which a pooled connection cannot keep"}
}

// classify classifies one statement.
func classify(tokens []token) statementClass {
	if sc, ok := classifyFunctions(tokens); ok {
		return sc
	}
	switch first := wordAt(tokens, 0); first {
	case "listen", "unlisten", "notify", "execute", "load":
		return refusedStatement(strings.ToUpper(first))
	case "prepare":
		return refusedStatement("PREPARE")
	case "deallocate":
		return classifyDeallocate(tokens)
	case "declare":
		if hasWordPair(tokens, "with", "hold") {
			return refusedStatement("DECLARE ... WITH HOLD")
		}
	case "create":
		if createsTemporary(tokens) {
			return refusedStatement("a temporary table")
		}
	case "copy":
		if hasWordPair(tokens, "from", "stdin") {
			return statementClass{class: classRefused, message: "COPY FROM STDIN is not supported"}
		}
	case "set":
		return classifySet(tokens)
	case "reset":
		return statementClass{class: classLocal, tag: "RESET"}
	case "discard":
		return statementClass{class: classLocal, tag: "DISCARD " + strings.ToUpper(wordAt(tokens, 1)), clearsStatements: wordAt(tokens, 1) == "all"}
	case "begin", "start":
		return statementClass{class: classBegin}
	case "commit", "end":
		return statementClass{class: classCommit}
	case "rollback", "abort":
		if !slices.ContainsFunc(tokens, func(t token) bool { return t.text == "to" }) {
			return statementClass{class: classRollback}
		}
	case "select", "with", "values", "table", "show":
		return classifyQuery(tokens)
	}
	return statementClass{class: classOther}
}

// classifyDeallocate refuses DEALLOCATE, except DEALLOCATE ALL, which the entry answers.
func classifyDeallocate(tokens []token) statementClass {
	last := wordAt(tokens, len(tokens)-1)
	if last == "all" {
		return statementClass{class: classLocal, tag: "DEALLOCATE ALL", clearsStatements: true}
	}
	return refusedStatement("DEALLOCATE")
}

// createsTemporary reports whether a CREATE statement creates a temporary object.
func createsTemporary(tokens []token) bool {
	for i := 1; i < len(tokens) && i <= 4; i++ {
		switch wordAt(tokens, i) {
		case "temp", "temporary":
			return true
		case "or", "replace", "global", "local":
		default:
			return false
		}
	}
	return false
}

// classifyFunctions refuses statements that call a function with session state. It returns
// false if there is no such call.
func classifyFunctions(tokens []token) (statementClass, bool) {
	for i := range tokens {
		if !isCall(tokens, i) {
			continue
		}
		name := tokens[i].text
		advisory := strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_")
		if advisory && !strings.Contains(name, "_xact_") {
			return refusedStatement(name), true
		}
		if name == "pg_notify" || name == "pg_listening_channels" {
			return refusedStatement(name), true
		}
		if name == "set_config" && !isTransactionLocal(tokens[i:]) {
			return refusedStatement("set_config for the session"), true
		}
	}
	return statementClass{}, false
}

// isTransactionLocal reports whether the last argument of set_config is true, which limits
// the setting to the transaction.
func isTransactionLocal(tokens []token) bool {
	for i, t := range tokens {
		if t.kind == tokenSymbol && t.text == ")" {
			return wordAt(tokens, i-1) == "true"
		}
	}
	return false
}

// isCall reports whether token i is the name of a function that is called.
func isCall(tokens []token, i int) bool {
	return tokens[i].kind == tokenWord && i+1 < len(tokens) && tokens[i+1].kind == tokenSymbol && tokens[i+1].text == "("
}

// writeKeywords are words that show that a query may write or lock rows.
var writeKeywords = []string{"insert", "update", "delete", "merge", "into", "share", "nextval", "setval"}

// classifyQuery distinguishes queries without an effect from those that may write.
func classifyQuery(tokens []token) statementClass {
	if hasWordPair(tokens, "into", "temp") || hasWordPair(tokens, "into", "temporary") {
		return refusedStatement("a temporary table")
	}
	for i, t := range tokens {
		if t.kind != tokenWord {
			continue
		}
		if slices.Contains(writeKeywords, t.text) || isCall(tokens, i) && !sqlstmt.SideEffectFree(t.text) {
			return statementClass{class: classOther}
		}
	}
	return statementClass{class: classRead}
}

// classifySet accepts settings for the transaction. A setting for the session is
// accepted only if it changes nothing, and is then answered by the entry.
func classifySet(tokens []token) statementClass {
	rest := tokens[1:]
	switch wordAt(rest, 0) {
	case "transaction", "local", "constraints":
		return statementClass{class: classOther}
	case "session":
		rest = rest[1:]
	}
	name, value := parseSetting(rest)
	if isDefaultSetting(name, value) {
		return statementClass{class: classLocal, tag: "SET"}
	}
	return refusedStatement("SET " + name)
}

// parseSetting returns the name and value of SET name = value, SET TIME ZONE value
// and SET NAMES value.
func parseSetting(tokens []token) (name, value string) {
	name = wordAt(tokens, 0)
	rest := tokens[min(1, len(tokens)):]
	switch {
	case name == "time" && wordAt(rest, 0) == "zone":
		name, rest = "timezone", rest[1:]
	case name == "names":
		name = "client_encoding"
	case len(rest) > 0 && (rest[0].text == "=" || rest[0].text == "to"):
		rest = rest[1:]
	default:
		return name, ""
	}
	var b strings.Builder
	for _, t := range rest {
		b.WriteString(t.text)
	}
	return name, b.String()
}

// isDefaultSetting reports whether every session already behaves as if the setting had
// the value.
func isDefaultSetting(name, value string) bool {
	value = strings.ToLower(strings.ReplaceAll(value, " ", ""))
	switch strings.ToLower(name) {
	case "application_name":
		return true
	case "client_encoding":
		return value == "utf8" || value == "utf-8" || value == "unicode"
	case "datestyle":
		return value == "iso" || value == "iso,mdy"
	case "timezone":
		return value == "utc" || value == "etc/utc"
	case "extra_float_digits":
		return value == "1" || value == "2" || value == "3"
	case "standard_conforming_strings", "integer_datetimes":
		return value == "on"
	default:
		return false
	}
}

// wordAt returns the word at index i, empty if there is none.
func wordAt(tokens []token, i int) string {
	if i < 0 || i >= len(tokens) || tokens[i].kind != tokenWord {
		return ""
	}
	return tokens[i].text
}

// hasWordPair reports whether the first word is directly followed by the second.
func hasWordPair(tokens []token, first, second string) bool {
	for i := range tokens {
		if wordAt(tokens, i) == first && wordAt(tokens, i+1) == second {
			return true
		}
	}
	return false
}
