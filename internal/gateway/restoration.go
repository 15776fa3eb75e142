package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// restorationKey is the key of the row of TableState that holds a restorationRecord.
const restorationKey = "restoration"

// forgottenClaimGrace is how long after a restoration the answers of hosts that have restarted
// since do not count: such a host may have acknowledged a claim that the store has lost.
const forgottenClaimGrace = 5 * time.Second

// errStoreRestoring means that the store may lack claims that hosts still know.
var errStoreRestoring = errors.New("the store was restored and may lack claims")

// restorationRecord says that the rows which the store had lost when it was restored from an
// older copy have been written again. The store loses the record as well, so that it names an
// earlier era then.
type restorationRecord struct {
	// Era is the newest era of the store for which this holds.
	Era uint64 `json:"era"`
}

// check implements record.
func (r restorationRecord) check(string) error {
	if r.Era > rows.MaxEra {
		return errors.Newf("era %d is out of range", r.Era)
	}
	return nil
}

// restorationState is what this host knows about restorations of the store.
type restorationState struct {
	// era is the era of this host's mirror of TableState; seenAt is when the mirror reached
	// it.
	era    uint64
	seenAt time.Time
	// knownBefore is the time as of which this host knew every row of the store before the
	// restorations that are not completed.
	knownBefore time.Time
	// completedEra is the newest era whose lost rows have been written again, and completedAt
	// when this host learned of it.
	completedEra uint64
	completedAt  time.Time
	// version is the version of the row; 0 if there is none.
	version uint64
	// formerElectorates are those that this host's mirror held before the restorations that
	// are not completed.
	formerElectorates []electorate.Electorate
	// writing is true while this host writes lost rows; retryAt is when it may do so again
	// after a failure.
	writing bool
	retryAt time.Time
}

// recordEra records that the mirror of TableState has reached a new era. It must be called
// before the rows of that era are applied.
func (c *controller) recordEra() {
	r := &c.restoration
	era := rows.Era(c.tables[TableState].Through())
	if era <= r.era {
		return
	}
	if c.storeComplete() {
		r.knownBefore = c.completeAsOf[TableState]
	}
	r.era, r.seenAt = era, boottime.Now()
	if c.electorate.Sets() != nil {
		r.formerElectorates = append(r.formerElectorates, c.electorate.Electorate)
	}
	c.gw.events.log.Info().Uint64("era", era).Uint64("completed", r.completedEra).Msg("store is in a new era")
}

// applyRestoration applies the row of the restoration.
func (c *controller) applyRestoration(row rows.Row) {
	r := &c.restoration
	r.version = row.Version
	if row.Deleted {
		r.version, r.completedEra = 0, 0
		return
	}
	record, err := decodeRecord[restorationRecord](row)
	if err != nil {
		c.gw.events.log.Warn().Err(err).Msg("restoration row cannot be decoded")
		return
	}
	r.completedEra, r.completedAt = record.Era, boottime.Now()
	if c.storeComplete() {
		r.formerElectorates = nil
	}
}

// storeComplete reports whether the store has all claims as far as restorations are concerned.
func (c *controller) storeComplete() bool { return c.restoration.completedEra >= c.restoration.era }

// claimsAsOf returns the time as of which this host knows every claim from the store; zero if
// the store may lack claims.
func (c *controller) claimsAsOf() time.Time {
	if !c.storeComplete() {
		return time.Time{}
	}
	return c.completeAsOf[TableState]
}

// storeKnownAsOf returns the time as of which this host knows every row of TableState. While the
// store may lack rows, that is a time before it was restored.
func (c *controller) storeKnownAsOf() time.Time {
	if !c.storeComplete() {
		return c.restoration.knownBefore
	}
	return c.completeAsOf[TableState]
}

// maintainRestoration writes the rows that the store has lost, once a quorum has told what it
// knows, or hosts that do not know of the restoration cannot be permitted to use primaries any more.
// The live host that ranks first does so, and the next ones if it does not.
func (c *controller) maintainRestoration(now time.Time) {
	r := &c.restoration
	if c.storeComplete() || r.writing || now.Before(r.retryAt) || c.leaving || c.electorate.ownAddress == "" || !c.isListed() {
		return
	}
	rank := c.rankInGroup(now, storeReadersGroup)
	if rank >= electorateRanks || now.Sub(r.seenAt) < time.Duration(rank)*electorateRankDelay {
		return
	}
	listed := c.listedAddresses()
	vote := c.voteOnRestoration(now, listed)
	deciding := append([]electorate.Electorate{c.decidingVoters()}, r.formerElectorates...)
	age := time.Duration(0)
	if horizonsKnown(listed, vote) {
		age = now.Sub(r.seenAt)
	}
	for _, e := range deciding {
		if !e.ConcludedAt(age, vote) {
			c.callVoters(now, listed, e, vote)
			return
		}
	}
	c.writeLostRows()
}

// voteOnRestoration returns the votes on writing the lost rows: a host agrees if it has
// answered this one with all that it knows, in the present era.
func (c *controller) voteOnRestoration(now time.Time, listed map[string]*member) func(string) electorate.Vote {
	r := &c.restoration
	// A fleet that starts for the first time has acknowledged nothing.
	firstStart := c.electorate.version == 0 && len(r.formerElectorates) == 0
	return func(address string) electorate.Vote {
		m, ok := listed[address]
		switch {
		case !ok:
			return electorate.VoteMissing
		case m == nil:
			return electorate.VoteAgrees
		case rows.Era(m.mirrorVersions[TableState]) < r.era || !m.answeredAt.After(r.seenAt):
			return electorate.VoteMissing
		case !firstStart && m.knownSince.After(r.seenAt) && now.Sub(r.seenAt) < forgottenClaimGrace:
			return electorate.VoteMissing
		}
		return electorate.VoteAgrees
	}
}

// callVoters calls voters that have not agreed, at most maxInformCalls at a time.
func (c *controller) callVoters(now time.Time, listed map[string]*member, e electorate.Electorate, vote func(string) electorate.Vote) {
	calls := 0
	for _, set := range e.Sets() {
		for _, address := range set {
			m := listed[address]
			if m == nil || vote(address) == electorate.VoteAgrees || m.callInFlight || m.failedRecently(now) {
				continue
			}
			if calls++; calls > maxInformCalls {
				return
			}
			m.calledAt, m.callInFlight = now, true
			c.startExchange(m.Name, m.Address, c.gossipMessage(now, m.mirrorVersions))
		}
	}
}

// stateRow is a row of TableState that is to be written over the given version.
type stateRow struct {
	key     string
	version uint64
	value   []byte
}

// lostRows returns the rows that are behind what this host knows.
func (c *controller) lostRows() []stateRow {
	var out []stateRow
	for name, g := range *c.gw.currentGroups.Load() {
		key := claimPrefix + name
		row, stands := c.tables[TableState].Get(key)
		claim, err := decodeRecord[claimRecord](row)
		switch {
		case !stands:
			row, claim = rows.Row{}, claimRecord{}
		case err != nil:
			claim = claimRecord{}
		}
		g.mu.Lock()
		known := g.fence
		g.mu.Unlock()
		stored := claim.fenceState(row.Version)
		if known.Version == 0 || known.EndedTerm <= stored.EndedTerm && known.fencedTerm() <= stored.fencedTerm() {
			continue
		}
		claim = claimRecord{Fence: claim.Fence, Term: max(known.Term, known.EndedTerm), Withdrawn: known.Withdrawn, EndedTerm: known.EndedTerm}
		out = append(out, stateRow{key: key, version: row.Version, value: encodeRecord(claim)})
	}
	if formers := c.restoration.formerElectorates; len(formers) > 0 {
		if newest := formers[len(formers)-1]; !newest.Equal(c.electorate.Electorate) {
			out = append(out, stateRow{key: electorateKey, version: c.electorate.version, value: encodeRecord(electorateRecord{Electorate: newest})})
		}
	}
	return out
}

// writeLostRows writes the lost rows, and then that the restoration is completed.
func (c *controller) writeLostRows() {
	r := &c.restoration
	lost := c.lostRows()
	pending := append(lost, stateRow{key: restorationKey, version: r.version, value: encodeRecord(restorationRecord{Era: r.era})})
	era := r.era
	r.writing = true
	c.spawn("write lost rows", func() {
		var err error
		for _, row := range pending {
			if _, err = c.writeStateRow(c.gw.ctx, row.key, row.version, row.value); err != nil {
				break
			}
		}
		// The mirror must hold the rows that were written, or that have changed meanwhile.
		_, listErr := c.fetchListing(c.gw.ctx, TableState)
		err = errors.CombineErrors(err, listErr)
		c.submit(func() {
			c.restoration.writing = false
			c.restoration.retryAt = boottime.Now().Add(storeRetryMin)
			c.gw.events.log.Info().Uint64("era", era).Int("lost", len(lost)).AnErr("error", err).Msg("rows that the store had lost were written")
			if err == nil {
				c.gw.metrics.Inc(metrics.StoreRestorations)
			}
		})
	})
}
