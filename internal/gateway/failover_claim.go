package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// claimAttempts limits how often the write of a claim is repeated because the electorate
// has changed meanwhile.
const claimAttempts = 3

// acquireClaim writes this host's claim. The write is conditional on the row that was
// read, so that only one of two competing hosts succeeds, and on the electorate, so that
// the quorum is one of the voters as of the claim: a host that knows a later electorate
// knows the claim as well. If the store's answer is lost, the claim is read back.
func (f *failover) acquireClaim(ctx context.Context) error {
	key := claimPrefix + f.group.name
	for attempt := 1; ; attempt++ {
		current, err := f.readClaim(ctx, key)
		if err == nil && !current.complete {
			err = errStoreRestoring
		}
		if err == nil {
			err = f.checkClaim(current.claim, current.version)
		}
		if err == nil && f.endedTermBefore(current) >= f.term {
			err = errNewerTerm
		}
		if err == nil {
			err = f.writeClaim(ctx, key, current)
		}
		if !errors.Is(err, ErrConflict) {
			return err
		}
		if attempt == claimAttempts {
			return errors.CombineErrors(errClaimLost, err)
		}
	}
}

// writeClaim writes this host's claim in place of the current one. It returns ErrConflict if
// the claim or the electorate has changed.
func (f *failover) writeClaim(ctx context.Context, key string, current stateListing) error {
	f.electorate = current.voters
	f.claim = claimRecord{Holder: f.controller.gw.cfg.Host, Incarnation: f.controller.incarnation, Fence: current.claim.Fence, Term: f.term}
	f.claim.EndedTerm = f.endedTermBefore(current)
	// A number that was given out before the store was restored must not be used again.
	f.claim.Fence = max(f.claim.Fence, rows.VersionInEra(current.era, 0))
	if current.claim.Holder != f.claim.Holder || current.claim.Incarnation != f.claim.Incarnation {
		f.claim.Fence++
	}
	f.claimedAt = boottime.Now()
	version, err := f.controller.writeStateRow(ctx, key, current.version, encodeRecord(f.claim), current.electorate)
	if err == nil {
		f.claimVersion = version
		return nil
	}
	switch {
	case errors.Is(err, ErrConflict):
		return err
	case errors.Is(err, ErrStoreRefused):
		return errors.CombineErrors(errClaimLost, err)
	}
	found, err := f.readClaim(ctx, key)
	if err != nil || found.claim != f.claim {
		return errors.CombineErrors(errClaimLost, err)
	}
	f.claimVersion = found.version
	return nil
}

// endedTermBefore returns the newest term that had ended before this host's claim. The row may
// have been removed or damaged, so that what this host knows counts as well.
func (f *failover) endedTermBefore(current stateListing) uint64 {
	f.group.mu.Lock()
	known := f.group.fence
	f.group.mu.Unlock()
	if current.version == 0 && known.Version == 0 {
		// Without a claim no host has used another term.
		return f.term - 1
	}
	return max(current.claim.EndedTerm, known.EndedTerm)
}

// checkClaim returns an error if the claim that is in the store must not be replaced.
//
// A stalled claim may be taken over only at the version that this host has seen stall. Its
// holder writes it again before it orders a promotion, which takes effect up to a second
// later; a second promotion in between gives the group two primaries in turn (ONE, seen on
// shahzad-hq trouble-3).
func (f *failover) checkClaim(current claimRecord, version uint64) error {
	switch {
	case version == 0:
		return nil
	case current.EndedTerm >= f.term:
		return errNewerTerm
	case f.reason == succession.ReasonUnclaimed && current.EndedTerm+1 >= f.term:
		return errTermPrepared
	case current.Withdrawn:
		return nil
	case current.Term > f.term:
		return errNewerTerm
	}
	if current.Term < f.term && !f.succeedsUnseen || current.Holder == f.controller.gw.cfg.Host {
		return nil
	}
	if f.reason == succession.ReasonStalled && version == f.fenceVersion {
		return nil
	}
	return errClaimLost
}

// stateListing is what a listing of TableState says about a failover.
type stateListing struct {
	// claim is the group's claim, and version the version of its row.
	claim   claimRecord
	version uint64
	// voters are the hosts of which a quorum is needed; electorate is the version of their
	// row.
	voters     electorate.Electorate
	electorate RowVersion
	// era is the era of the store.
	era uint64
	// complete is false if the store may lack claims that it had.
	complete bool
}

// readClaim reads the group's claim and the electorate from the store.
//
// If there is no claim that can be decoded, an earlier one may have been removed or
// overwritten. Its fence is then assumed to be the store's version: the fence increases by
// one at most with each write of the claim, and the version with each write of any row.
func (f *failover) readClaim(ctx context.Context, key string) (stateListing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := f.controller.gw.cfg.Store.List(ctx, TableState)
	if err != nil {
		return stateListing{}, err
	}
	out := stateListing{claim: claimRecord{Fence: listing.Version}, era: rows.Era(listing.Version), electorate: RowVersion{Key: electorateKey}}
	// The hosts that are polled next must include every host that is listed now.
	f.controller.submitAndWait(func() {
		f.controller.applyListing(TableState, listing)
		out.complete = f.controller.storeComplete()
		out.voters, out.electorate.Version = f.controller.decidingVoters(), f.controller.electorate.version
	})
	r := findRow(listing.Rows, key)
	out.version = r.Version
	if r.Version == 0 {
		return out, nil
	}
	claim, err := decodeRecord[claimRecord](r)
	if err != nil {
		f.controller.gw.events.log.Warn().Err(err).Msg("claim row cannot be decoded and is replaced")
		return out, nil
	}
	out.claim = claim
	return out, nil
}

// renewClaim writes the claim again, conditional on its version. It fails if another
// host has taken over the claim.
func (f *failover) renewClaim(ctx context.Context) error {
	at := boottime.Now()
	version, err := f.controller.writeStateRow(ctx, claimPrefix+f.group.name, f.claimVersion, encodeRecord(f.claim))
	if err != nil {
		return errors.CombineErrors(errClaimLost, err)
	}
	f.claimVersion, f.claimedAt = version, at
	return nil
}

// endTerm records that no host uses a primary of the claim's term any more. It must precede the
// order of a promotion: from then on neither this host nor one that takes over the claim can
// return to the old primary, whenever the promotion takes effect.
func (f *failover) endTerm(ctx context.Context) error {
	before := f.claim.EndedTerm
	f.claim.EndedTerm = f.term
	if err := f.renewClaim(ctx); err != nil {
		// The row may hold the new value. No write of this host succeeds then, as the version
		// has changed.
		f.claim.EndedTerm = before
		return err
	}
	f.termEnded = true
	request := FenceRequest{Group: f.group.name, Fence: f.fenceState()}
	f.group.mu.Lock()
	f.group.learnFence(request.Fence, boottime.Now(), fenceFromSelf)
	f.group.mu.Unlock()
	// The other hosts can then use the next primary as soon as they see it, even if this host
	// ends or the store fails.
	f.controller.spawn("announce ended term", func() { f.pollHosts(ctx, f.electorate, request, fenceTimeout) })
	return nil
}

// withdrawClaim allows the use of the old primary again, since it was not replaced. It does
// nothing if the term has ended. If the claim cannot be written, the hosts stay fenced until
// the next failover.
func (f *failover) withdrawClaim(ctx context.Context) {
	if f.termEnded {
		return
	}
	f.claim.Withdrawn = true
	if err := f.renewClaim(ctx); err != nil {
		f.controller.gw.events.log.Warn().Str("group", f.group.name).Err(err).Msg("withdrawing the claim failed")
		return
	}
	f.controller.gw.events.log.Info().Str("group", f.group.name).Uint64("claim", f.claimVersion).Uint64("term", f.term).Msg("claim withdrawn")
	request := FenceRequest{Group: f.group.name, Fence: f.fenceState()}
	if _, err := f.controller.gw.Fence(request); err != nil {
		f.controller.gw.events.log.Warn().Err(err).Msg("lifting the fence on this host failed")
	}
	f.pollHosts(ctx, f.electorate, request, fenceTimeout)
}
