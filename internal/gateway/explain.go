package gateway

import (
	"fmt"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// ExplainQuery describes the statement whose way is explained.
type ExplainQuery struct {
	Database string
	// Team is the name of the caller's team; empty if none is given.
	Team   string
	Writes bool
}

// Results of a statement.
const (
	// ResultSent: it would be sent to an endpoint.
	ResultSent = "sent"
	// ResultWaits: it would wait, see Outcome.Detail.
	ResultWaits = "waits"
	// ResultRefused: it would be refused.
	ResultRefused = "refused"
)

// Explanation is what a host would do with a new statement of a new session now, and why. Names
// and numbers are those that the host decides by.
type Explanation struct {
	Host     string               `json:"host"`
	NotReady string               `json:"not_ready,omitempty"`
	Database *DatabaseExplanation `json:"database,omitempty"`
	Keys     KeysExplanation      `json:"keys"`
	Team     *TeamExplanation     `json:"team,omitempty"`
	// Endpoints are in the order of their IDs.
	Endpoints []EndpointExplanation `json:"endpoints"`
	Outcome   Outcome               `json:"outcome"`
}

// DatabaseExplanation is the configuration of the database.
type DatabaseExplanation struct {
	Name           string  `json:"name"`
	Group          string  `json:"group"`
	Consistency    string  `json:"consistency"`
	MaxStalenessMs float64 `json:"max_staleness_ms"`
	ObjectiveMs    float64 `json:"objective_ms"`
	TimeoutMs      float64 `json:"timeout_ms"`
	Priority       int     `json:"priority"`
	// PrimaryOnly is true if only the primary can serve the statement.
	PrimaryOnly bool `json:"primary_only"`
}

// KeysExplanation says whether this host accepts keys.
type KeysExplanation struct {
	Required bool `json:"required"`
	// Accepted is true if this host would accept the key of a team now.
	Accepted bool `json:"accepted"`
	// ProofAgeMs is the age of the proof that the configuration is in force; missing if there is
	// none.
	ProofAgeMs *float64 `json:"proof_age_ms,omitempty"`
	// RevocationBoundMs is the age up to which keys are accepted; 0 if there is no bound.
	RevocationBoundMs float64 `json:"revocation_bound_ms"`
	Version           uint64  `json:"configuration_version"`
}

// TeamExplanation is what this host knows of the team and its tokens.
type TeamExplanation struct {
	// Name is empty for a team that is not configured: an operator may have given a key instead.
	Name    string  `json:"name,omitempty"`
	Known   bool    `json:"known"`
	HasKey  bool    `json:"has_key"`
	Limited bool    `json:"limited"`
	Rate    float64 `json:"rate_per_s,omitempty"`
	Burst   float64 `json:"burst,omitempty"`
	Share   float64 `json:"share"`
	// Tokens is the number of tokens that this host holds and that may be used now, TokensLater
	// that of tokens that may be used later. Waiting operations wait here for one.
	Tokens      int                 `json:"tokens"`
	TokensLater int                 `json:"tokens_later"`
	Waiting     int                 `json:"waiting"`
	Lenders     []LenderExplanation `json:"lenders,omitempty"`
	// Decision is the name of the quota.Decision on the next operation, Lender the one that it
	// asks, and AfterMs the time after which it tries again.
	Decision string  `json:"decision,omitempty"`
	Lender   string  `json:"lender,omitempty"`
	AfterMs  float64 `json:"after_ms,omitempty"`
}

// LenderExplanation is a quota.LenderExplanation.
type LenderExplanation struct {
	Address string  `json:"address"`
	Status  string  `json:"status"`
	WaitMs  float64 `json:"wait_ms,omitempty"`
}

// Outcome is what would happen to the statement.
type Outcome struct {
	// Result is one of the Result constants.
	Result   string `json:"result"`
	Endpoint string `json:"endpoint,omitempty"`
	// Reason is the name of the counter of the refusal; with ResultWaits, of the refusal that
	// follows if the wait is in vain.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMs and RetryAfterMaxMs limit the time after which the caller is told to try again.
	RetryAfterMs    int64 `json:"retry_after_ms,omitempty"`
	RetryAfterMaxMs int64 `json:"retry_after_max_ms,omitempty"`
	// Detail says more in words.
	Detail string `json:"detail,omitempty"`
}

// Explain returns what this host would do with a statement now, and why. It changes nothing, so
// that later statements are served as without it. It may be called from any goroutine.
func (gw *Gateway) Explain(q ExplainQuery) Explanation {
	now := boottime.Now()
	// The order is that of authorize.
	age := gw.catalogAge(now)
	catalog := gw.catalog()
	out := Explanation{Host: gw.cfg.Host, Keys: gw.explainKeys(catalog, age), Endpoints: []EndpointExplanation{}}
	if err := gw.Ready(); err != nil {
		out.NotReady = err.Error()
	}
	db, ok := catalog.Databases[q.Database]
	if !ok {
		out.Outcome = refusedOutcome(gw.unknownDatabaseRefusal(now), "this host's configuration has no such database")
		return out
	}
	out.Keys.Required = db.KeyRequired
	out.Database = explainDatabase(db, q.Writes)
	var team access.Team
	if q.Team != "" && db.KeyRequired {
		team, _ = catalog.Teams.Team(q.Team)
		out.Team = gw.explainTeam(now, team, catalog.Teams)
	}
	chosen := gw.explainEndpoints(now, &out, db, team, q.Writes)
	out.Outcome = gw.explainOutcome(now, &out, db, age, chosen)
	return out
}

// explainKeys returns whether keys are accepted.
func (gw *Gateway) explainKeys(catalog *Catalog, age time.Duration) KeysExplanation {
	out := KeysExplanation{
		Accepted:          gw.keysAccepted(age),
		RevocationBoundMs: inMs(gw.cfg.RevocationBound), Version: catalog.Version,
	}
	if age >= 0 {
		ms := inMs(age)
		out.ProofAgeMs = &ms
	}
	return out
}

// explainDatabase returns the configuration of the database.
func explainDatabase(db Database, writes bool) *DatabaseExplanation {
	return &DatabaseExplanation{
		Name: db.Name, Group: db.Group, Consistency: db.Consistency.String(), MaxStalenessMs: inMs(db.MaxStaleness),
		ObjectiveMs: inMs(db.LatencyObjective), TimeoutMs: inMs(db.Timeout), Priority: db.Priority,
		PrimaryOnly: writes || db.Consistency == ConsistencyPrimary,
	}
}

// String returns the name of the consistency level.
func (c Consistency) String() string {
	switch c {
	case ConsistencyPrimary:
		return "primary"
	case ConsistencyBounded:
		return "bounded staleness"
	case ConsistencySession:
		return "read your writes"
	}
	return "unknown"
}

// explainTeam returns what this host knows of the team; its name is empty if it is not configured.
func (gw *Gateway) explainTeam(now time.Time, team access.Team, teams *access.Directory) *TeamExplanation {
	out := &TeamExplanation{Name: team.Name, Known: team.Name != "", HasKey: teams.HasKey(team.Name), Limited: team.Limited, Share: team.Share}
	if !team.Limited {
		return out
	}
	out.Rate, out.Burst = team.Rate, team.Burst
	if gw.quota == nil {
		out.Limited = false
		return out
	}
	gw.quota.explain(now, team.Name, out)
	return out
}

// explain adds what this host knows of the tokens of the team.
func (q *teamQuota) explain(now time.Time, team string, out *TeamExplanation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	out.Waiting = q.waiting[team]
	x := q.borrower.Explain(now, team, out.Waiting+1)
	out.Tokens, out.TokensLater = x.Usable, x.Delayed
	out.Decision, out.Lender, out.AfterMs = x.Decision.String(), x.Order.Lender, inMs(x.Order.After)
	for _, l := range x.Lenders {
		out.Lenders = append(out.Lenders, LenderExplanation{Address: l.Address, Status: string(l.Status), WaitMs: inMs(l.Wait)})
	}
}

// explainOutcome returns what would happen to the statement, in the order in which it would be
// decided. chosen is the outcome of the choice of the endpoint.
func (gw *Gateway) explainOutcome(now time.Time, x *Explanation, db Database, age time.Duration, chosen Outcome) Outcome {
	if db.KeyRequired {
		held := x.Team == nil || x.Team.HasKey
		if reason := keyRefusal(gw.accessPolicy().Decide(held, age)); reason != "" {
			return refusedOutcome(reason, keyRefusalDetail(x.Team, reason))
		}
	}
	if gw.sessions.isClosing() {
		return refusedOutcome(metrics.RefusedDraining, "the host stops and takes no new sessions")
	}
	if gw.group(db.Group) == nil {
		return chosen
	}
	if x.Team != nil && x.Team.Limited {
		if o, ends := tokenOutcome(*x.Team); ends {
			return o
		}
	}
	if x.Team != nil && x.Team.Lender != "" && chosen.Result == ResultSent {
		chosen.Detail = joinDetails("once the lender "+x.Team.Lender+" has lent a token", chosen.Detail)
	}
	return chosen
}

// keyRefusalDetail says why a key is refused.
func keyRefusalDetail(team *TeamExplanation, reason metrics.Name) string {
	switch {
	case reason == metrics.RefusedOutdatedConfiguration:
		return "the configuration may be out of date, so that no key is accepted or known to be withdrawn"
	case !team.Known:
		return "the configuration has no such team"
	}
	return "the team has no key"
}

// tokenOutcome returns the outcome for an operation that gets no token now. It returns false if
// the operation has a token or will have asked a lender for one.
func tokenOutcome(team TeamExplanation) (Outcome, bool) {
	after := time.Duration(team.AfterMs * float64(time.Millisecond))
	reason := metrics.RefusedQuota
	switch team.Decision {
	case quota.Taken.String(), quota.Ask.String():
		return Outcome{}, false
	case quota.Unavailable.String():
		reason = metrics.RefusedQuotaUnavailable
	}
	if team.Decision != quota.Wait.String() && endsWait(after, maxTokenWait) {
		ms := quotaRetryMs(after)
		return Outcome{Result: ResultRefused, Reason: string(reason), RetryAfterMs: ms, RetryAfterMaxMs: ms}, true
	}
	return Outcome{
		Result: ResultWaits, Reason: string(reason),
		Detail: fmt.Sprintf("for a token of the team, at most %d ms, and looks again after %.0f ms", maxTokenWait.Milliseconds(), team.AfterMs),
	}, true
}

// refusedOutcome returns a refusal. What is not to be tried again has no time.
func refusedOutcome(reason metrics.Name, detail string) Outcome {
	out := Outcome{Result: ResultRefused, Reason: string(reason), Detail: detail}
	if reason != metrics.RefusedUnknownKey && reason != metrics.RefusedUnknownPool {
		least := retryDelay(reason)
		out.RetryAfterMs, out.RetryAfterMaxMs = least.Milliseconds(), 2*least.Milliseconds()
	}
	return out
}

// joinDetails joins two details, of which the second may be empty.
func joinDetails(first, second string) string {
	if second == "" {
		return first
	}
	return first + "; " + second
}

// inMs returns a duration in milliseconds.
func inMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
