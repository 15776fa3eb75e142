package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
)

// The types in this file pass calls on to the implementations that a Gateway is configured
// with, and turn a panic there into an error of the call. The gateway then handles it like
// any other failure: no lock stays held, and no connection or flag stays in use.

// guardConfig returns the configuration with guarded implementations.
func guardConfig(cfg Config, guard recovery.Guard) Config {
	cfg.Dialer = guardedDialer{cfg.Dialer, guard}
	cfg.Store = guardedStore{cfg.Store, guard}
	cfg.Decoder = guardedDecoder{cfg.Decoder, guard}
	cfg.Promoter = guardedPromoter{cfg.Promoter, guard}
	cfg.Peers = guardedPeers{cfg.Peers, guard}
	parse := cfg.ParseStatus
	cfg.ParseStatus = func(rows []string) (out Status, err error) {
		err = guard.Run("parse status", func() (err error) { out, err = parse(rows); return err })
		return out, err
	}
	return cfg
}

// guardedDialer guards a Dialer and its connections.
type guardedDialer struct {
	dialer Dialer
	guard  recovery.Guard
}

// Dial implements Dialer.
func (d guardedDialer) Dial(ctx context.Context, e Endpoint, team string) (out EndpointConn, err error) {
	err = d.guard.Run("dial endpoint", func() error {
		conn, err := d.dialer.Dial(ctx, e, team)
		if err == nil {
			out = guardedConn{conn, d.guard}
		}
		return err
	})
	return out, err
}

// guardedConn guards an EndpointConn.
type guardedConn struct {
	conn  EndpointConn
	guard recovery.Guard
}

// Alive implements Conn.
func (c guardedConn) Alive() bool { return guardedAlive(c.guard, c.conn) }

// Close implements Conn.
func (c guardedConn) Close() error { return c.guard.Run("close connection", c.conn.Close) }

// Send implements EndpointConn.
func (c guardedConn) Send(deadline time.Time, requests ...Request) error {
	return c.guard.Run("send to endpoint", func() error { return c.conn.Send(deadline, requests...) })
}

// Receive implements EndpointConn.
func (c guardedConn) Receive(deadline time.Time) (out Reply, err error) {
	err = c.guard.Run("receive from endpoint", func() (err error) { out, err = c.conn.Receive(deadline); return err })
	return out, err
}

// guardedAlive returns whether the connection is alive; false if the check panics.
func guardedAlive(guard recovery.Guard, conn Conn) (alive bool) {
	err := guard.Do("check connection", func() { alive = conn.Alive() })
	return err == nil && alive
}

// guardedStore guards a Store.
type guardedStore struct {
	store Store
	guard recovery.Guard
}

// Changes implements Store.
func (s guardedStore) Changes(ctx context.Context, table TableName, after uint64, wait time.Duration) (out []rows.Row, through uint64, err error) {
	err = s.guard.Run("read changes", func() (err error) {
		out, through, err = s.store.Changes(ctx, table, after, wait)
		return err
	})
	return out, through, err
}

// List implements Store.
func (s guardedStore) List(ctx context.Context, table TableName) (out Listing, err error) {
	err = s.guard.Run("list table", func() (err error) { out, err = s.store.List(ctx, table); return err })
	return out, err
}

// Write implements Store.
func (s guardedStore) Write(ctx context.Context, table TableName, key string, expected uint64, value []byte, also ...RowVersion) (version uint64, err error) {
	err = s.guard.Run("write row", func() (err error) {
		version, err = s.store.Write(ctx, table, key, expected, value, also...)
		return err
	})
	return version, err
}

// Delete implements Store.
func (s guardedStore) Delete(ctx context.Context, table TableName, key string, expected uint64, also ...RowVersion) error {
	return s.guard.Run("delete row", func() error { return s.store.Delete(ctx, table, key, expected, also...) })
}

// guardedDecoder guards a Decoder.
type guardedDecoder struct {
	decoder Decoder
	guard   recovery.Guard
}

// Catalog implements Decoder.
func (d guardedDecoder) Catalog(r rows.Row) (out *Catalog, ok bool, err error) {
	err = d.guard.Run("decode configuration", func() (err error) { out, ok, err = d.decoder.Catalog(r); return err })
	return out, ok && err == nil, err
}

// Endpoint implements Decoder.
func (d guardedDecoder) Endpoint(r rows.Row) (out Endpoint, err error) {
	err = d.guard.Run("decode endpoint", func() (err error) { out, err = d.decoder.Endpoint(r); return err })
	return out, err
}

// guardedPromoter guards a Promoter.
type guardedPromoter struct {
	promoter Promoter
	guard    recovery.Guard
}

// Promote implements Promoter.
func (p guardedPromoter) Promote(ctx context.Context, order Promotion) error {
	return p.guard.Run("promote", func() error { return p.promoter.Promote(ctx, order) })
}

// Reachable implements Promoter.
func (p guardedPromoter) Reachable(ctx context.Context) error {
	return p.guard.Run("reach promoter", func() error { return p.promoter.Reachable(ctx) })
}

// guardedPeers guards a PeerClient and its connections.
type guardedPeers struct {
	PeerClient
	guard recovery.Guard
}

// Exchange implements PeerClient.
func (p guardedPeers) Exchange(ctx context.Context, address string, msg GossipMessage) (out GossipMessage, err error) {
	err = p.guard.Run("gossip call", func() (err error) { out, err = p.PeerClient.Exchange(ctx, address, msg); return err })
	return out, err
}

// Fence implements PeerClient.
func (p guardedPeers) Fence(ctx context.Context, address string, r FenceRequest) (out FenceReply, err error) {
	err = p.guard.Run("fence call", func() (err error) { out, err = p.PeerClient.Fence(ctx, address, r); return err })
	return out, err
}

// Lend implements PeerClient.
func (p guardedPeers) Lend(ctx context.Context, address string, r quota.Request) (out quota.Grant, err error) {
	err = p.guard.Run("call to a lender", func() (err error) { out, err = p.PeerClient.Lend(ctx, address, r); return err })
	return out, err
}

// Relay implements PeerClient.
func (p guardedPeers) Relay(address string, e Endpoint) RelayConn {
	return guardedRelay{p.PeerClient.Relay(address, e), p.guard}
}

// guardedRelay guards a RelayConn.
type guardedRelay struct {
	conn  RelayConn
	guard recovery.Guard
}

// Alive implements Conn.
func (r guardedRelay) Alive() bool { return guardedAlive(r.guard, r.conn) }

// Close implements Conn.
func (r guardedRelay) Close() error { return r.guard.Run("close relay", r.conn.Close) }

// Run implements RelayConn.
func (r guardedRelay) Run(deadline time.Time, request RelayRequest) (out Reply, err error) {
	err = r.guard.Run("relay call", func() (err error) { out, err = r.conn.Run(deadline, request); return err })
	return out, err
}
