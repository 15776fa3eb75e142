package access

import "time"

// Verdict says whether a caller's key is accepted.
type Verdict uint8

// Verdicts.
const (
	// Accepted: the key is that of a team.
	Accepted Verdict = iota
	// Rejected: no team holds the key in the configuration in force.
	Rejected
	// Unproven: this host does not know which configuration is in force. Another host may.
	Unproven
)

// Policy holds the bounds within which changes of the configuration take effect.
type Policy struct {
	// Revocation is the time within which a withdrawn key must stop working; 0 means that there
	// is no bound.
	Revocation time.Duration
	// Application is the time within which a new key must work.
	Application time.Duration
}

// Decide returns the verdict for a statement. held is whether a team holds the key in the
// newest configuration that the host knows. age is the time from the sending of the read that
// proves this configuration to be in force until the statement was accepted; it is negative if
// the host has no proof.
func (p Policy) Decide(held bool, age time.Duration) Verdict {
	switch {
	case held && p.Revocation == 0:
		return Accepted
	case age < 0:
		return Unproven
	case held && age <= p.Revocation:
		return Accepted
	case !held && age <= p.Application:
		return Rejected
	}
	return Unproven
}
