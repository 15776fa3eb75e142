package owner

import "time"

// learn returns the usual run time of the statement, 0 if it is not known, and
// takes the new one into account.
func (g *group) learn(fingerprint uint64, ran time.Duration, failed bool) time.Duration {
	usual := g.usual[fingerprint]
	if failed || ran <= 0 || usual == 0 && len(g.usual) >= maxUsual {
		return usual
	}
	if usual == 0 {
		g.usual[fingerprint] = ran
		return 0
	}
	g.usual[fingerprint] = usual + (ran-usual)/usualWeight
	return usual
}
