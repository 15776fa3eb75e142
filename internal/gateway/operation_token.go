package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// operationToken is the token of the operation that a session runs. An operation is a single
// statement, or a transaction from its first statement on.
type operationToken struct {
	held  bool
	team  string
	token quota.Token
}

// takeToken takes a token for the operation unless it holds one. It returns the refusal if the
// limit of the team is reached.
func (s *sessionServer) takeToken(ctx context.Context) *Reply {
	team := s.authorized.team
	if s.token.held || s.gateway.quota == nil || !team.Limited {
		return nil
	}
	token, decision, after := s.gateway.takeToken(ctx, team.Name)
	switch decision {
	case quota.Refused:
		return s.refuseByQuota(metrics.RefusedQuota, after)
	case quota.Unavailable:
		return s.refuseByQuota(metrics.RefusedQuotaUnavailable, after)
	}
	s.token = operationToken{held: true, team: team.Name, token: token}
	return nil
}

// refuseByQuota counts a refusal and returns the answer with the time after which another try
// makes sense.
func (s *sessionServer) refuseByQuota(reason metrics.Name, after time.Duration) *Reply {
	s.gateway.metrics.Inc(reason)
	reply := s.failStatement(CodeBusy, string(reason)+" retry-after-ms="+strconv.FormatInt(quotaRetryMs(after), 10))
	return &reply
}

// quotaRetryMs returns the milliseconds after which the caller of a refused operation should retry.
func quotaRetryMs(after time.Duration) int64 { return max(after.Milliseconds(), 1) }

// recordAttempt records whether the attempt used up the operation's token. It does unless the
// statement was not sent or was certainly not run: a statement that ran without effect, such as
// one that was rolled back or whose answer could not be kept, counts as well.
func (s *sessionServer) recordAttempt(a attempt) {
	notRun := a.err == nil && a.reply.Code.NotExecuted() && !a.reply.Ran && !a.reply.Dropped
	if a.sent && !notRun {
		s.token = operationToken{}
	}
}

// refundToken gives back the token of an operation that did not run.
func (s *sessionServer) refundToken() {
	if s.token.held && s.gateway.quota != nil {
		s.gateway.quota.refund(s.token.team, s.token.token)
	}
	s.token = operationToken{}
}
