package session

import "maps"

// Replica is what an endpoint's connection holds of session state.
type Replica struct {
	values  map[string]string
	aliases map[string]bool
}

// NewReplica returns the state of a new connection.
func NewReplica() *Replica {
	return &Replica{values: map[string]string{}, aliases: map[string]bool{}}
}

// Same reports whether the connection holds exactly the session's values, so
// that no replay is needed.
func (r *Replica) Same(s *State) bool { return maps.Equal(r.values, s.values) }

// Adopt returns the statements that must run on the connection before a
// statement of the session may, and records their effect. A value cannot be
// removed alone, so values of another session are cleared by a reset, which also
// forgets prepared statements. The connection must be closed if one of the
// statements fails.
func (r *Replica) Adopt(s *State, inTransaction bool) []Statement {
	var out []Statement
	if !inTransaction && r.foreign(s) {
		out = append(out, Statement{Op: OpReset})
		r.values = map[string]string{}
		r.aliases = map[string]bool{}
	}
	for name, value := range s.values {
		if held, ok := r.values[name]; ok && held == value {
			continue
		}
		out = append(out, Statement{Op: OpSet, Name: name, Args: value})
		r.values[name] = value
	}
	return out
}

// Need returns the statement that prepares p on the connection, if p is missing
// there.
func (r *Replica) Need(p Prepared) []Statement {
	alias := p.Alias()
	if r.aliases[alias] {
		return nil
	}
	r.aliases[alias] = true
	return []Statement{{Op: OpPrepare, Name: alias, Args: p.Definition, Writes: p.Writes}}
}

// Forget drops the record of p, after the connection said that it does not know
// it.
func (r *Replica) Forget(p Prepared) { delete(r.aliases, p.Alias()) }

// foreign reports whether the connection holds a value that the session lacks.
func (r *Replica) foreign(s *State) bool {
	for name := range r.values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}
