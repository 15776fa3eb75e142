package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// replicaLag and defaultPromotionTime are as at the users' sites.
	replicaLag           = 20 * time.Millisecond
	defaultPromotionTime = 300 * time.Millisecond
	// oldPrimaryTime is how long a replaced primary continues once it can reach the new one
	// (PROTOCOL.md, "Servers").
	oldPrimaryTime = time.Second
	// heartbeatInterval is HeartbeatMs. A row is removed after three intervals of silence.
	heartbeatInterval = 1200 * time.Millisecond
	missedHeartbeats  = 3
	replicateInterval = 5 * time.Millisecond
	// maxConns is MaxConns of the service.
	maxConns = 46
)

// position is a position in a log: TERM.NUMBER.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

// covers reports whether p is at or after q.
func (p position) covers(q position) bool {
	return p.term > q.term || p.term == q.term && p.number >= q.number
}

// entry is a commit in a log.
type entry struct {
	position
	ids         []string
	items       map[string]string
	committedAt time.Time
}

// server is one database server. The group's mutex guards its fields.
type server struct {
	group *group
	// id is the name under which it registers; part is its name in the network.
	id, part, zone string
	// address leads through the proxy in front of the server.
	address  string
	listener net.Listener

	up, primary bool
	// draining is true once the server has reported that it will leave.
	draining bool
	// deaf is true while a replica receives nothing.
	deaf bool
	term uint64
	log  []entry
	born int64
	seq  int
	// lastBeat is when the server last reached the store.
	lastBeat time.Time
	// sawNewer is when an old primary first reached the new one; zero if it does not.
	sawNewer time.Time
	conns    map[net.Conn]bool
}

// end returns the position of the last entry in the log.
func (s *server) end() position {
	if len(s.log) == 0 {
		return position{term: 1}
	}
	return s.log[len(s.log)-1].position
}

// commit is a commit on any server, for the check.
type commit struct {
	id, server string
	position
	at time.Time
	// replaced is when the promotion of a newer primary had taken effect by then; zero if
	// it had not.
	replaced time.Time
}

// promotion is a call of POST /promote.
type promotion struct {
	server, holder string
	fence          uint64
	arrived        time.Time
}

// group is one service: a primary and its replicas.
type group struct {
	service string
	net     *network
	store   *store
	record  *record
	// syncReplicas is SyncReplicas of the service.
	syncReplicas int
	// promotionTime is the time from a promotion call until the server leads.
	promotionTime time.Duration

	mu      sync.Mutex
	servers []*server
	commits []commit
	// rolledBack holds the statement IDs that were removed from a log.
	rolledBack map[string]bool
	promotions []promotion
	// ran lists the statements of clients that servers ran.
	ran []ranStatement
	// effective lists when promotions took effect, with their terms.
	effective []effect
	done      chan struct{}
}

// effect is a promotion that has taken effect. had holds the statement IDs in the log of
// the server at that time.
type effect struct {
	server string
	term   uint64
	at     time.Time
	had    map[string]bool
}

// startGroup starts a service with a primary and two replicas, one in each zone.
func startGroup(n *network, st *store, r *record, syncReplicas int, zones []string) (*group, error) {
	g := &group{service: "records", net: n, store: st, record: r, syncReplicas: syncReplicas, promotionTime: defaultPromotionTime, rolledBack: make(map[string]bool), done: make(chan struct{})}
	for i, zone := range zones {
		s := &server{group: g, id: fmt.Sprintf("i-%d", i), part: fmt.Sprintf("server-%d", i), zone: zone, primary: i == 0, term: 1, conns: make(map[net.Conn]bool)}
		g.servers = append(g.servers, s)
		if err := g.start(s); err != nil {
			return nil, err
		}
		var err error
		if s.address, err = n.proxy(s.part, s.listener.Addr().String(), true); err != nil {
			return nil, err
		}
	}
	for _, s := range g.servers {
		go g.heartbeat(s)
	}
	go func() {
		for {
			select {
			case <-g.done:
				return
			case <-time.After(replicateInterval):
				g.replicate()
			}
		}
	}()
	return g, nil
}

// start starts the server's process; it listens on the address that it had.
func (g *group) start(s *server) error {
	address := "127.0.0.1:0"
	if s.listener != nil {
		address = s.listener.Addr().String()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	s.listener, s.up, s.born = l, true, time.Now().UnixMilli()
	g.mu.Unlock()
	go s.accept(l)
	return nil
}

// crash ends the server's process. Its log is kept.
func (g *group) crash(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.line("server %s crashes at %s", s.id, s.end())
	s.up = false
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
}

// restart starts a crashed server, as a replica if another one was promoted.
func (g *group) restart(s *server) error {
	g.mu.Lock()
	for _, other := range g.servers {
		if other.term > s.term {
			s.primary = false
		}
	}
	g.record.line("server %s is back at %s, primary: %v", s.id, s.end(), s.primary)
	g.mu.Unlock()
	return g.start(s)
}

// setDeaf sets whether the replica receives nothing.
func (g *group) setDeaf(s *server, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.deaf = deaf
	g.record.line("server %s receives nothing: %v (at %s)", s.id, deaf, s.end())
}

// drain makes the server report that it will leave.
func (g *group) drain(s *server) {
	g.mu.Lock()
	s.draining = true
	g.record.line("server %s drains", s.id)
	g.mu.Unlock()
	g.beat(s)
}

// newest returns the primary of the newest term.
func (g *group) newest() *server {
	var best *server
	for _, s := range g.servers {
		if s.primary && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}

// replicate lets replicas follow the newest primary that they reach, and ends the work of
// a replaced primary a second after it has reached the new one.
func (g *group) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if !s.up {
			continue
		}
		source := g.sourceOf(s)
		switch {
		case s.primary && source != nil && source.term > s.term:
			if s.sawNewer.IsZero() {
				s.sawNewer = time.Now()
			}
			if time.Since(s.sawNewer) >= oldPrimaryTime {
				g.stepDown(s)
			}
		case s.primary:
			s.sawNewer = time.Time{}
		case source != nil && source.term >= s.term && !s.deaf:
			g.follow(s, source)
		}
	}
}

// sourceOf returns the newest other primary that the server reaches, or nil.
func (g *group) sourceOf(s *server) *server {
	var best *server
	for _, p := range g.servers {
		if p != s && p.up && p.primary && g.net.connected(p.part, s.part) && (best == nil || p.term > best.term) {
			best = p
		}
	}
	return best
}

func (g *group) stepDown(s *server) {
	g.record.line("server %s is a replica from now on, at %s", s.id, s.end())
	s.primary, s.sawNewer = false, time.Time{}
	go g.beat(s)
}

// follow makes the replica's log that of the primary, up to the replication delay.
func (g *group) follow(s, source *server) {
	s.term = source.term
	same := 0
	for same < len(s.log) && same < len(source.log) && s.log[same].position == source.log[same].position {
		same++
	}
	for _, e := range s.log[same:] {
		g.record.line("server %s rolls back %s %v", s.id, e.position, e.ids)
		for _, id := range e.ids {
			g.rolledBack[id] = true
		}
	}
	s.log = s.log[:same]
	for _, e := range source.log[same:] {
		if time.Since(e.committedAt) < replicaLag {
			return
		}
		s.log = append(s.log, e)
	}
}

// append adds a commit to the log of a server that acts as primary. The mutex must be held.
func (g *group) append(s *server, ids []string, items map[string]string) position {
	at := position{term: s.term, number: s.end().number + 1}
	s.log = append(s.log, entry{position: at, ids: ids, items: items, committedAt: time.Now()})
	var replaced time.Time
	for _, e := range g.effective {
		if e.term > s.term && replaced.IsZero() {
			replaced = e.at
		}
	}
	for _, id := range ids {
		g.commits = append(g.commits, commit{id: id, server: s.id, position: at, at: time.Now(), replaced: replaced})
		g.record.line("server %s commits %s at %s", s.id, id, at)
	}
	return at
}

// received reports whether enough replicas have received the position.
func (g *group) received(s *server, at position) bool {
	count := 0
	for _, r := range g.servers {
		if r != s && r.up && !r.primary && r.term == s.term && r.end().covers(at) {
			count++
		}
	}
	return count >= g.syncReplicas
}

// promote handles POST /promote. It returns false if the server does not run.
func (g *group) promote(p promotion) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.arrived = time.Now()
	g.promotions = append(g.promotions, p)
	g.record.line("platform: %s asks to promote %s with fence %d", p.holder, p.server, p.fence)
	var next *server
	for _, s := range g.servers {
		if s.id == p.server && s.up {
			next = s
		}
	}
	if next == nil {
		return false
	}
	if next == g.newest() {
		return true
	}
	time.AfterFunc(g.promotionTime, func() { g.takeLead(next) })
	return true
}

// takeLead makes the server the primary of the next term.
func (g *group) takeLead(next *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !next.up {
		return
	}
	term := uint64(0)
	for _, s := range g.servers {
		term = max(term, s.term)
	}
	for _, e := range g.effective {
		term = max(term, e.term)
	}
	next.primary, next.term = true, term+1
	had := make(map[string]bool)
	for _, e := range next.log {
		for _, id := range e.ids {
			had[id] = true
		}
	}
	g.effective = append(g.effective, effect{server: next.id, term: next.term, at: time.Now(), had: had})
	g.record.line("server %s leads term %d with its log up to %s", next.id, next.term, next.end())
	// A term begins with an entry without data.
	g.append(next, nil, nil)
	go g.beat(next)
}

// heartbeat keeps the server's row in the store.
func (g *group) heartbeat(s *server) {
	for {
		g.beat(s)
		wait := heartbeatInterval
		g.mu.Lock()
		if silent := time.Since(s.lastBeat); silent > 2*heartbeatInterval && silent < missedHeartbeats*heartbeatInterval {
			wait = missedHeartbeats*heartbeatInterval - silent
		}
		g.mu.Unlock()
		select {
		case <-g.done:
			return
		case <-time.After(wait + time.Millisecond):
		}
	}
}

// beat writes the server's row, or removes it after three intervals of silence.
func (g *group) beat(s *server) {
	g.mu.Lock()
	if !s.up || !g.net.connected(s.part, "store") {
		silent := time.Since(s.lastBeat) > missedHeartbeats*heartbeatInterval
		g.mu.Unlock()
		if silent {
			g.store.put("servers", s.id, nil)
		}
		return
	}
	s.lastBeat = time.Now()
	s.seq++
	role, state := "replica", "ready"
	if s.primary {
		role = "primary"
	}
	if s.draining {
		state = "draining"
	}
	row := map[string]any{
		"Service": g.service, "Address": s.address, "Zone": s.zone, "Version": "1", "Capacity": 3,
		"State": state, "WarmupLeftMs": 0, "Seq": s.seq, "DbRole": role, "born": s.born,
	}
	g.mu.Unlock()
	g.store.put("servers", s.id, row)
}
