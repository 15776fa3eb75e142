package succession

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Candidate is an endpoint that may become the primary because it answered a status
// request.
type Candidate struct {
	ID       string
	Received logpos.Position
	Draining bool
	// SameZone marks an endpoint in the availability zone where the old primary's work
	// comes from.
	SameZone bool
}

// Choose returns the endpoint that should become the primary: the one with the most
// advanced log, because entries that only other logs have are lost. Among equal logs it
// prefers endpoints that are not draining. A draining endpoint is chosen over others
// with shorter logs only if lossless is set.
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

// better reports whether a is a better successor than b.
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

// HasQuorum reports whether the given number of answers, out of all replicas, must
// include one from a replica that has every acknowledged commit. sync is the number of
// replicas that confirm a commit before it is acknowledged.
func HasQuorum(answers, all, sync int) bool {
	if sync == 0 {
		return answers > 0
	}
	return answers > all-sync
}
