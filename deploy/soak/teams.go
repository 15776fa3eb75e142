package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Settings of the hosts in runs with teams. They are shorter than at the users' sites, so that
// faults last longer than they do.
const (
	revokeBound  = 3 * time.Second
	configBound  = 3 * time.Second
	quotaWindow  = 2 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 5
)

// probeKey is the key of the checks that a host serves. It is never withdrawn.
const probeKey = "key-probe"

// team is a team of the configuration. Its list of keys is replaced and never changed, so that
// copies remain valid.
type team struct {
	name  string
	keys  []string
	limit limit
}

// limit is the limit of a team. Teams with the zero limit have none.
type limit struct{ rate, burst float64 }

// callerTeams is the number of the teams that callers belong to.
const callerTeams = 4

// newTeams returns the teams. The callers of a team send some ten to a hundred operations a
// second: the limits of two teams are far above that, the others far below.
func newTeams() []team {
	ample, scarce := limit{500, 200}, limit{10, 5}
	return []team{
		{"team-0", []string{"key-0a", "key-0b"}, ample},
		{"team-1", []string{"key-1a", "key-1b"}, scarce},
		{"team-2", []string{"key-2a", "key-2b"}, ample},
		{"team-3", []string{"key-3a"}, scarce},
		{"team-probe", []string{probeKey}, limit{}},
	}
}

// loweredLimit is far below what the callers of any team send.
var loweredLimit = limit{3, 2}

// allowed returns how many operations may be both sent and run in one window.
func (l limit) allowed() float64 {
	return (l.rate*quotaWindow.Seconds()+l.burst)*(1+quotaOverage) + quotaSlack
}

// tenants renders the teams as in the operator's configuration.
func tenants(teams []team) []map[string]any {
	var out []map[string]any
	for _, t := range teams {
		tenant := map[string]any{"Name": t.name, "ApiKeys": t.keys}
		if t.limit != (limit{}) {
			tenant["RatePerS"], tenant["Burst"] = t.limit.rate, t.limit.burst
		}
		out = append(out, tenant)
	}
	return out
}

// bounds returns the Bounds of the hosts' settings.
func (r *runner) bounds() map[string]any {
	out := map[string]any{"GraceS": stopGrace.Seconds(), "DrainMs": drainBound.Milliseconds()}
	if r.teams != nil {
		out["StrictRevoke"], out["RevokeMs"] = true, revokeBound.Milliseconds()
		out["ConfigApplyMs"], out["QuotaWindowS"] = configBound.Milliseconds(), quotaWindow.Seconds()
		out["QuotaOverage"], out["QuotaSlack"] = quotaOverage, quotaSlack
	}
	return out
}

// teamOfCaller returns the team of a caller as it was configured at first; nil in runs without
// teams.
func (r *runner) teamOfCaller(index int) *team {
	if r.teams == nil {
		return nil
	}
	return &newTeams()[index%callerTeams]
}

// chooseKey returns one of the keys of the caller's team, whether or not it is in force.
func (c *caller) chooseKey() string {
	if c.team == nil {
		return c.name
	}
	return c.team.keys[c.random.IntN(len(c.team.keys))]
}

// keyed returns the record of a statement that is sent now.
func (c *caller) keyed(s *session) keyedStatement {
	if c.team == nil {
		return keyedStatement{}
	}
	return keyedStatement{team: c.team.name, key: s.key, sentAt: time.Now()}
}

// changeTeam changes a team of the configuration.
func (r *runner) changeTeam(index int, change func(t *team)) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	change(&r.teams[index])
	r.writeConfigLocked()
}

// minWithdrawal is the shortest time for which a key is withdrawn. Callers keep sending it for
// some seconds after it must have stopped working.
const minWithdrawal = revokeBound + 2*time.Second

// withdrawKeys withdraws keys of a team and gives them back.
func (r *runner) withdrawKeys(ctx context.Context, index int, keys []string, duration time.Duration) {
	withdrawn := func(key string) bool { return slices.Contains(keys, key) }
	r.changeTeam(index, func(t *team) { t.keys = slices.DeleteFunc(slices.Clone(t.keys), withdrawn) })
	wait.Sleep(ctx, duration)
	r.changeTeam(index, func(t *team) {
		t.keys = append(slices.DeleteFunc(slices.Clone(t.keys), withdrawn), keys...)
	})
}

// withdrawals lists the faults of keys.
var withdrawals = []fault{
	{name: "withdraw a key", inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		index := random.IntN(callerTeams)
		keys := newTeams()[index].keys
		n := random.IntN(len(keys))
		r.withdrawKeys(ctx, index, keys[n:n+1], minWithdrawal+duration)
	}},
	{name: "withdraw all keys of a team", inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		index := random.IntN(callerTeams)
		r.withdrawKeys(ctx, index, newTeams()[index].keys, minWithdrawal+duration)
	}},
	// Random faults of the store seldom last for longer than revokeBound while a key is withdrawn.
	{name: "withdraw all keys of a team while the store fails", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		f := storeFault(1 + random.IntN(int(storeFaultCount)-1))
		for _, h := range r.hostList() {
			r.store.setFault(h.name, f)
			defer r.store.setFault(h.name, storeHealthy)
		}
		index := random.IntN(callerTeams)
		r.withdrawKeys(ctx, index, newTeams()[index].keys, minWithdrawal+duration)
	}},
}

// loweredLimits lists the faults of limits.
var loweredLimits = []fault{
	// The calm lets the other faults end and the lowered limit become binding. It remains
	// lowered under the faults that follow.
	{name: "lower a limit", calm: longestFault + configBound, inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		index := random.IntN(callerTeams)
		r.changeTeam(index, func(t *team) { t.limit = loweredLimit })
		wait.Sleep(ctx, longestFault+configBound+2*duration)
		r.changeTeam(index, func(t *team) { t.limit = newTeams()[index].limit })
	}},
}

// lowerLimitInCalm lowers the limit of a team after the last fault, and lets the callers go on
// until the lowered limit has been binding for two windows.
func (r *runner) lowerLimitInCalm(ctx context.Context, random *rand.Rand) {
	r.changeTeam(random.IntN(callerTeams), func(t *team) { t.limit = loweredLimit })
	wait.Sleep(ctx, configBound+2*quotaWindow)
}

// disturbance is a time in which hosts may have been without contact to the store or each other.
type disturbance struct{ began, ended time.Time }

// addDisturbance records a disturbance that ends now.
func (r *runner) addDisturbance(began time.Time) {
	r.disturbancesMu.Lock()
	defer r.disturbancesMu.Unlock()
	r.disturbances = append(r.disturbances, disturbance{began, time.Now()})
}
