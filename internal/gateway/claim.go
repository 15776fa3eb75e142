package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// acquire writes this host's claim. The write is conditional on the claim that
// was read, so that of two hosts one fails; a claim whose answer was lost is read
// back.
func (ch *change) acquire(ctx context.Context) error {
	key := claimPrefix + ch.g.name
	held, version, err := ch.readClaim(ctx, key)
	if err != nil {
		return err
	}
	if held.Term > ch.term && !held.Withdrawn {
		return errNewerTerm
	}
	if held.Term == ch.term && !held.Withdrawn && version > 0 && ch.reason != succession.ReasonStalled && held.Holder != ch.c.gw.cfg.Host {
		return errClaimLost
	}
	ch.claim = claimRecord{Holder: ch.c.gw.cfg.Host, Incarnation: ch.c.incarnation, Fence: held.Fence, Term: ch.term}
	if held.Holder != ch.claim.Holder || held.Incarnation != ch.claim.Incarnation {
		ch.claim.Fence++
	}
	ch.claimedAt = boottime.Now()
	ch.version, err = ch.c.write(ctx, key, version, encodeRecord(ch.claim))
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrStoreRefused) {
		return errors.CombineErrors(errClaimLost, err)
	}
	found, version, err := ch.readClaim(ctx, key)
	if err != nil || found != ch.claim {
		return errors.CombineErrors(errClaimLost, err)
	}
	ch.version = version
	return nil
}

// readClaim reads the group's claim from the store.
func (ch *change) readClaim(ctx context.Context, key string) (claimRecord, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, listed, err := ch.c.gw.cfg.Store.List(ctx, TableState)
	if err != nil {
		return claimRecord{}, 0, err
	}
	// The hosts that are asked next must include every host that is listed now.
	ch.c.ask(func() { ch.c.listing(TableState, listing, listed) })
	r := findRow(listing, key)
	if r.Version == 0 {
		return claimRecord{}, 0, nil
	}
	claim, err := decodeRecord[claimRecord](r)
	if err != nil {
		// A claim that cannot be read is replaced under its version.
		return claimRecord{}, r.Version, nil
	}
	return claim, r.Version, nil
}

// renew writes the claim again under its version, which fails if another host has
// taken it over.
func (ch *change) renew(ctx context.Context) error {
	at := boottime.Now()
	version, err := ch.c.write(ctx, claimPrefix+ch.g.name, ch.version, encodeRecord(ch.claim))
	if err != nil {
		return errors.CombineErrors(errClaimLost, err)
	}
	ch.version, ch.claimedAt = version, at
	return nil
}

// withdraw allows the use of the old primary again, as nothing has replaced it. If
// the claim cannot be written, the hosts stay fenced until the next attempt.
func (ch *change) withdraw(ctx context.Context) {
	ch.claim.Withdrawn = true
	if err := ch.renew(ctx); err != nil {
		ch.c.gw.events.log.Warn().Str("group", ch.g.name).Err(err).Msg("claim was not withdrawn")
		return
	}
	request := FenceRequest{Group: ch.g.name, Fence: ch.fence()}
	if _, err := ch.c.gw.Fence(request); err != nil {
		ch.c.gw.events.log.Warn().Err(err).Msg("own fence was not lifted")
	}
	ch.askAll(ctx, request, fenceTimeout)
}
