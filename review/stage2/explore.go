package main

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// op is a read or a write of a requester.
type op struct {
	id, route string
	write     bool
	// sent is when it, or its transaction, was sent, and acked when its commit was acknowledged.
	sent, acked time.Time
	// promised is true if the requester was promised that nothing is kept.
	promised bool
	// gone is true once a promotion has rolled it back.
	gone    bool
	commits int
	// lateAt is when a replaced primary committed it.
	lateAt time.Time
	// values are the session values that were acknowledged to its requester.
	values map[string]string
}

// explorer plays random faults and checks several rules. It is for the search of cases; no case
// uses it.
type explorer struct {
	*stage
	mu  sync.Mutex
	ops map[string]*op
	// last lists the acknowledged writes.
	last []*op
}

// op records an operation that is sent now.
func (x *explorer) op(id, route string, write bool) *op {
	o := &op{id: id, route: route, write: write, sent: time.Now()}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ops[id] = o
	return o
}

// client opens sessions until the stage ends.
func (x *explorer) client(n int) {
	routes := []string{primaryRoute, boundedRoute, sessionRoute}
	r := rand.New(rand.NewPCG(uint64(n), 7))
	for {
		select {
		case <-x.stop:
			return
		default:
		}
		route := routes[r.IntN(3)]
		h := x.fleet.randomHost()
		s, err := dial(h.front, route, fmt.Sprintf("u%d", n), x.record)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if r.IntN(3) > 0 {
			value := fmt.Sprintf("%d-%d", n, r.IntN(1000))
			if a, err := s.send(nextID(), "SET who "+value); err != nil || a.code != "" {
				s.conn.Close()
				continue
			}
			s.values = map[string]string{"who": value}
		}
		for range 1 + r.IntN(30) {
			if !x.operate(s, r, n, route) {
				break
			}
			time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
		}
		s.conn.Close()
	}
}

// operate sends a statement or a transaction. It returns false if the session has to end.
func (x *explorer) operate(s *session, r *rand.Rand, n int, route string) bool {
	writes := route == primaryRoute && r.IntN(2) == 0 || route == sessionRoute && r.IntN(4) == 0
	if r.IntN(4) == 0 {
		begin := "BEGIN"
		if !writes {
			begin = "BEGIN READ"
		}
		began := time.Now()
		if a, err := s.send(nextID(), begin); err != nil || a.code != "" {
			return false
		}
		var ws []*op
		for range 1 + r.IntN(3) {
			id := nextID()
			o := x.op(id, route, writes)
			o.values = s.values
			o.sent = began
			text := fmt.Sprintf("READ k%d", r.IntN(50))
			if writes {
				text = fmt.Sprintf("WRITE k%d %s", r.IntN(50), id)
				ws = append(ws, o)
			}
			a, err := s.send(id, text)
			if err != nil {
				return false
			}
			if a.code != "" {
				x.promise(ws, a.code)
				return false
			}
		}
		end := nextID()
		if r.IntN(10) == 0 {
			_, err := s.send(end, "ROLLBACK")
			x.promise(ws, "ABORTED")
			return err == nil
		}
		a, err := s.send(end, "COMMIT")
		if err != nil {
			return false
		}
		if a.code != "" {
			x.promise(ws, a.code)
			return a.state == "I"
		}
		x.ack(ws)
		return true
	}
	id := nextID()
	o := x.op(id, route, writes)
	o.values = s.values
	text := fmt.Sprintf("READ k%d", r.IntN(50))
	if writes {
		text = fmt.Sprintf("WRITE k%d %s", r.IntN(50), id)
	}
	a, err := s.send(id, text)
	if err != nil {
		return false
	}
	if writes {
		if a.code == "" {
			x.ack([]*op{o})
		} else {
			x.promise([]*op{o}, a.code)
		}
	}
	return true
}

// ack records that the writes were acknowledged.
func (x *explorer) ack(ws []*op) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range ws {
		o.acked = time.Now()
		x.last = append(x.last, o)
		if !o.lateAt.IsZero() {
			x.record.violation("ONE: %s was committed at the old primary after the promotion and acknowledged", o.id)
		}
	}
}

// promise records the error that answers the writes.
func (x *explorer) promise(ws []*op, code string) {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY":
	default:
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range ws {
		o.promised = true
	}
}

// explore plays random faults.
func explore(s *stage) error {
	seed, _ := strconv.ParseUint(scenarioSeed, 10, 64)
	r := rand.New(rand.NewPCG(seed, seed))
	x := &explorer{stage: s, ops: make(map[string]*op)}
	go s.store.keepCopies()
	holders := map[string]string{}
	var lastFence uint64
	s.onOrder = func(id, holder, fence string) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if h, ok := holders[fence]; ok && h != holder {
			x.record.violation("ONE: %s and %s promote with fence %s", h, holder, fence)
		}
		holders[fence] = holder
		n, _ := strconv.ParseUint(fence, 10, 64)
		if n < lastFence {
			x.record.violation("ONE: %s sends fence %d after %d", holder, n, lastFence)
		}
		lastFence = max(lastFence, n)
	}
	s.db.onPromotion = func(p *server) {
		held := ids(p.log)
		x.mu.Lock()
		defer x.mu.Unlock()
		lost := 0
		for _, o := range x.last {
			if !o.gone && !held[o.id] {
				o.gone = true
				lost++
			}
		}
		if lost > 0 {
			x.record.line("promotion rolls back %d acknowledged writes", lost)
			if s.db.sync > 0 {
				x.record.violation("LOST: %d acknowledged writes are not in the log of %s", lost, p.id)
			}
		}
	}
	s.db.onCommit = func(p *server, e entry) {
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, id := range e.ids {
			if o := x.ops[id]; o != nil {
				o.commits++
				if o.commits > 1 {
					x.record.violation("TWICE: %s committed %d times", id, o.commits)
				}
				if p.term < s.db.term {
					o.lateAt = time.Now()
				}
			}
		}
	}
	s.db.onRun = func(id string, p *server, values map[string]string) {
		x.mu.Lock()
		defer x.mu.Unlock()
		o := x.ops[id]
		if o != nil && !maps.Equal(o.values, values) {
			x.record.violation("PINNED: %s runs %s with %v instead of %v", p.id, id, values, o.values)
		}
		if o == nil || o.write {
			return
		}
		bound := time.Duration(0)
		switch o.route {
		case boundedRoute:
			bound = 1500 * time.Millisecond
		case sessionRoute:
			bound = 2500 * time.Millisecond
		}
		held := ids(p.applied())
		for _, w := range slices.Backward(x.last) {
			if w.gone || held[w.id] || !w.acked.Add(bound).Before(o.sent) {
				continue
			}
			x.record.violation("STALE: read %s on %s (%s, primary %t) lacks %s acknowledged %s before", id, p.id, o.route, p.primary, w.id, o.sent.Sub(w.acked))
			break
		}
	}
	for n := range 12 {
		go x.client(n)
	}
	time.Sleep(3 * time.Second)
	until := time.Now().Add(45 * time.Second)
	for time.Now().Before(until) {
		x.fault(r)
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	close(s.stop)
	time.Sleep(500 * time.Millisecond)
	s.db.mu.Lock()
	p := s.db.leader()
	held := map[string]bool{}
	if p != nil {
		held = ids(p.log)
	}
	s.db.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	acked, promised := 0, 0
	for _, o := range x.ops {
		if o.promised {
			promised++
			if held[o.id] {
				x.record.violation("REFUSED: %s is kept", o.id)
			}
		}
		if !o.acked.IsZero() {
			acked++
		}
	}
	x.record.line("%d operations, %d acknowledged, %d promised, leader %t", len(x.ops), acked, promised, p != nil)
	fmt.Printf("%d operations, %d acknowledged writes, %d promised, leader %t, term %d, era %d\n", len(x.ops), acked, promised, p != nil, s.db.term, s.store.currentEra())
	if p == nil {
		return errors.New("no leader at the end")
	}
	return nil
}

// ids returns the ids of the statements in the log.
func ids(log []entry) map[string]bool {
	out := make(map[string]bool)
	for _, e := range log {
		for _, id := range e.ids {
			out[id] = true
		}
	}
	return out
}

// fault brings a random fault about.
func (x *explorer) fault(r *rand.Rand) {
	s := x.stage
	later := func(least, most int, f func()) {
		d := time.Duration(least+r.IntN(most-least)) * time.Millisecond
		go func() { time.Sleep(d); f() }()
	}
	hosts := s.fleet.list()
	h := hosts[r.IntN(len(hosts))]
	switch r.IntN(11) {
	case 0, 1:
		s.db.mu.Lock()
		p := s.db.leader()
		up := 0
		for _, y := range s.db.servers {
			if y.up {
				up++
			}
		}
		s.db.mu.Unlock()
		if p != nil && up == len(s.db.servers) {
			s.db.crash(p)
			later(500, 5000, func() { _ = s.db.restart(p, false) })
		}
	case 2:
		x.record.line("kill %s", h.name)
		h.kill()
		later(200, 3000, func() { _ = s.fleet.start(h) })
	case 3:
		x.record.line("pause %s", h.name)
		h.signal(syscall.SIGSTOP)
		later(300, 3500, func() { x.record.line("resume %s", h.name); h.signal(syscall.SIGCONT) })
	case 4, 5, 6:
		away := r.IntN(800)
		age := 1 + r.IntN(10)
		x.record.line("store away for %d ms, copy of %d snapshots", away, age)
		s.store.mu.Lock()
		s.store.down = true
		s.store.mu.Unlock()
		time.Sleep(time.Duration(away) * time.Millisecond)
		s.store.restore(age)
		s.store.mu.Lock()
		s.store.down = false
		s.store.mu.Unlock()
		x.record.line("store back in era %d", s.store.currentEra())
	case 7:
		x.record.line("term %s", h.name)
		h.signal(syscall.SIGTERM)
		go func() {
			h.mu.Lock()
			done := h.done
			h.stopped = true
			h.mu.Unlock()
			select {
			case <-done:
			case <-time.After(grace):
				h.kill()
			}
			time.Sleep(500 * time.Millisecond)
			_ = s.fleet.start(h)
		}()
	case 9:
		x.record.line("herd kill")
		back := 200 + r.IntN(1500)
		n := 2 + r.IntN(4)
		for _, y := range hosts[:min(n, len(hosts))] {
			y.signal(syscall.SIGKILL)
			go func() {
				y.kill()
				time.Sleep(time.Duration(back) * time.Millisecond)
				_ = s.fleet.start(y)
			}()
		}
	case 10:
		s.db.mu.Lock()
		p := s.db.leader()
		s.db.mu.Unlock()
		if p == nil {
			return
		}
		wait := time.Duration(200+r.IntN(900)) * time.Millisecond
		x.record.line("crash, then the store is restored after %s", wait)
		s.db.crash(p)
		later(2500, 5000, func() { _ = s.db.restart(p, false) })
		time.Sleep(wait)
		s.store.restore(1 + r.IntN(6))
	case 8:
		s.db.mu.Lock()
		y := s.db.servers[r.IntN(len(s.db.servers))]
		y.deaf = true
		x.record.line("%s is deaf", y.id)
		s.db.mu.Unlock()
		later(500, 4000, func() {
			s.db.mu.Lock()
			y.deaf = false
			s.db.mu.Unlock()
		})
	}
}

// scenarioSeed is set by main.
var scenarioSeed string
