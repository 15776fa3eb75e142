package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// authorize returns the team of the caller; no name if the caller's database requires no key.
// It returns the refusal if the caller must not use the database. accepted is the time at which
// this host accepted the caller's statement, read after the statement had arrived. known is the
// caller's database as of its open transaction, which may continue after the database was
// removed from the configuration.
func (gw *Gateway) authorize(caller Caller, known Database, accepted time.Time) (access.Team, *Reply) {
	// The proof is loaded first, so that it never belongs to a newer configuration than the
	// catalog.
	age := gw.catalogAge(accepted)
	catalog := gw.catalog()
	db, ok := catalog.Databases[caller.Database()]
	if !ok {
		db = known
	}
	if !db.KeyRequired {
		return access.Team{}, nil
	}
	team, held := catalog.Teams.TeamOfKey(caller.Key())
	reason := keyRefusal(gw.accessPolicy().Decide(held, age))
	switch reason {
	case "":
		return team, nil
	case metrics.RefusedUnknownKey:
		gw.metrics.Inc(reason)
		return access.Team{}, &Reply{Code: CodeUnauthenticated, Detail: string(reason)}
	}
	gw.metrics.Inc(reason)
	return access.Team{}, &Reply{Code: CodeBusy, Detail: gw.retryHint(reason)}
}

// accessPolicy returns the bounds within which changes of the configuration take effect.
func (gw *Gateway) accessPolicy() access.Policy {
	return access.Policy{Revocation: gw.cfg.RevocationBound, Application: gw.cfg.ConfigurationBound}
}

// keyRefusal returns the reason for which a statement is refused after the verdict on its key;
// empty if it is not.
func keyRefusal(v access.Verdict) metrics.Name {
	switch v {
	case access.Accepted:
		return ""
	case access.Rejected:
		return metrics.RefusedUnknownKey
	}
	return metrics.RefusedOutdatedConfiguration
}

// catalogAge returns the time from the sending of the read that proves this host's configuration
// to be in force until now; negative if there is no proof.
func (gw *Gateway) catalogAge(now time.Time) time.Duration {
	asOf := gw.catalogAsOf.Load()
	if asOf == 0 {
		return -1
	}
	return max(time.Duration(now.UnixNano()-asOf), 0)
}

// keysUnproven reports whether this host refuses all keys, because its configuration may be out
// of date.
func (gw *Gateway) keysUnproven(now time.Time) bool {
	if gw.cfg.RevocationBound == 0 {
		return false
	}
	age := gw.catalogAge(now)
	return age < 0 || age > gw.cfg.RevocationBound
}

// authorizeStatement authorizes the caller for one more statement. If it must not run, the
// open transaction is rolled back and the refusal is returned.
func (s *sessionServer) authorizeStatement() *Reply {
	team, refusal := s.gateway.authorize(s.caller, s.db, boottime.Now())
	if refusal == nil {
		s.team = team
		return nil
	}
	reply := s.failStatement(refusal.Code, refusal.Detail)
	return &reply
}
