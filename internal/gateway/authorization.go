package gateway

import (
	"context"
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
	// catalog is the configuration that the authorization follows from, and until the time by
	// which a statement must have been sent to an endpoint; zero if there is no limit. Later the
	// key may have been withdrawn for longer than the bound.
	catalog *Catalog
	until   time.Time
}

// authorize returns what the caller may use, or the refusal if it must not use its database.
// accepted is the time at which this host accepted the caller's statement, read after the statement
// had arrived. begun is the database of the caller's open transaction or waiting statement, which
// may continue after the database was removed from the configuration.
func (gw *Gateway) authorize(caller Caller, begun Database, accepted time.Time) (authorization, *Reply) {
	// The proof is loaded first, so that it never belongs to a newer configuration than the
	// catalog.
	age := gw.catalogAge(accepted)
	catalog := gw.catalog()
	db, ok := catalog.Databases[caller.Database()]
	out := authorization{database: db, configured: ok, catalog: catalog}
	if !db.KeyRequired && (ok || !begun.KeyRequired) {
		return out, nil
	}
	team, held := catalog.Teams.TeamOfKey(caller.Key())
	reason := keyRefusal(gw.accessPolicy().Decide(held, age))
	switch reason {
	case "":
		out.team = team
		if bound := gw.accessPolicy().Revocation; bound > 0 {
			out.until = accepted.Add(bound - age)
		}
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

// renewAuthorization authorizes the running statement again if it has waited until its authorization
// ended or the configuration changed. It returns the refusal if the statement must not run any more.
func (s *sessionServer) renewAuthorization(ctx context.Context) *Reply {
	a := s.authorized
	if a.until.IsZero() || a.catalog == s.gateway.catalog() && boottime.Now().Before(a.until) {
		return nil
	}
	// The statement's database requires a key, even if the configuration lacks it now.
	if refusal := s.authorizeFor(s.db); refusal != nil {
		return refusal
	}
	if !s.token.held || s.token.team == s.authorized.team.Name {
		return nil
	}
	s.refundToken()
	return s.takeToken(ctx)
}

// authorizeStatement authorizes the caller for one more statement. If it must not run, the
// open transaction is rolled back and the refusal is returned.
func (s *sessionServer) authorizeStatement() *Reply {
	if s.state.Transaction() != nil {
		return s.authorizeFor(s.db)
	}
	return s.authorizeFor(Database{})
}

// authorizeFor is authorizeStatement for a statement of the database that was configured when the
// transaction or the statement began; the zero Database if there is none.
func (s *sessionServer) authorizeFor(begun Database) *Reply {
	authorized, refusal := s.gateway.authorize(s.caller, begun, boottime.Now())
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
