package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// authorization is what a caller may use.
type authorization struct {
	// database is the caller's database. Statements must use this one, and not that of a
	// configuration which has come into force since. configured is false if there is none of the
	// name.
	database   Database
	configured bool
	// team is the caller's team; without a name if the database requires no key.
	team access.Team
}

// authorize returns what the caller may use, or the refusal if it must not use its database.
// accepted is the time at which this host accepted the caller's statement, read after the statement
// had arrived. inTransaction is the database of the caller's open transaction, which may continue
// after the database was removed from the configuration.
func (gw *Gateway) authorize(caller Caller, inTransaction Database, accepted time.Time) (authorization, *Reply) {
	// The proof is loaded first, so that it never belongs to a newer configuration than the
	// catalog.
	age := gw.catalogAge(accepted)
	catalog := gw.catalog()
	db, ok := catalog.Databases[caller.Database()]
	out := authorization{database: db, configured: ok}
	if !db.KeyRequired && (ok || !inTransaction.KeyRequired) {
		return out, nil
	}
	team, held := catalog.Teams.TeamOfKey(caller.Key())
	reason := keyRefusal(gw.accessPolicy().Decide(held, age))
	switch reason {
	case "":
		out.team = team
		return out, nil
	case metrics.RefusedUnknownKey:
		gw.metrics.Inc(reason)
		return out, &Reply{Code: CodeUnauthenticated, Detail: string(reason)}
	}
	gw.metrics.Inc(reason)
	return out, &Reply{Code: CodeBusy, Detail: gw.retryHint(reason)}
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

// keysAccepted reports whether this host accepts the keys of its configuration, whose proof has
// the given age. Otherwise the configuration may be out of date.
func (gw *Gateway) keysAccepted(age time.Duration) bool {
	return gw.accessPolicy().Decide(true, age) == access.Accepted
}

// authorizeStatement authorizes the caller for one more statement. If it must not run, the
// open transaction is rolled back and the refusal is returned.
func (s *sessionServer) authorizeStatement() *Reply {
	var inTransaction Database
	if s.state.Transaction() != nil {
		inTransaction = s.db
	}
	authorized, refusal := s.gateway.authorize(s.caller, inTransaction, boottime.Now())
	if refusal == nil && s.pinned != nil && s.pinned.team != authorized.team.Name {
		// The connection belongs to the team that held the key when the transaction began.
		s.gateway.metrics.Inc(metrics.RefusedTransactionLost)
		refusal = &Reply{Code: CodeAborted, Detail: "the caller's team has changed"}
	}
	if refusal != nil {
		reply := s.failStatement(refusal.Code, refusal.Detail)
		return &reply
	}
	s.authorized = authorized
	return nil
}
