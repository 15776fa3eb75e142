package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// acquireClaim writes this host's claim. The write is conditional on the row that was
// read, so that only one of two competing hosts succeeds. If the store's answer is
// lost, the claim is read back.
func (f *failover) acquireClaim(ctx context.Context) error {
	key := claimPrefix + f.group.name
	current, version, err := f.readClaim(ctx, key)
	if err != nil {
		return err
	}
	if err := f.checkClaim(current, version); err != nil {
		return err
	}
	f.claim = claimRecord{Holder: f.controller.gw.cfg.Host, Incarnation: f.controller.incarnation, Fence: current.Fence, Term: f.term}
	if current.Holder != f.claim.Holder || current.Incarnation != f.claim.Incarnation {
		f.claim.Fence++
	}
	f.claimedAt = boottime.Now()
	f.claimVersion, err = f.controller.writeStateRow(ctx, key, version, encodeRecord(f.claim))
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrStoreRefused) {
		return errors.CombineErrors(errClaimLost, err)
	}
	found, version, err := f.readClaim(ctx, key)
	if err != nil || found != f.claim {
		return errors.CombineErrors(errClaimLost, err)
	}
	f.claimVersion = version
	return nil
}

// checkClaim returns an error if the claim that is in the store must not be replaced.
//
// A stalled claim may be taken over only at the version that this host has seen stall. Its
// holder writes it again before it orders a promotion, which takes effect up to a second
// later; a second promotion in between gives the group two primaries in turn (ONE, seen on
// shahzad-hq trouble-3).
func (f *failover) checkClaim(current claimRecord, version uint64) error {
	if current.Withdrawn || version == 0 {
		return nil
	}
	if current.Term > f.term {
		return errNewerTerm
	}
	if current.Term < f.term || current.Holder == f.controller.gw.cfg.Host {
		return nil
	}
	if f.reason == succession.ReasonStalled && version == f.fenceVersion {
		return nil
	}
	return errClaimLost
}

// readClaim reads the group's claim and its row version from the store.
//
// If there is no claim that can be decoded, an earlier one may have been removed or
// overwritten. Its fence is then assumed to be the store's version: the fence increases by
// one at most with each write of the claim, and the version with each write of any row.
func (f *failover) readClaim(ctx context.Context, key string) (claimRecord, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, listed, err := f.controller.gw.cfg.Store.List(ctx, TableState)
	if err != nil {
		return claimRecord{}, 0, err
	}
	// The hosts that are polled next must include every host that is listed now.
	f.controller.submitAndWait(func() { f.controller.applyListing(TableState, listing, listed) })
	r := findRow(listing, key)
	if r.Version == 0 {
		return claimRecord{Fence: listed}, 0, nil
	}
	claim, err := decodeRecord[claimRecord](r)
	if err != nil {
		f.controller.gw.events.log.Warn().Err(err).Msg("claim row cannot be decoded and is replaced")
		return claimRecord{Fence: listed}, r.Version, nil
	}
	return claim, r.Version, nil
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

// withdrawClaim allows the use of the old primary again, since it was not replaced. If
// the claim cannot be written, the hosts stay fenced until the next failover.
func (f *failover) withdrawClaim(ctx context.Context) {
	f.claim.Withdrawn = true
	if err := f.renewClaim(ctx); err != nil {
		f.controller.gw.events.log.Warn().Str("group", f.group.name).Err(err).Msg("withdrawing the claim failed")
		return
	}
	request := FenceRequest{Group: f.group.name, Fence: f.fenceState()}
	if _, err := f.controller.gw.Fence(request); err != nil {
		f.controller.gw.events.log.Warn().Err(err).Msg("lifting the fence on this host failed")
	}
	f.pollHosts(ctx, request, fenceTimeout)
}
