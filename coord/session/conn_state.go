package session

import "maps"

// ConnState records which session state is set on an endpoint's connection.
type ConnState struct {
	values map[string]string
	// aliases holds the aliases of the prepared statements.
	aliases map[string]bool
	// bytes is the size of the texts in values and aliases.
	bytes int
}

// Bytes returns the size of what is set on the connection.
func (c *ConnState) Bytes() int { return c.bytes }

// NewConnState returns the state of a new connection.
func NewConnState() *ConnState {
	return &ConnState{values: map[string]string{}, aliases: map[string]bool{}}
}

// Matches reports whether exactly the session's values are set on the connection, so that
// nothing has to be replayed.
func (c *ConnState) Matches(s *State) bool { return maps.Equal(c.values, s.values) }

// Lacks reports whether SwitchTo would return statements.
func (c *ConnState) Lacks(s *State, inTransaction bool) bool {
	for name, value := range s.values {
		if held, ok := c.values[name]; !ok || held != value {
			return true
		}
	}
	return !inTransaction && c.hasForeignValues(s)
}

// IsPrepared reports whether p is prepared on the connection.
func (c *ConnState) IsPrepared(p Prepared) bool { return c.aliases[p.Alias()] }

// SwitchTo returns the statements that must run on the connection before a statement of
// the session, and records their effect. A single value cannot be removed. If the
// connection has values that the session lacks, a reset therefore removes all values; it
// also removes the prepared statements. Within a transaction there is no reset. If one of
// the statements fails, the connection must be closed.
func (c *ConnState) SwitchTo(s *State, inTransaction bool) []Statement {
	var out []Statement
	if !inTransaction && c.hasForeignValues(s) {
		out = append(out, Statement{Op: OpReset})
		c.values = map[string]string{}
		c.aliases = map[string]bool{}
		c.bytes = 0
	}
	for name, value := range s.values {
		held, ok := c.values[name]
		if ok && held == value {
			continue
		}
		if ok {
			c.bytes -= len(name) + len(held)
		}
		c.bytes += len(name) + len(value)
		out = append(out, Statement{Op: OpSet, Name: name, Args: value})
		c.values[name] = value
	}
	return out
}

// PrepareIfMissing returns the statement that prepares p on the connection, unless p is
// prepared there, and records p as prepared.
func (c *ConnState) PrepareIfMissing(p Prepared) []Statement {
	if c.IsPrepared(p) {
		return nil
	}
	alias := p.Alias()
	c.aliases[alias] = true
	c.bytes += len(alias)
	return []Statement{{Op: OpPrepare, Name: alias, Args: p.Definition, Writes: p.Writes}}
}

// ForgetPrepared records that p is not prepared on the connection, after the endpoint
// reported that it does not know p.
func (c *ConnState) ForgetPrepared(p Prepared) {
	alias := p.Alias()
	if c.aliases[alias] {
		c.bytes -= len(alias)
	}
	delete(c.aliases, alias)
}

// hasForeignValues reports whether a value is set on the connection that the session lacks.
func (c *ConnState) hasForeignValues(s *State) bool {
	for name := range c.values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}
