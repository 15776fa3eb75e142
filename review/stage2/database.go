package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// receiveDelay and applyDelay are how long a replica takes to receive and to apply a commit.
	receiveDelay = 2 * time.Millisecond
	applyDelay   = 20 * time.Millisecond
	// promotionTime is how long a promotion takes.
	promotionTime = 300 * time.Millisecond
	// oldPrimaryTime is how long a replaced primary that runs goes on as one.
	oldPrimaryTime = time.Second
	// heartbeat is how often a server writes its row, and rowLifetime how long the row outlives the
	// last write.
	heartbeat   = 1200 * time.Millisecond
	rowLifetime = 3 * heartbeat
	// maxWork bounds the time of one statement.
	maxWork = 6 * time.Millisecond
	slots   = 3
)

// position is a place in a log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) before(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

// entry is a commit.
type entry struct {
	at   position
	ids  []string
	data map[string]string
	when time.Time
}

// server is one server of the database. The database's mutex guards its fields.
type server struct {
	id      string
	address string
	zone    string
	listen  net.Listener
	conns   map[net.Conn]bool

	up      bool
	primary bool
	term    uint64
	log     []entry
	born    int64
	seq     int
	// deaf servers receive nothing of other servers' logs.
	deaf bool
	// failShare is the share of the statements that the server answers with FAILED.
	failShare float64
}

// received returns the end of the server's log.
func (s *server) received() position {
	if len(s.log) == 0 {
		return position{term: s.term}
	}
	return s.log[len(s.log)-1].at
}

// applied returns the entries that the server has applied.
func (s *server) applied() []entry {
	if s.primary {
		return s.log
	}
	n := len(s.log)
	for n > 0 && time.Since(s.log[n-1].when) < applyDelay {
		n--
	}
	return s.log[:n]
}

// appliedEnd returns the position that the server has applied.
func (s *server) appliedEnd() position {
	if a := s.applied(); len(a) > 0 {
		return a[len(a)-1].at
	}
	return position{term: s.term}
}

// database is a primary with its replicas.
type database struct {
	name   string
	sync   int
	record *record
	store  *store

	mu      sync.Mutex
	changed *sync.Cond
	servers []*server
	term    uint64
	// onRun is called with mu held when a server runs a statement of a requester.
	onRun func(id string, s *server, values map[string]string)
	// onCommit is called with mu held when a server commits.
	onCommit func(s *server, e entry)
	// onPromote is called with mu held when the platform carries out an order.
	onPromote func(holder, fence string)
	// onPromotion is called with mu held when a promotion takes effect.
	onPromotion func(s *server)
}

func newDatabase(name string, servers, syncReplicas int, st *store, rec *record) (*database, error) {
	d := &database{name: name, sync: syncReplicas, record: rec, store: st, term: 1}
	d.changed = sync.NewCond(&d.mu)
	for n := range servers {
		address, err := freePort()
		if err != nil {
			return nil, err
		}
		s := &server{id: fmt.Sprintf("i-%d", n), address: address, zone: fmt.Sprintf("zone-%d", n%3), conns: make(map[net.Conn]bool), term: 1, primary: n == 0}
		d.servers = append(d.servers, s)
		if err := d.start(s); err != nil {
			return nil, err
		}
	}
	go d.replicate()
	go d.beat()
	return d, nil
}

// start makes the server listen. It may have run before.
func (d *database) start(s *server) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	s.listen, s.up, s.born, s.seq = l, true, time.Now().UnixMilli(), 0
	d.mu.Unlock()
	d.writeRow(s)
	go d.accept(s, l)
	return nil
}

// crash ends the server's process. Its connections are reset.
func (d *database) crash(s *server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.up = false
	s.listen.Close()
	for c := range s.conns {
		c.Close()
	}
	d.changed.Broadcast()
	d.record.line("crash of %s, primary %t, log ends at %s", s.id, s.primary, s.received())
}

// restart starts the server again. With empty set it holds nothing of before; otherwise it has its
// log, and is a replica if another server was promoted.
func (d *database) restart(s *server, empty bool) error {
	d.mu.Lock()
	if empty {
		s.log, s.term, s.primary = nil, 0, false
	}
	if s.primary && s.term < d.term {
		s.primary = false
	}
	d.record.line("start of %s, primary %t, log ends at %s", s.id, s.primary, s.received())
	d.mu.Unlock()
	return d.start(s)
}

// leader returns the primary of the newest term if it runs, or nil. mu must be held.
func (d *database) leader() *server {
	for _, s := range d.servers {
		if s.primary && s.up && s.term == d.term {
			return s
		}
	}
	return nil
}

// replicate passes the primary's log on to the replicas.
func (d *database) replicate() {
	for {
		time.Sleep(time.Millisecond)
		d.mu.Lock()
		if p := d.leader(); p != nil {
			for _, s := range d.servers {
				if s != p && s.up && !s.primary && !s.deaf {
					d.follow(s, p)
				}
			}
		}
		d.changed.Broadcast()
		d.mu.Unlock()
	}
}

// follow makes the replica's log follow the primary's. mu must be held.
func (d *database) follow(replica, primary *server) {
	replica.term = primary.term
	same := 0
	for same < len(replica.log) && same < len(primary.log) && replica.log[same].at == primary.log[same].at {
		same++
	}
	replica.log = replica.log[:same]
	for _, e := range primary.log[same:] {
		if time.Since(e.when) < receiveDelay {
			return
		}
		replica.log = append(replica.log, e)
	}
}

// promote makes the server with the id the primary of the next term. It returns false if the server
// does not run.
func (d *database) promote(id, holder, fence string) bool {
	time.Sleep(promotionTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.servers, func(s *server) bool { return s.id == id && s.up })
	if i < 0 {
		return false
	}
	s := d.servers[i]
	if s == d.leader() {
		return true
	}
	if d.onPromote != nil {
		d.onPromote(holder, fence)
	}
	d.term++
	for _, old := range d.servers {
		if old != s && old.primary {
			time.AfterFunc(oldPrimaryTime, func() {
				d.mu.Lock()
				defer d.mu.Unlock()
				old.primary = old.primary && old.term == d.term
			})
		}
	}
	d.record.line("promotion of %s to term %d by %s with fence %s, log ends at %s", id, d.term, holder, fence, s.received())
	s.primary, s.term = true, d.term
	if d.onPromotion != nil {
		d.onPromotion(s)
	}
	s.log = append(s.log, entry{at: position{s.term, s.received().number + 1}, when: time.Now()})
	return true
}

// beat keeps the rows of the servers in the store.
func (d *database) beat() {
	last := make(map[string]time.Time)
	role := make(map[string]bool)
	for {
		time.Sleep(20 * time.Millisecond)
		for _, s := range d.servers {
			d.mu.Lock()
			up, primary := s.up, s.primary
			d.mu.Unlock()
			switch {
			case up && (time.Since(last[s.id]) > heartbeat || role[s.id] != primary):
				last[s.id], role[s.id] = time.Now(), primary
				d.writeRow(s)
			case !up && time.Since(last[s.id]) > rowLifetime:
				d.store.put("servers", s.id, nil)
			}
		}
	}
}

// writeRow writes the server's row.
func (d *database) writeRow(s *server) {
	d.mu.Lock()
	s.seq++
	role := "replica"
	if s.primary {
		role = "primary"
	}
	row := map[string]any{
		"Service": d.name, "Address": s.address, "Zone": s.zone, "Version": "1", "Capacity": slots,
		"State": "ready", "WarmupLeftMs": 0, "Seq": s.seq, "DbRole": role, "born": s.born,
	}
	d.mu.Unlock()
	d.store.put("servers", s.id, row)
}

func (d *database) accept(s *server, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		s.conns[c] = true
		d.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				d.mu.Lock()
				delete(s.conns, c)
				d.mu.Unlock()
			}()
			(&backend{d: d, s: s, conn: c, values: map[string]string{}, prepared: map[string]string{}}).serve()
		}()
	}
}

// backend is one connection to a server.
type backend struct {
	d        *database
	s        *server
	conn     net.Conn
	values   map[string]string
	prepared map[string]string

	open, failed, readOnly bool
	ids                    []string
	data                   map[string]string
}

func (b *backend) serve() {
	r := bufio.NewReader(b.conn)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	if f[1] != b.d.name || len(f) > 3 && f[3] != b.s.id {
		fmt.Fprintf(b.conn, "ERROR MISROUTED %s\r\n", b.s.id)
		return
	}
	b.d.mu.Lock()
	answer := b.ready()
	b.d.mu.Unlock()
	for {
		if _, err := b.conn.Write([]byte(answer)); err != nil {
			return
		}
		line, err := r.ReadString('\n')
		verb, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if err != nil || verb != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if id != "-" {
			time.Sleep(rand.N(maxWork))
		}
		if answer = b.answer(id, text); answer == "" {
			return
		}
	}
}

// ready renders the end of an answer. mu must be held.
func (b *backend) ready() string {
	state := "I"
	switch {
	case b.open && b.failed:
		state = "E"
	case b.open:
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, b.s.appliedEnd())
}

// answer runs a statement and renders its answer; empty if the server ends meanwhile.
func (b *backend) answer(id, text string) string {
	b.d.mu.Lock()
	defer b.d.mu.Unlock()
	if !b.s.up {
		return ""
	}
	row, code := "", ""
	if b.s.failShare > 0 && b.mayFail(text) && rand.Float64() < b.s.failShare {
		code = "FAILED"
		b.d.record.line("%s fails statement %s %q", b.s.id, id, text)
	} else if row, code = b.run(id, text); code == "gone" {
		return ""
	}
	if code != "" {
		b.failed = b.open
		return "ERROR " + code + " " + b.s.id + "\r\n" + b.ready()
	}
	if row != "" {
		row = "ROW " + row + "\r\n"
	}
	signature := "-"
	if id != "-" {
		signature = b.s.id + "/" + id
	}
	return row + "COMPLETE " + signature + "\r\n" + b.ready()
}

// mayFail reports whether a server that fails part of its requests may fail the statement. Those
// that end a transaction or ask for the status are left out.
func (b *backend) mayFail(text string) bool {
	verb, _, _ := strings.Cut(text, " ")
	return verb != "STATUS" && verb != "DEMOTE" && verb != "ROLLBACK" && verb != "COMMIT"
}

// run runs a statement and returns its row or an error code. mu must be held.
func (b *backend) run(id, text string) (row, code string) {
	verb, rest, _ := strings.Cut(text, " ")
	if b.failed && verb != "COMMIT" && verb != "ROLLBACK" {
		return "", "MALFORMED"
	}
	if verb == "AFTER" {
		at, statement, _ := strings.Cut(rest, " ")
		var want position
		if _, err := fmt.Sscanf(at, "%d.%d", &want.term, &want.number); err != nil {
			return "", "MALFORMED"
		}
		if b.s.appliedEnd().before(want) {
			return "", "LAGGING"
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	name, args, _ := strings.Cut(rest, " ")
	switch verb {
	case "BEGIN":
		if rest != "READ" && !b.s.primary {
			return "", "READONLY"
		}
		b.open, b.failed, b.readOnly, b.ids, b.data = true, false, rest == "READ", nil, map[string]string{}
	case "COMMIT":
		return "", b.commit()
	case "ROLLBACK":
		b.open, b.failed, b.ids, b.data = false, false, nil, nil
	case "SET":
		b.values[name] = args
	case "RESET":
		b.values, b.prepared = map[string]string{}, map[string]string{}
	case "PREPARE":
		b.prepared[name] = args
	case "DEALLOC":
		delete(b.prepared, rest)
	case "EXECUTE":
		shape, ok := b.prepared[name]
		if !ok {
			b.d.record.line("%s does not know the prepared name %s of %s", b.s.id, name, id)
			return "", "NOSTMT"
		}
		if strings.HasPrefix(shape, "READ") {
			return b.read(id, args), ""
		}
		return "", b.write(id, args)
	case "READ":
		return b.read(id, rest), ""
	case "WRITE":
		return "", b.write(id, rest)
	case "DEMOTE":
		if term, err := strconv.ParseUint(rest, 10, 64); err == nil && b.s.term < term {
			b.s.primary = false
		}
		return b.status(), ""
	default:
		return b.status(), ""
	}
	return "", ""
}

func (b *backend) status() string {
	role := "replica"
	if b.s.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s 0 0 0 %d", role, b.s.term, b.s.received(), len(b.s.conns))
}

func (b *backend) ran(id string) {
	if b.d.onRun != nil && id != "-" {
		b.d.onRun(id, b.s, maps.Clone(b.values))
	}
}

func (b *backend) read(id, item string) string {
	b.ran(id)
	if v, ok := b.data[item]; ok {
		return v
	}
	for _, e := range slices.Backward(b.s.applied()) {
		if v, ok := e.data[item]; ok {
			return v
		}
	}
	return "0"
}

func (b *backend) write(id, text string) (code string) {
	if !b.s.primary || b.open && b.readOnly {
		return "READONLY"
	}
	b.ran(id)
	item, data, _ := strings.Cut(text, " ")
	if b.open {
		b.ids = append(b.ids, id)
		b.data[item] = data
		return ""
	}
	return b.append([]string{id}, map[string]string{item: data})
}

func (b *backend) commit() (code string) {
	ids, data, failed := b.ids, b.data, b.failed
	b.open, b.failed, b.ids, b.data = false, false, nil, nil
	switch {
	case failed:
		return "ABORTED"
	case len(ids) == 0:
		return ""
	case !b.s.primary:
		return "READONLY"
	}
	return b.append(ids, data)
}

// append commits and waits until enough replicas have received the commit.
func (b *backend) append(ids []string, data map[string]string) (code string) {
	e := entry{at: position{b.s.term, b.s.received().number + 1}, ids: ids, data: data, when: time.Now()}
	b.s.log = append(b.s.log, e)
	if b.d.onCommit != nil {
		b.d.onCommit(b.s, e)
	}
	for b.d.holders(b.s, e) < b.d.sync {
		b.d.changed.Wait()
		if !b.s.up || !b.s.primary {
			return "gone"
		}
	}
	return ""
}

// holders returns the number of replicas that have received the entry. mu must be held.
func (d *database) holders(primary *server, e entry) int {
	n := 0
	for _, s := range d.servers {
		if s != primary && s.up && !s.primary && s.term == primary.term && !s.received().before(e.at) {
			n++
		}
	}
	return n
}
