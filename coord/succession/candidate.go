package succession

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Candidate is an endpoint that answered a status request.
type Candidate struct {
	ID       string
	Received logpos.Position
	Draining bool
	// SameZone marks an endpoint in the availability zone of the old primary's work.
	SameZone bool
}

// Choose returns the endpoint that should lead: the one whose log reaches
// furthest, as the rest of the log is lost. Among equals one that stays is better
// than one that leaves. An endpoint that leaves is chosen only if nobody else
// holds its last commits and lossless is set.
func Choose(candidates []Candidate, lossless bool) (Candidate, bool) {
	var best Candidate
	found := false
	for _, c := range candidates {
		if !found || better(c, best, lossless) {
			best, found = c, true
		}
	}
	return best, found
}

// better reports whether a is the better successor.
func better(a, b Candidate, lossless bool) bool {
	order := a.Received.Compare(b.Received)
	if a.Draining != b.Draining && (order == 0 || !lossless) {
		return b.Draining
	}
	if order != 0 {
		return order > 0
	}
	if a.SameZone != b.SameZone {
		return a.SameZone
	}
	return a.ID < b.ID
}

// HasQuorum reports whether the answers of so many replicas surely include one that
// holds every acknowledged commit, if each commit is confirmed by sync of all
// replicas.
func HasQuorum(answers, all, sync int) bool {
	if sync == 0 {
		return answers > 0
	}
	return answers > all-sync
}
