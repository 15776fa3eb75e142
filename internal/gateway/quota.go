package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const (
	// lendTimeout limits a call to a lender.
	lendTimeout = 200 * time.Millisecond
	// maxTokenWait limits how long an operation waits for the answer of a lender. Lenders answer
	// within milliseconds and lend tokens no more than 40 ms ahead, so that operations wait
	// longer only if several lenders do not answer.
	maxTokenWait = 250 * time.Millisecond
	// maxRefusalWait limits how long an operation waits for a lender that has refused to have a
	// token again.
	maxRefusalWait = 50 * time.Millisecond
)

// teamQuota lends and borrows the tokens of teams on this host.
type teamQuota struct {
	host, address, zone string

	mu       sync.Mutex
	lender   *quota.Lender
	borrower *quota.Borrower
	voters   []string
	// zones holds the availability zones of the other hosts by address.
	zones map[string]string
	// waiting is the number of operations of each team that wait for a token.
	waiting map[string]int
	// callDone is closed and replaced when a call of the team to a lender has ended.
	callDone map[string]chan struct{}
}

// newTeamQuota returns a teamQuota that knows no electorate.
func newTeamQuota(cfg Config) *teamQuota {
	q := &teamQuota{
		host: cfg.Host, address: cfg.Address, zone: cfg.AvailabilityZone, lender: quota.NewLender(cfg.Quota),
		waiting: make(map[string]int), callDone: make(map[string]chan struct{}),
	}
	q.borrower = quota.NewBorrower(cfg.Quota, q.preferredOrder)
	return q
}

// preferredOrder returns the lenders in the order in which this host asks them: those of its own
// availability zone first, and otherwise in an order that differs from host to host.
func (q *teamQuota) preferredOrder(team string, lenders []string) []string {
	return quota.PreferredOrder(q.host, team, lenders, func(address string) bool {
		return address == q.address || q.zones[address] == q.zone
	})
}

// setElectorate records the electorate that this host knows from now on, and the voters in force.
func (q *teamQuota) setElectorate(now time.Time, e quota.Electorate, inForce []string, zones map[string]string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.zones = zones
	q.lender.SetElectorate(now, q.address, e)
	if !slices.Equal(q.voters, inForce) {
		q.voters = inForce
		q.borrower.SetVoters(inForce)
	}
}

// settle records that the electorate of the version has been in force for quota.RoleDelay.
func (q *teamQuota) settle(now time.Time, version uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lender.Settle(now, version)
}

// setLimits records the limits of the teams.
func (q *teamQuota) setLimits(teams []access.Team) {
	limits := make(map[string]quota.Limit)
	for _, team := range teams {
		if team.Limited {
			limits[team.Name] = quota.Limit{Rate: team.Rate, Burst: team.Burst}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lender.SetLimits(limits)
	q.borrower.SetLimits(limits)
}

// lend answers a request for tokens.
func (q *teamQuota) lend(r quota.Request) quota.Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lender.Lend(boottime.Now(), r)
}

// refund gives back the token of an operation that did not run.
func (q *teamQuota) refund(team string, token quota.Token) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Refund(team, token)
}

// callEnded records the result of a call to a lender, and wakes the operations that wait for it.
func (q *teamQuota) callEnded(team string, record func(now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record(boottime.Now())
	if done := q.callDone[team]; done != nil {
		close(done)
		delete(q.callDone, team)
	}
}

// callDoneChannel returns the channel that is closed when a call of the team has ended. The
// mutex must be held.
func (q *teamQuota) callDoneChannel(team string) <-chan struct{} {
	if q.callDone[team] == nil {
		q.callDone[team] = make(chan struct{})
	}
	return q.callDone[team]
}

// Lend answers another host's request for tokens of a team. The permission to use primaries
// shows that this host's knowledge of the electorate is not older than quota.RoleDelay. It must
// be checked first: what it rests on is then known to the lender. A gateway that has ended does not
// lend, since its successor at the same address may. Lend may be called from any goroutine.
func (gw *Gateway) Lend(r quota.Request) quota.Grant {
	if gw.quota == nil || gw.ctx.Err() != nil || !gw.primaryPermitted(boottime.Now()) {
		return quota.Grant{}
	}
	grant := gw.quota.lend(r)
	gw.metrics.Add(metrics.QuotaTokensLent, int64(grant.Tokens+grant.Delayed+grant.Extra))
	return grant
}

// takeToken takes a token for an operation of the team, and waits for it up to maxTokenWait.
// The decision is quota.Taken, quota.Refused or quota.Unavailable; the duration is the time
// after which another try makes sense.
func (gw *Gateway) takeToken(ctx context.Context, team string) (quota.Token, quota.Decision, time.Duration) {
	q := gw.quota
	until := boottime.Now().Add(maxTokenWait)
	deadline := time.NewTimer(maxTokenWait)
	defer deadline.Stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[team]++
	defer q.leave(team)
	for repeated := false; ; repeated = true {
		now := boottime.Now()
		decision, order := q.borrower.Take(now, team, q.waiting[team], repeated)
		switch decision {
		case quota.Taken:
			return order.Token, decision, 0
		case quota.Refused, quota.Unavailable:
			if endsWait(order.After, until.Sub(now)) {
				return quota.Token{}, decision, order.After
			}
		case quota.Ask:
			go gw.askLender(order)
			order.After = quota.HedgeDelay
		}
		done := q.callDoneChannel(team)
		again := time.NewTimer(order.After)
		q.mu.Unlock()
		expired := false
		select {
		case <-done:
		case <-again.C:
		case <-deadline.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		again.Stop()
		q.mu.Lock()
		switch {
		case expired && q.borrower.Reachable(team):
			return quota.Token{}, quota.Refused, maxTokenWait
		case expired:
			return quota.Token{}, quota.Unavailable, maxTokenWait
		}
	}
}

// endsWait reports whether an operation that no lender has a token for is refused now, instead of
// waiting for the time after which a lender is asked again. left is how long it may still wait.
func endsWait(after, left time.Duration) bool { return after > maxRefusalWait || after > left }

// leave ends the wait of an operation. The mutex must be held.
func (q *teamQuota) leave(team string) {
	if q.waiting[team]--; q.waiting[team] == 0 {
		delete(q.waiting, team)
		delete(q.callDone, team)
	}
}

// askLender asks a lender for tokens.
func (gw *Gateway) askLender(order quota.Order) {
	team := order.Request.Team
	began := boottime.Now()
	var grant quota.Grant
	var err error
	if order.Lender == gw.cfg.Address {
		grant = gw.Lend(order.Request)
	} else {
		ctx, cancel := context.WithTimeout(gw.ctx, lendTimeout)
		defer cancel()
		gw.metrics.Inc(metrics.QuotaCalls)
		grant, err = gw.cfg.Peers.Lend(ctx, order.Lender, order.Request)
	}
	gw.quota.callEnded(team, func(now time.Time) {
		if err != nil {
			gw.metrics.Inc(metrics.QuotaCallsFailed)
			gw.quota.borrower.Failed(now, team, order.Lender)
			return
		}
		gw.quota.borrower.Answered(now, began, team, order.Lender, grant)
	})
}

// updateQuotaRoles tells the lender and the borrower of the electorate and the host list. It must
// be called before a permission that rests on them is used.
func (c *controller) updateQuotaRoles() {
	if c.gw.quota == nil {
		return
	}
	zones := make(map[string]string, len(c.members))
	for _, m := range c.members {
		zones[m.Address] = m.AvailabilityZone
	}
	record := quota.Electorate{Version: c.electorate.version, Base: c.electorate.base, Sets: c.electorate.Sets()}
	c.gw.quota.setElectorate(boottime.Now(), record, c.electorate.InForce(), zones)
}
