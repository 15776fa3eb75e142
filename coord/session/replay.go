package session

import "maps"

// ConnState is what an endpoint's connection holds of session state.
type ConnState struct {
	values  map[string]string
	aliases map[string]bool
}

// NewConnState returns the state of a new connection.
func NewConnState() *ConnState {
	return &ConnState{values: map[string]string{}, aliases: map[string]bool{}}
}

// Matches reports whether the connection holds exactly the session's values, so
// that no replay is needed.
func (c *ConnState) Matches(s *State) bool { return maps.Equal(c.values, s.values) }

// SwitchTo returns the statements that must run on the connection before a
// statement of the session may, and records their effect. A value cannot be
// removed alone, so values of another session are cleared by a reset, which also
// forgets prepared statements. The connection must be closed if one of the
// statements fails.
func (c *ConnState) SwitchTo(s *State, inTransaction bool) []Statement {
	var out []Statement
	if !inTransaction && c.foreign(s) {
		out = append(out, Statement{Op: OpReset})
		c.values = map[string]string{}
		c.aliases = map[string]bool{}
	}
	for name, value := range s.values {
		if held, ok := c.values[name]; ok && held == value {
			continue
		}
		out = append(out, Statement{Op: OpSet, Name: name, Args: value})
		c.values[name] = value
	}
	return out
}

// PrepareIfMissing returns the statement that prepares p on the connection, if p is missing
// there.
func (c *ConnState) PrepareIfMissing(p Prepared) []Statement {
	alias := p.Alias()
	if c.aliases[alias] {
		return nil
	}
	c.aliases[alias] = true
	return []Statement{{Op: OpPrepare, Name: alias, Args: p.Definition, Writes: p.Writes}}
}

// ForgetPrepared drops the record of p, after the connection said that it does not know
// it.
func (c *ConnState) ForgetPrepared(p Prepared) { delete(c.aliases, p.Alias()) }

// foreign reports whether the connection holds a value that the session lacks.
func (c *ConnState) foreign(s *State) bool {
	for name := range c.values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}
