package database

import (
	"strconv"
	"strings"
)

// command classifies statements by how they are run.
type command int

const (
	commandRead command = iota
	commandWrite
	// commandLockingRead is SELECT ... FOR UPDATE or FOR SHARE. It takes the write lock
	// but does not enter the log.
	commandLockingRead
	commandBegin
	commandCommit
	commandRollback
	commandSession
	commandShow
	commandFunction
	commandUnsupported
)

// parsedStatement is a statement with its translation to the engine's dialect.
type parsedStatement struct {
	command command
	// verb is the statement's first keyword in upper case.
	verb string
	// tokens are the tokens of the client's text without white space and comments.
	tokens []token
	// sql is the translated text.
	sql string
	// params is the number of the client's parameters.
	params int
	// usesNow is true if the statement calls now(). The time is then passed as parameter
	// params+1, so that replicas store the same time.
	usesNow bool
	// casts holds the types of parameters with a cast ($n::type), by n.
	casts map[int]string
	// returning is the index of RETURNING in tokens, or 0 if there is none.
	returning int
	ddl       bool
}

var commands = map[string]command{
	"SELECT": commandRead, "VALUES": commandRead, "EXPLAIN": commandRead, "WITH": commandRead, "TABLE": commandRead,
	"INSERT": commandWrite, "UPDATE": commandWrite, "DELETE": commandWrite, "REPLACE": commandWrite,
	"CREATE": commandWrite, "DROP": commandWrite, "ALTER": commandWrite,
	"BEGIN": commandBegin, "START": commandBegin,
	"COMMIT": commandCommit, "END": commandCommit,
	"ROLLBACK": commandRollback, "ABORT": commandRollback,
	"SET": commandSession, "RESET": commandSession, "DISCARD": commandSession, "DEALLOCATE": commandSession,
	"SHOW": commandShow,
}

func parse(tokens []token) (*parsedStatement, error) {
	plain := withoutSpace(tokens)
	p := &parsedStatement{
		verb:   strings.ToUpper(plain[0].text),
		tokens: plain,
		casts:  map[int]string{},
	}
	known := false
	if p.command, known = commands[p.verb]; !known {
		return p, unknownCommand(p.verb)
	}
	p.classify()
	p.translate(tokens)
	return p, nil
}

func unknownCommand(verb string) error {
	switch verb {
	case "SAVEPOINT", "RELEASE", "COPY", "LISTEN", "NOTIFY", "LOCK", "TRUNCATE", "PREPARE", "EXECUTE", "DECLARE":
		return newError(sqlStateNotSupported, "%s is not supported", verb)
	}
	return newError(sqlStateSyntaxError, "syntax error at or near %q", verb)
}

func (p *parsedStatement) classify() {
	switch {
	case p.verb == "ROLLBACK" && len(p.tokens) > 1 && p.tokens[1].isKeyword("TO"):
		p.command = commandUnsupported
	case p.verb == "WITH" && p.hasWrite():
		p.command = commandWrite
	case p.command == commandRead && p.functionName() != "":
		p.command = commandFunction
	case p.verb == "SELECT" && p.lockClause() > 0:
		p.command = commandLockingRead
	}
	p.ddl = p.verb == "CREATE" || p.verb == "DROP" || p.verb == "ALTER"
	if p.command == commandWrite && !p.ddl {
		p.returning = p.indexOf("RETURNING")
	}
}

func (p *parsedStatement) hasWrite() bool {
	return p.indexOf("INSERT") > 0 || p.indexOf("UPDATE") > 0 || p.indexOf("DELETE") > 0
}

// indexOf returns the index of the first token that is the keyword, or 0 if there is
// none.
func (p *parsedStatement) indexOf(keyword string) int {
	for i, t := range p.tokens {
		if t.isKeyword(keyword) {
			return i
		}
	}
	return 0
}

// lockClause returns the index of the last FOR UPDATE or FOR SHARE, or 0 if there is
// none.
func (p *parsedStatement) lockClause() int {
	for i := len(p.tokens) - 2; i > 0; i-- {
		if p.tokens[i].isKeyword("FOR") && (p.tokens[i+1].isKeyword("UPDATE") || p.tokens[i+1].isKeyword("SHARE")) {
			return i
		}
	}
	return 0
}

// translate sets the translated text and the number of parameters.
func (p *parsedStatement) translate(tokens []token) {
	for _, t := range tokens {
		if t.kind == tokenParam {
			p.params = max(p.params, paramNumber(t))
		}
	}
	var b strings.Builder
	lastParam := 0
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.kind == tokenCast:
			i = p.skipCast(tokens, i, lastParam)
			continue
		case t.isKeyword("FOR") && p.command == commandLockingRead:
			i = len(tokens)
			continue
		case t.isKeyword("now") && isEmptyArgumentList(tokens[i+1:]):
			b.WriteString("$" + strconv.Itoa(p.params+1))
			p.usesNow = true
			i += 2
			continue
		}
		b.WriteString(translateToken(t, p.ddl))
		lastParam = 0
		if t.kind == tokenParam {
			lastParam = paramNumber(t)
		}
	}
	p.sql = b.String()
}

func paramNumber(t token) int {
	n, _ := strconv.Atoi(t.text[1:])
	return n
}

func isEmptyArgumentList(next []token) bool {
	return len(next) >= 2 && next[0].isSymbol("(") && next[1].isSymbol(")")
}

// skipCast records the type of a cast and returns the index of the type's last token.
func (p *parsedStatement) skipCast(tokens []token, i, param int) int {
	for i+1 < len(tokens) && tokens[i+1].kind == tokenSpace {
		i++
	}
	if i+1 >= len(tokens) {
		return i
	}
	i++
	if param > 0 {
		p.casts[param] = tokens[i].text
	}
	if i+3 < len(tokens) && tokens[i+1].isSymbol("(") && tokens[i+2].kind == tokenNumber {
		i += 3
	}
	return i
}

// translateToken returns the text of a token in the engine's dialect.
func translateToken(t token, ddl bool) string {
	switch {
	case t.isKeyword("ILIKE"):
		return "LIKE"
	case ddl && (t.isKeyword("SERIAL") || t.isKeyword("BIGSERIAL")):
		return "INTEGER"
	case t.isKeyword("TIMESTAMPTZ"):
		return "TIMESTAMP"
	}
	return t.text
}

// isDDL reports whether a logged statement changes the schema.
func isDDL(sql string) bool {
	verb, _, _ := strings.Cut(sql, " ")
	verb = strings.ToUpper(verb)
	return verb == "CREATE" || verb == "DROP" || verb == "ALTER"
}

// tag returns the CommandComplete tag of a statement that returned or changed the given
// number of rows.
func (p *parsedStatement) tag(rows int64) string {
	n := strconv.FormatInt(rows, 10)
	switch {
	case p.command == commandRead || p.command == commandLockingRead || p.command == commandFunction:
		return "SELECT " + n
	case p.verb == "INSERT" || p.verb == "REPLACE":
		return "INSERT 0 " + n
	case p.verb == "WITH":
		return "SELECT " + n
	case p.ddl && len(p.tokens) > 1:
		return p.verb + " " + p.ddlObject()
	case p.command == commandWrite:
		return p.verb + " " + n
	}
	return p.verb
}

func (p *parsedStatement) ddlObject() string {
	for _, t := range p.tokens[1:] {
		for _, o := range []string{"TABLE", "INDEX", "VIEW", "TRIGGER"} {
			if t.isKeyword(o) {
				return o
			}
		}
	}
	return strings.ToUpper(p.tokens[1].text)
}
