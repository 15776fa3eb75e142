package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/budget"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// fakeStore is the platform's store in memory.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	tables  map[gateway.TableName]map[string]rows.Row
	// unavailable holds the hosts whose calls fail; readOnly holds those whose writes
	// are refused.
	unavailable, readOnly map[string]bool
	// writeDelay holds, by host, how long the store delays a write whose call fails.
	writeDelay map[string]time.Duration
	// conflicts counts the writes whose condition failed.
	conflicts int
	// beforeWrite is called before each accepted write of a host, unless it is nil.
	beforeWrite func(key string)
	// feedCalls counts the calls for changes, by table.
	feedCalls map[gateway.TableName]int
	// latency is how long each call takes.
	latency time.Duration
}

func newFakeStore() *fakeStore {
	return &fakeStore{tables: make(map[gateway.TableName]map[string]rows.Row), unavailable: make(map[string]bool), readOnly: make(map[string]bool), writeDelay: make(map[string]time.Duration), feedCalls: make(map[gateway.TableName]int)}
}

// putRow writes a row on behalf of an operator or endpoint.
func (s *fakeStore) putRow(table gateway.TableName, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.set(table, rows.Row{Key: key, Value: body})
}

func (s *fakeStore) set(table gateway.TableName, r rows.Row) uint64 {
	s.version++
	r.Version = s.version
	if s.tables[table] == nil {
		s.tables[table] = make(map[string]rows.Row)
	}
	s.tables[table][r.Key] = r
	return r.Version
}

// removeRow removes a row on behalf of an operator or endpoint.
func (s *fakeStore) removeRow(table gateway.TableName, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(table, rows.Row{Key: key, Deleted: true})
}

func (s *fakeStore) setUnavailable(host string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable[host] = unavailable
}

// snapshot returns the tables, for restore.
func (s *fakeStore) snapshot() map[gateway.TableName]map[string]rows.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[gateway.TableName]map[string]rows.Row)
	for name, table := range s.tables {
		copied[name] = maps.Clone(table)
	}
	return copied
}

// restore brings the tables back from a snapshot. Versions that were given out since are given
// out again, in a new era.
func (s *fakeStore) restore(tables map[gateway.TableName]map[string]rows.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := rows.Era(s.version) + 1
	s.tables, s.version = tables, rows.VersionInEra(era, 0)
	for _, table := range tables {
		for key, r := range table {
			r.Version = rows.VersionInEra(era, rows.StoreVersion(r.Version))
			table[key] = r
			s.version = max(s.version, r.Version)
		}
	}
}

// storeClient is one host's client of the store.
type storeClient struct {
	*fakeStore
	host string
}

var errStoreUnavailable = errors.New("the store does not answer")

// List implements gateway.Store.
func (c storeClient) List(ctx context.Context, table gateway.TableName) (gateway.Listing, error) {
	time.Sleep(c.latency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable[c.host] || ctx.Err() != nil {
		return gateway.Listing{}, errStoreUnavailable
	}
	var out []rows.Row
	for _, r := range c.tables[table] {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return gateway.Listing{Rows: out, Version: c.version, StoreTime: time.Duration(boottime.Now().UnixNano())}, nil
}

// Changes implements gateway.Store.
func (c storeClient) Changes(ctx context.Context, table gateway.TableName, after uint64, wait time.Duration) ([]rows.Row, uint64, error) {
	c.mu.Lock()
	c.feedCalls[table]++
	c.mu.Unlock()
	for deadline := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		if rows.Era(after) != rows.Era(c.version) {
			c.mu.Unlock()
			return nil, 0, gateway.ErrHistoryGone
		}
		if c.unavailable[c.host] {
			c.mu.Unlock()
			return nil, 0, errStoreUnavailable
		}
		var out []rows.Row
		for _, r := range c.tables[table] {
			if r.Version > after {
				out = append(out, r)
			}
		}
		version := c.version
		c.mu.Unlock()
		if len(out) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return out, version, ctx.Err()
		}
	}
}

// Write implements gateway.Store.
func (c storeClient) Write(ctx context.Context, table gateway.TableName, key string, expected uint64, value []byte, also ...gateway.RowVersion) (uint64, error) {
	time.Sleep(c.latency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable[c.host] || c.readOnly[c.host] || ctx.Err() != nil {
		return 0, gateway.ErrStoreRefused
	}
	if delay := c.writeDelay[c.host]; delay > 0 {
		time.AfterFunc(delay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_, _ = c.writeIf(table, key, expected, value, also)
		})
		return 0, errStoreUnavailable
	}
	return c.writeIf(table, key, expected, value, also)
}

// onClaim calls f before each accepted write of the group's claim.
func (s *fakeStore) onClaim(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWrite = func(key string) {
		if key == "claim/g" {
			f()
		}
	}
}

// writeIf writes the row if it and the other rows have the expected versions. The mutex must
// be held.
func (s *fakeStore) writeIf(table gateway.TableName, key string, expected uint64, value []byte, also []gateway.RowVersion) (uint64, error) {
	if !s.holds(table, append(also, gateway.RowVersion{Key: key, Version: expected})) {
		s.conflicts++
		return 0, gateway.ErrConflict
	}
	if s.beforeWrite != nil {
		s.beforeWrite(key)
	}
	return s.set(table, rows.Row{Key: key, Value: value}), nil
}

// holds reports whether the rows have the expected versions. The mutex must be held.
func (s *fakeStore) holds(table gateway.TableName, expected []gateway.RowVersion) bool {
	for _, condition := range expected {
		held := s.tables[table][condition.Key]
		if held.Deleted {
			held.Version = 0
		}
		if held.Version != condition.Version {
			return false
		}
	}
	return true
}

// Delete implements gateway.Store.
func (c storeClient) Delete(_ context.Context, table gateway.TableName, key string, expected uint64, also ...gateway.RowVersion) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable[c.host] || c.readOnly[c.host] {
		return gateway.ErrStoreRefused
	}
	if !c.holds(table, append(also, gateway.RowVersion{Key: key, Version: expected})) {
		return gateway.ErrConflict
	}
	c.set(table, rows.Row{Key: key, Deleted: true})
	return nil
}

// fakeDecoder decodes rows written with fakeStore.putRow.
type fakeDecoder struct{}

// Catalog implements gateway.Decoder.
func (fakeDecoder) Catalog(r rows.Row) (*gateway.Catalog, bool, error) {
	var c catalogWithTeams
	err := json.Unmarshal(r.Value, &c)
	if err == nil {
		c.Teams, err = access.NewDirectory(c.Entries)
	}
	return &c.Catalog, err == nil, err
}

// catalogWithTeams is a catalog as the fake store keeps it.
type catalogWithTeams struct {
	gateway.Catalog
	Entries []access.Entry
}

// Endpoint implements gateway.Decoder.
func (fakeDecoder) Endpoint(r rows.Row) (gateway.Endpoint, error) {
	var e gateway.Endpoint
	err := json.Unmarshal(r.Value, &e)
	return e, err
}

// fakeFleet is a fleet of hosts in one process.
type fakeFleet struct {
	mu    sync.Mutex
	hosts map[string]*gateway.Gateway
	// stops ends the hosts.
	stops map[string]context.CancelFunc
	// latency is how long a call between hosts takes.
	latency time.Duration
	callers []*fakeCaller
	// partition assigns hosts to network partitions: hosts reach only those with the
	// same number.
	partition map[string]int
	// exchanges counts the gossip calls of all hosts.
	exchanges int
	// lendCalls counts the calls of all hosts to lenders.
	lendCalls int
	store     *fakeStore
	group     *fakeGroup
	logs      map[string]*logBuffer
	// configure changes the configuration of hosts that start later, unless it is nil.
	configure func(*gateway.Config)
}

// logBuffer collects the log lines of a host.
type logBuffer struct {
	mu   sync.Mutex
	text []byte
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text = append(b.text, p...)
	return len(p), nil
}

// String returns the collected lines.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.text)
}

var (
	errUnreachable       = errors.New("unreachable")
	errConnectionRefused = errors.New("connection refused")
)

// startFleet starts the hosts and a group, and waits until the hosts serve reads.
func startFleet(t *testing.T, maxConnections int, hosts ...string) *fakeFleet {
	t.Helper()
	f := newFleet(maxConnections)
	f.startAll(t, hosts...)
	return f
}

// newFleet returns a fleet without hosts, and a group.
func newFleet(maxConnections int) *fakeFleet {
	f := &fakeFleet{
		logs: make(map[string]*logBuffer), stops: make(map[string]context.CancelFunc), hosts: make(map[string]*gateway.Gateway), partition: make(map[string]int),
		store: newFakeStore(), group: newFakeGroup("g", "e1", "e2", "e3"),
	}
	f.store.putRow(gateway.TableCatalog, "config", gateway.Catalog{
		Version: 1, IdleTransactionTimeout: 2 * time.Second,
		Groups: map[string]gateway.Group{"g": {Name: "g", MaxConnections: maxConnections}},
		Databases: map[string]gateway.Database{
			"strict": {Name: "strict", Group: "g", Timeout: time.Second},
			"own":    {Name: "own", Group: "g", Consistency: gateway.ConsistencySession, MaxStaleness: 2500 * time.Millisecond, Timeout: time.Second},
		},
	})
	for id := range f.group.endpoints {
		f.listEndpoint(id, func(*gateway.Endpoint) {})
	}
	return f
}

// startAll starts the hosts and waits until they serve reads.
func (f *fakeFleet) startAll(t *testing.T, hosts ...string) {
	t.Helper()
	for _, name := range hosts {
		f.start(t, name)
	}
	for _, name := range hosts {
		NewWithT(t).Eventually(func() bool {
			r := f.caller(name, "strict").do(session.Statement{ID: "probe", Op: session.OpRead, Text: "READ x"})
			return r.OK()
		}, 8*time.Second, 20*time.Millisecond).Should(BeTrue(), name)
	}
}

// zoneOfHost returns the availability zone of a host: the part of its name before the
// first dash, or "z", the zone of the endpoints.
func zoneOfHost(name string) string {
	if zone, _, ok := strings.Cut(name, "-"); ok {
		return zone
	}
	return "z"
}

// start starts a host. It replaces an earlier incarnation of the same name.
func (f *fakeFleet) start(t *testing.T, name string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops[name] = cancel
	f.logs[name] = &logBuffer{}
	cfg := gateway.Config{
		Host: name, Address: name, AvailabilityZone: zoneOfHost(name), Grace: 2 * time.Second,
		Dialer: &fakeDialer{host: name, group: f.group}, Store: storeClient{f.store, name},
		Decoder: fakeDecoder{}, Promoter: f.group, Peers: &fakePeerClient{fleet: f, host: name},
		ParseStatus: parseFakeStatus, Metrics: metrics.NewRegistry(), Log: zerolog.New(f.logs[name]).With().Timestamp().Logger(),
	}
	if f.configure != nil {
		f.configure(&cfg)
	}
	gw := gateway.New(cfg)
	f.hosts[name] = gw
	go func() { _ = gw.Run(ctx) }()
}

// listEndpoint writes an endpoint's row, modified by change.
func (f *fakeFleet) listEndpoint(id string, change func(*gateway.Endpoint)) {
	f.group.mu.Lock()
	e := gateway.Endpoint{ID: id, Group: "g", Address: id, AvailabilityZone: "z", Slots: 3, Primary: f.group.endpoints[id].primary}
	f.group.mu.Unlock()
	change(&e)
	f.store.putRow(gateway.TableEndpoints, id, e)
}

// fakePeerClient carries calls of one host to the other hosts of a fleet.
type fakePeerClient struct {
	fleet *fakeFleet
	host  string
}

// reach returns the host at the address, or an error if it cannot be reached.
func (p *fakePeerClient) reach(address string) (*gateway.Gateway, error) {
	time.Sleep(p.fleet.latency)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	gw := p.fleet.hosts[address]
	if gw == nil {
		return nil, errConnectionRefused
	}
	if p.fleet.partition[p.host] != p.fleet.partition[address] {
		return nil, errUnreachable
	}
	return gw, nil
}

// Exchange implements gateway.PeerClient.
func (p *fakePeerClient) Exchange(ctx context.Context, address string, msg gateway.GossipMessage) (gateway.GossipMessage, error) {
	p.fleet.mu.Lock()
	p.fleet.exchanges++
	p.fleet.mu.Unlock()
	gw, err := p.reach(address)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return gateway.GossipMessage{}, err
	}
	return gw.ReceiveGossip(msg), nil
}

// Fence implements gateway.PeerClient.
func (p *fakePeerClient) Fence(ctx context.Context, address string, r gateway.FenceRequest) (gateway.FenceReply, error) {
	gw, err := p.reach(address)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return gateway.FenceReply{}, err
	}
	return gw.Fence(r)
}

// Lend implements gateway.PeerClient.
func (p *fakePeerClient) Lend(ctx context.Context, address string, r quota.Request) (quota.Grant, error) {
	gw, err := p.reach(address)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return quota.Grant{}, err
	}
	p.fleet.mu.Lock()
	p.fleet.lendCalls++
	p.fleet.mu.Unlock()
	return gw.Lend(r), nil
}

// Refused implements gateway.PeerClient.
func (p *fakePeerClient) Refused(err error) bool { return errors.Is(err, errConnectionRefused) }

// Relay implements gateway.PeerClient.
func (p *fakePeerClient) Relay(address string, e gateway.Endpoint) gateway.RelayConn {
	return &fakeRelay{peers: p, address: address, endpoint: e, transactionID: uint64(time.Now().UnixNano())}
}

// fakeRelay is a connection to an endpoint through another host.
type fakeRelay struct {
	peers         *fakePeerClient
	address       string
	endpoint      gateway.Endpoint
	transactionID uint64
	inTransaction bool
}

// Run implements gateway.RelayConn.
func (r *fakeRelay) Run(deadline time.Time, request gateway.RelayRequest) (gateway.Reply, error) {
	gw, err := r.peers.reach(r.address)
	if err != nil {
		return gateway.Reply{}, errors.Join(gateway.ErrNotSent, err)
	}
	request.TransactionID, request.Group, request.Endpoint, request.InTransaction = r.transactionID, r.endpoint.Group, r.endpoint.ID, r.inTransaction
	request.Timeout = time.Until(deadline)
	reply, err := gw.Relay(context.Background(), request)
	r.inTransaction = err == nil && reply.State != gateway.TxIdle
	return reply, err
}

// Alive implements gateway.Conn.
func (r *fakeRelay) Alive() bool { return true }

// Close implements gateway.Conn.
func (r *fakeRelay) Close() error { return nil }

// fakeCaller is a caller's session at one host.
type fakeCaller struct {
	database   string
	key        string
	statements chan session.Statement
	replies    chan gateway.Reply
	interrupts chan struct{}
	ended      chan struct{}
}

// caller opens a session at the host.
func (f *fakeFleet) caller(host, database string) *fakeCaller {
	return f.callerWithKey(host, database, "")
}

// callerWithKey opens a session with a key at the host.
func (f *fakeFleet) callerWithKey(host, database, key string) *fakeCaller {
	c := &fakeCaller{
		database: database, key: key, statements: make(chan session.Statement), replies: make(chan gateway.Reply, 1),
		interrupts: make(chan struct{}, 8), ended: make(chan struct{}),
	}
	f.mu.Lock()
	gw := f.hosts[host]
	f.callers = append(f.callers, c)
	f.mu.Unlock()
	go func() {
		gw.Serve(c, func() error { return nil })
		close(c.ended)
	}()
	return c
}

// do runs a statement and returns the answer. If the session has ended, the answer has
// CodeOther.
func (c *fakeCaller) do(st session.Statement) gateway.Reply {
	select {
	case c.statements <- st:
	case <-c.ended:
		return c.refusal()
	}
	select {
	case r := <-c.replies:
		return r
	case <-c.ended:
		return gateway.Reply{Code: gateway.CodeOther}
	}
}

// refusal returns the answer that ended the session before a statement.
func (c *fakeCaller) refusal() gateway.Reply {
	select {
	case r := <-c.replies:
		return r
	default:
		return gateway.Reply{Code: gateway.CodeOther}
	}
}

// Database implements gateway.Caller.
func (c *fakeCaller) Database() string { return c.database }

// Key implements gateway.Caller.
func (c *fakeCaller) Key() string { return c.key }

// Account implements gateway.Caller.
func (c *fakeCaller) Account() *budget.Account { return nil }

// NextStatement implements gateway.Caller.
func (c *fakeCaller) NextStatement() (session.Statement, error) {
	select {
	case st, ok := <-c.statements:
		if !ok {
			return st, io.EOF
		}
		return st, nil
	case <-c.interrupts:
		return session.Statement{}, gateway.ErrInterrupted
	}
}

// Reply implements gateway.Caller.
func (c *fakeCaller) Reply(r gateway.Reply) error {
	c.replies <- r
	return nil
}

// Refuse implements gateway.Caller.
func (c *fakeCaller) Refuse(r gateway.Reply) error { return c.Reply(r) }

// Interrupt implements gateway.Caller.
func (c *fakeCaller) Interrupt() { c.interrupts <- struct{}{} }

// SetIdleDeadline implements gateway.Caller.
func (c *fakeCaller) SetIdleDeadline(time.Time) {}

// Close implements gateway.Caller.
func (c *fakeCaller) Close() error { return nil }
