package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// recovery is RecoveryS.
const recovery = 12 * time.Second

// writer sends single writes one after the other until the stage ends. done is called with the ids
// of the acknowledged ones.
func (s *stage) writer(n int, c *counts, done func(id string)) {
	var open *session
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		default:
		}
		if open == nil {
			h := s.fleet.randomHost()
			var err error
			if open, err = dial(h.front, primaryRoute, fmt.Sprintf("u%d", n), s.record); err != nil {
				c.add(false)
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := nextID()
		a, err := open.send(id, fmt.Sprintf("WRITE item%d v%d", n, i))
		served := err == nil && a.code == ""
		c.add(served)
		if served {
			done(id)
		}
		if err != nil {
			open.conn.Close()
			open = nil
		}
		time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
	}
}

// powerLoss checks LOST: all servers lose power at once. The replicas start again first, under their
// ids and with nothing of before; the primary comes back with its log.
func powerLoss(s *stage) error {
	var mu sync.Mutex
	acknowledged := make(map[string]bool)
	s.db.onPromotion = func(x *server) {
		held := make(map[string]bool)
		for _, e := range x.log {
			for _, id := range e.ids {
				held[id] = true
			}
		}
		mu.Lock()
		defer mu.Unlock()
		lost := 0
		for id := range acknowledged {
			if !held[id] {
				lost++
			}
		}
		s.record.line("%s is promoted with %d of %d acknowledged writes", x.id, len(acknowledged)-lost, len(acknowledged))
		if lost > 0 {
			s.record.violation("LOST: %d acknowledged writes are not in the log of %s, which is promoted", lost, x.id)
		}
	}
	var c counts
	for n := range 10 {
		go s.writer(n, &c, func(id string) {
			mu.Lock()
			defer mu.Unlock()
			acknowledged[id] = true
		})
	}
	time.Sleep(5 * time.Second)
	if s.disrupts {
		for _, x := range s.db.servers {
			s.db.crash(x)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, x := range s.db.servers[1:] {
			if err := s.db.restart(x, true); err != nil {
				return err
			}
		}
		time.Sleep(5 * time.Second)
		if err := s.db.restart(s.db.servers[0], false); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	close(s.stop)
	sent, served := c.take()
	s.record.line("%d writes sent, %d acknowledged", sent, served)
	if served == 0 {
		return fmt.Errorf("no write was acknowledged")
	}
	return nil
}

// expectations holds the values that were acknowledged to the session of each statement.
type expectations struct {
	mu     sync.Mutex
	values map[string]map[string]string
}

func (e *expectations) set(id string, values map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.values[id] = values
}

func (e *expectations) get(id string) map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.values[id]
}

// grey checks PINNED: one replica fails part of its requests for a while.
func grey(s *stage) error {
	expected := expectations{values: make(map[string]map[string]string)}
	s.db.onRun = func(id string, x *server, values map[string]string) {
		want := expected.get(id)
		if want != nil && !maps.Equal(want, values) {
			s.record.violation("PINNED: %s runs %s with the values %v, and %v were acknowledged to its requester", x.id, id, values, want)
		}
	}
	var c counts
	for n := range 20 {
		go s.reader(n, &c, &expected)
	}
	time.Sleep(3 * time.Second)
	replica := s.db.servers[1]
	setFailShare := func(share float64) {
		s.db.mu.Lock()
		defer s.db.mu.Unlock()
		replica.failShare = share
		s.record.line("%s fails a share of %.2f of its requests", replica.id, share)
	}
	if s.disrupts {
		setFailShare(0.4)
	}
	time.Sleep(6 * time.Second)
	setFailShare(0)
	time.Sleep(2 * time.Second)
	close(s.stop)
	sent, served := c.take()
	s.record.line("%d reads sent, %d served", sent, served)
	if served == 0 {
		return fmt.Errorf("no read was served")
	}
	return nil
}

// reader sets a value of its session and then reads, until the stage ends.
func (s *stage) reader(n int, c *counts, expected *expectations) {
	who := fmt.Sprintf("u%d", n)
	values := map[string]string{"who": who}
	var open *session
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		if open == nil {
			h := s.fleet.randomHost()
			var err error
			if open, err = dial(h.front, boundedRoute, who, s.record); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			if a, err := open.send(nextID(), "SET who "+who); err != nil || a.code != "" {
				open.conn.Close()
				open = nil
				continue
			}
		}
		id := nextID()
		expected.set(id, values)
		a, err := open.send(id, fmt.Sprintf("READ item%d", rand.IntN(10)))
		c.add(err == nil && a.code == "")
		if err != nil {
			open.conn.Close()
			open = nil
		}
		time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
	}
}

// settleTime is how long the system runs undisturbed before the final fault of the majority scenario.
const settleTime = 15 * time.Second

// majority checks RECOVER: two of three hosts are lost for good and replaced by empty ones at other
// addresses. Much later all processes are killed, and the primary's machine is lost with them.
func majority(s *stage) error {
	var c counts
	for n := range 10 {
		go s.writer(n, &c, func(string) {})
	}
	time.Sleep(6 * time.Second)
	if s.disrupts {
		for _, h := range s.fleet.list()[1:] {
			s.fleet.remove(h)
		}
		for n := range 2 {
			if _, err := s.fleet.add(fmt.Sprintf("new-%d", n), fmt.Sprintf("zone-%d", n+1)); err != nil {
				return err
			}
		}
	}
	time.Sleep(settleTime)
	c.take()
	time.Sleep(3 * time.Second)
	before, servedBefore := c.take()
	s.record.line("before the final fault: %d sent, %d served", before, servedBefore)
	if servedBefore*4 < before || servedBefore == 0 {
		return fmt.Errorf("only %d of %d were served before the final fault", servedBefore, before)
	}
	for _, h := range s.fleet.list() {
		h.kill()
	}
	s.db.crash(s.db.servers[0])
	time.Sleep(time.Second)
	for _, h := range s.fleet.list() {
		if err := s.fleet.start(h); err != nil {
			return err
		}
	}
	time.Sleep(recovery)
	c.take()
	time.Sleep(8 * time.Second)
	sent, served := c.take()
	s.record.line("later than %s after the hosts were back: %d sent, %d served", recovery, sent, served)
	if served*4 < sent {
		s.record.violation("RECOVER: %d of %d requests are served that were sent later than %s after the hosts were back", served, sent, recovery)
	}
	close(s.stop)
	return nil
}

// movedStore checks CONFIG: the settings files change, since the platform has moved the store to
// another address, and all hosts get SIGHUP. Later the operator drops a route.
func movedStore(s *stage) error {
	var c counts
	for n := range 10 {
		go s.writer(n, &c, func(string) {})
	}
	time.Sleep(4 * time.Second)
	if s.disrupts {
		address, err := serve(s.store)
		if err != nil {
			return err
		}
		if err := s.fleet.moveStore(address); err != nil {
			return err
		}
		time.Sleep(overlap)
		s.closeStore()
		s.record.line("the former address of the store is closed")
	}
	time.Sleep(stability)
	ran := make(map[string]string)
	s.db.mu.Lock()
	s.db.onRun = func(id string, x *server, _ map[string]string) { ran[id] = x.id }
	s.db.mu.Unlock()
	s.store.put("op", "config", config(9, 0, 0, boundedRoute))
	s.record.line("config 9 acknowledged, without route %s", boundedRoute)
	time.Sleep(configApply + time.Second)
	for range 3 {
		for _, h := range s.fleet.list() {
			id := s.tryDropped(h)
			s.db.mu.Lock()
			if server := ran[id]; server != "" {
				s.record.violation("CONFIG: %s runs %s, sent to %s for the dropped route more than %s after the ack of the config without it", server, id, h.name, configApply)
			}
			s.db.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
	sent, served := c.take()
	s.record.line("%d writes sent, %d acknowledged", sent, served)
	close(s.stop)
	return nil
}

const (
	// overlap is how long the store serves at both addresses.
	overlap = 5 * time.Second
	// stability is above StabilityMs, and configApply is ConfigApplyMs.
	stability   = 5 * time.Second
	configApply = 3 * time.Second
)

// tryDropped sends a read for the dropped route to the host, and returns its id.
func (s *stage) tryDropped(h *host) string {
	id := nextID()
	s.record.line("session for %s to %s, for %s", boundedRoute, h.name, id)
	x, err := dial(h.front, boundedRoute, "probe", s.record)
	if err != nil {
		s.record.line("answer of %s: %v", h.name, err)
		return id
	}
	defer x.conn.Close()
	if _, err := x.send(id, "READ item0"); err != nil {
		s.record.line("no answer of %s: %v", h.name, err)
	}
	return id
}

// lateOrder checks ONE: the primary crashes, and the platform is slow to carry out the first order
// that follows. This is done up to orderRounds times, as the next host may choose the same server.
func lateOrder(s *stage) error {
	var mu sync.Mutex
	late := make(map[string]string)
	s.db.onCommit = func(x *server, e entry) {
		// The database's mutex is held.
		if x.term >= s.db.term {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, id := range e.ids {
			late[id] = x.id
		}
	}
	var newest uint64
	s.db.onPromote = func(holder, fence string) {
		n, _ := strconv.ParseUint(fence, 10, 64)
		if n < newest {
			s.record.line("the platform carries out fence %d of %s after fence %d", n, holder, newest)
		}
		newest = max(newest, n)
	}
	var c counts
	for n := range 10 {
		go s.writer(n, &c, func(id string) {
			mu.Lock()
			defer mu.Unlock()
			if x := late[id]; x != "" {
				s.record.violation("ONE: write %s was committed at %s after the promotion of another server had taken effect, and acknowledged", id, x)
			}
		})
	}
	time.Sleep(4 * time.Second)
	for range orderRounds {
		held := false
		var once sync.Mutex
		if s.disrupts {
			s.hold = func() time.Duration {
				once.Lock()
				defer once.Unlock()
				if held {
					return 0
				}
				held = true
				return slowOrder
			}
		}
		s.db.mu.Lock()
		p := s.db.leader()
		s.db.mu.Unlock()
		if p == nil {
			return fmt.Errorf("there is no primary")
		}
		s.db.crash(p)
		time.Sleep(primaryDown)
		if err := s.db.restart(p, false); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		if s.record.violations() > 0 {
			break
		}
	}
	close(s.stop)
	return nil
}

const (
	orderRounds = 7
	// slowOrder is how long the platform takes for the first order of a round.
	slowOrder = 5 * time.Second
	// primaryDown is how long the crashed primary is down.
	primaryDown = 7 * time.Second
)
