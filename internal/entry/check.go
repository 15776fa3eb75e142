package entry

import (
	"slices"
	"strings"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
	sqlstmt "github.com/beryltrestle/beryltrestle/internal/statement"
)

// class is what the entry has to know of a statement.
type class int

// Classes of statements.
const (
	// classOther may write; it is repeated only if it did not run.
	classOther class = iota
	// classRead has no effect.
	classRead
	// classBegin only opens a transaction, which a broken stream rolls back.
	classBegin
	// classCommit may make the effects of a transaction permanent.
	classCommit
	// classRollback ends a transaction without an effect.
	classRollback
	// classLocal is answered by the entry.
	classLocal
	// classRefused needs session state or a protocol that pooling cannot keep.
	classRefused
)

// verdict is the class of one statement.
type verdict struct {
	class class
	// tag is the command tag of a local statement.
	tag string
	// clear says that a local statement removes all prepared statements.
	clear bool
	// message says why a statement is refused.
	message string
}

// check is the verdict on all texts of a batch.
type check struct {
	verdicts   []verdict
	requestKey string
}

// requestKeyName is the name in a comment that gives the request key.
const requestKeyName = "request_key="

// checkTexts classifies all statements of the texts.
func checkTexts(texts []string) check {
	c := check{}
	for _, text := range texts {
		l := lex(text)
		for _, tokens := range l.statements {
			c.verdicts = append(c.verdicts, classify(tokens))
		}
		if c.requestKey == "" {
			c.requestKey = findRequestKey(l.comments)
		}
	}
	return c
}

// findRequestKey returns the request key of a comment, empty if there is none.
func findRequestKey(comments []string) string {
	for _, comment := range comments {
		for field := range strings.FieldsFuncSeq(comment, func(r rune) bool { return r == ' ' || r == ',' || r == '\n' || r == '\t' }) {
			if key, ok := strings.CutPrefix(field, requestKeyName); ok {
				return key
			}
		}
	}
	return ""
}

// count returns the number of statements of the classes.
func (c check) count(classes ...class) int {
	n := 0
	for _, v := range c.verdicts {
		if slices.Contains(classes, v.class) {
			n++
		}
	}
	return n
}

// repeatable reports whether the batch may run twice.
func (c check) repeatable() bool { return c.count(classRead, classBegin) == len(c.verdicts) }

// local reports whether the entry answers the whole batch.
func (c check) local() bool { return len(c.verdicts) > 0 && c.count(classLocal) == len(c.verdicts) }

// refusal returns why the batch is refused, nil if it is not.
func (c check) refusal() *refusal {
	for _, v := range c.verdicts {
		if v.class == classRefused {
			return notRun(stateNotSupported, metrics.RefusedSessionState, "%s", v.message)
		}
	}
	if c.count(classLocal) > 0 && !c.local() {
		return notRun(stateNotSupported, metrics.RefusedSessionState, "SET, RESET, DISCARD and DEALLOCATE must not share a batch with other statements")
	}
	return nil
}

// refused returns the verdict on a statement that needs session state.
func refused(what string) verdict {
	return verdict{class: classRefused, message: what + " needs session state, which a pooled connection cannot keep"}
}

// classify returns the verdict on one statement.
func classify(tokens []token) verdict {
	if v, ok := classifyFunctions(tokens); ok {
		return v
	}
	switch first := word(tokens, 0); first {
	case "listen", "unlisten", "notify", "execute", "load":
		return refused(strings.ToUpper(first))
	case "prepare":
		return refused("PREPARE")
	case "deallocate":
		return classifyDeallocate(tokens)
	case "declare":
		if hasSequence(tokens, "with", "hold") {
			return refused("DECLARE ... WITH HOLD")
		}
	case "create":
		if createsTemporary(tokens) {
			return refused("a temporary table")
		}
	case "copy":
		if hasSequence(tokens, "from", "stdin") {
			return verdict{class: classRefused, message: "COPY FROM STDIN is not supported"}
		}
	case "set":
		return classifySet(tokens)
	case "reset":
		return verdict{class: classLocal, tag: "RESET"}
	case "discard":
		return verdict{class: classLocal, tag: "DISCARD " + strings.ToUpper(word(tokens, 1)), clear: word(tokens, 1) == "all"}
	case "begin", "start":
		return verdict{class: classBegin}
	case "commit", "end":
		return verdict{class: classCommit}
	case "rollback", "abort":
		if !slices.ContainsFunc(tokens, func(t token) bool { return t.text == "to" }) {
			return verdict{class: classRollback}
		}
	case "select", "with", "values", "table", "show":
		return classifyQuery(tokens)
	}
	return verdict{class: classOther}
}

// classifyDeallocate allows only DEALLOCATE ALL, which the entry answers.
func classifyDeallocate(tokens []token) verdict {
	last := word(tokens, len(tokens)-1)
	if last == "all" {
		return verdict{class: classLocal, tag: "DEALLOCATE ALL", clear: true}
	}
	return refused("DEALLOCATE")
}

// createsTemporary reports whether a CREATE makes a temporary object.
func createsTemporary(tokens []token) bool {
	for i := 1; i < len(tokens) && i <= 4; i++ {
		switch word(tokens, i) {
		case "temp", "temporary":
			return true
		case "or", "replace", "global", "local":
		default:
			return false
		}
	}
	return false
}

// classifyFunctions refuses functions that keep session state.
func classifyFunctions(tokens []token) (verdict, bool) {
	for i := range tokens {
		if !isCall(tokens, i) {
			continue
		}
		name := tokens[i].text
		advisory := strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_")
		if advisory && !strings.Contains(name, "_xact_") {
			return refused(name), true
		}
		if name == "pg_notify" || name == "pg_listening_channels" {
			return refused(name), true
		}
		if name == "set_config" && !setsLocally(tokens[i:]) {
			return refused("set_config for the session"), true
		}
	}
	return verdict{}, false
}

// setsLocally reports whether the last argument of set_config is true.
func setsLocally(tokens []token) bool {
	for i, t := range tokens {
		if t.kind == tokenSymbol && t.text == ")" {
			return word(tokens, i-1) == "true"
		}
	}
	return false
}

// isCall reports whether the token is the name of a called function.
func isCall(tokens []token, i int) bool {
	return tokens[i].kind == tokenWord && i+1 < len(tokens) && tokens[i+1].kind == tokenSymbol && tokens[i+1].text == "("
}

// writingWords keep a query from being taken for a read.
var writingWords = []string{"insert", "update", "delete", "merge", "into", "share", "nextval", "setval"}

// classifyQuery tells queries without effect from others.
func classifyQuery(tokens []token) verdict {
	if hasSequence(tokens, "into", "temp") || hasSequence(tokens, "into", "temporary") {
		return refused("a temporary table")
	}
	for i, t := range tokens {
		if t.kind != tokenWord {
			continue
		}
		if slices.Contains(writingWords, t.text) || isCall(tokens, i) && !sqlstmt.SideEffectFree(t.text) {
			return verdict{class: classOther}
		}
	}
	return verdict{class: classRead}
}

// classifySet allows settings of the transaction, and answers a setting of the
// session that changes nothing.
func classifySet(tokens []token) verdict {
	rest := tokens[1:]
	switch word(rest, 0) {
	case "transaction", "local", "constraints":
		return verdict{class: classOther}
	case "session":
		rest = rest[1:]
	}
	name, value := setting(rest)
	if settingAccepted(name, value) {
		return verdict{class: classLocal, tag: "SET"}
	}
	return refused("SET " + name)
}

// setting returns the name and value of SET name = value, SET TIME ZONE value
// and SET NAMES value.
func setting(tokens []token) (name, value string) {
	name = word(tokens, 0)
	rest := tokens[min(1, len(tokens)):]
	switch {
	case name == "time" && word(rest, 0) == "zone":
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

// settingAccepted reports whether the session already behaves as if the setting
// had the value.
func settingAccepted(name, value string) bool {
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

// word returns the word at an index, empty if there is none.
func word(tokens []token, i int) string {
	if i < 0 || i >= len(tokens) || tokens[i].kind != tokenWord {
		return ""
	}
	return tokens[i].text
}

// hasSequence reports whether two words follow one another.
func hasSequence(tokens []token, first, second string) bool {
	for i := range tokens {
		if word(tokens, i) == first && word(tokens, i+1) == second {
			return true
		}
	}
	return false
}
