package claim_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const stepTime = 10 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

// fate is what happens to one message and its answer.
type fate struct {
	request, answer         time.Duration
	requestLost, answerLost bool
}

func promptFate() fate { return fate{request: time.Millisecond, answer: time.Millisecond} }

// node is one daemon's claimant.
type node struct {
	*claim.Machine
	cfg    claim.Config
	rate   float64 // of its clock, compared with the model's
	paused bool
	inbox  []claim.Event
	state  claim.State
}

// confirmation is a write that an owner could confirm.
type confirmation struct {
	term   uint64
	offset int
	entry  entry
}

// world runs claimants over servers in virtual time and checks the guarantees.
type world struct {
	fail      func(format string, args ...any)
	fate      func() fate
	now       time.Duration
	nodes     []*node
	servers   []*server
	endpoints []claim.Endpoint
	queue     []scheduled
	nextID    int
	started   map[uint64][]entry // by term: the log that its primary began with
	owners    map[uint64]string
	written   map[logpos.Position]entry
	confirmed []confirmation
	notes     map[claim.NoteKind]int
	count     func(a claim.Action) // sees each action if it is set
}

type scheduled struct {
	at time.Duration
	do func()
}

func newWorld(nodes, servers int, fail func(string, ...any)) *world {
	w := &world{
		fail: fail, fate: promptFate,
		started: make(map[uint64][]entry), owners: make(map[uint64]string), notes: make(map[claim.NoteKind]int),
		written: make(map[logpos.Position]entry),
	}
	for i := range servers {
		a := fmt.Sprintf("db%d", i)
		w.servers = append(w.servers, &server{address: a})
		w.endpoints = append(w.endpoints, claim.Endpoint{Address: a})
	}
	for range nodes {
		w.nodes = append(w.nodes, &node{rate: 1})
	}
	for i := range w.nodes {
		w.restart(i)
	}
	return w
}

// restart replaces a node's process by a new one.
func (w *world) restart(i int) {
	w.nextID++
	cfg := claim.Config{
		Group: "g", Address: fmt.Sprintf("d%d", i), Incarnation: uint64(w.nextID),
		Holder: fmt.Sprintf("d%d/%d", i, w.nextID), Seed: uint64(w.nextID),
	}
	w.nodes[i] = &node{Machine: claim.New(cfg), cfg: cfg, rate: w.nodes[i].rate}
	w.configure(w.nodes[i])
}

func (w *world) configure(n *node) {
	w.deliver(n, claim.SetGroup{Endpoints: w.endpoints, Candidates: w.addresses()})
}

func (w *world) addresses() []string {
	as := make([]string, len(w.nodes))
	for i := range w.nodes {
		as[i] = fmt.Sprintf("d%d", i)
	}
	return as
}

func (w *world) node(address string) *node { return w.nodes[slices.Index(w.addresses(), address)] }

func (w *world) server(address string) *server {
	i := slices.IndexFunc(w.servers, func(s *server) bool { return s.address == address })
	if i < 0 {
		return nil
	}
	return w.servers[i]
}

func (w *world) local(n *node) time.Time { return epoch.Add(time.Duration(float64(w.now) * n.rate)) }

func (w *world) later(d time.Duration, do func()) {
	w.queue = append(w.queue, scheduled{w.now + d, do})
}

// deliver gives an event to a node, unless its process has been replaced; a
// paused one takes it when it resumes.
func (w *world) deliver(n *node, e claim.Event) {
	if !slices.Contains(w.nodes, n) {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, a := range n.Step(w.local(n), e) {
		w.run(n, a)
	}
	w.observe(n)
}

func (w *world) run(n *node, a claim.Action) {
	if w.count != nil {
		w.count(a)
	}
	switch a := a.(type) {
	case claim.Call:
		w.call(n, a)
	case claim.RequestPreVotes:
		for _, p := range a.Peers {
			w.ask(n, func() (claim.Event, bool) {
				t := w.node(p)
				v := claim.PreVoteAnswered{Round: a.Round, Peer: p, OwnerAlive: t.OwnerAlive(w.local(t)), HighestTerm: t.State().Term}
				return v, !t.paused
			}, claim.PreVoteAnswered{Round: a.Round, Peer: p, Failed: true})
		}
	case claim.OfferHandover:
		w.ask(n, func() (claim.Event, bool) {
			t := w.node(a.To)
			if t.paused {
				return nil, false
			}
			ok := t.AcceptsHandover(a.Term)
			w.deliver(t, claim.HandoverOffered{Term: a.Term})
			return claim.HandoverAnswered{To: a.To, Accepted: ok}, true
		}, claim.HandoverAnswered{To: a.To})
	case claim.Drain:
		w.later(30*time.Millisecond, func() { w.deliver(n, claim.Drained(a)) })
	case claim.Note:
		w.notes[a.Kind]++
	}
}

// ask runs a request and delivers its answer, or the failure at the timeout.
func (w *world) ask(n *node, request func() (claim.Event, bool), failure claim.Event) {
	f, sent := w.fate(), w.now
	timeout := func() { w.later(sent+claim.CallTimeout-w.now, func() { w.deliver(n, failure) }) }
	if f.requestLost {
		timeout()
		return
	}
	if f.request >= claim.CallTimeout {
		timeout()
	}
	w.later(f.request, func() {
		e, ok := request()
		switch late := f.request+f.answer >= claim.CallTimeout; {
		case f.request >= claim.CallTimeout:
		case !ok || late || f.answerLost:
			timeout()
		default:
			w.later(f.answer, func() { w.deliver(n, e) })
		}
	})
}

func (w *world) call(n *node, c claim.Call) {
	answer := claim.Answer{Call: c, Started: w.local(n)}
	failure := answer
	failure.Failed = true
	w.ask(n, func() (claim.Event, bool) {
		s := w.server(c.Address)
		if s.down {
			return nil, false
		}
		w.nextID++
		begin := slices.Clone(s.log)
		if s.run(c, n.cfg.Holder, w.nextID) {
			answer.Status = s.Status
			if c.Kind == claim.CallPromote {
				w.written[s.end()] = entry{c.Term, w.nextID}
				w.promoted(c.Term, begin)
			}
		} else {
			answer.Stale, answer.EndpointTerm = true, s.Term
		}
		return answer, true
	}, failure)
}

// promoted checks a new primary's log.
func (w *world) promoted(term uint64, log []entry) {
	if _, ok := w.started[term]; ok {
		w.fail("term %d has two promotions", term)
	}
	w.started[term] = log
	for _, c := range w.confirmed {
		w.checkKept(c, term, log)
	}
}

func (w *world) checkKept(c confirmation, term uint64, log []entry) {
	if c.term < term && (len(log) < c.offset || log[c.offset-1] != c.entry) {
		w.fail("entry %v at %d, confirmed in term %d, is lost in term %d", c.entry, c.offset, c.term, term)
	}
}

// observe checks a node's new state.
func (w *world) observe(n *node) {
	s := n.State()
	if s.Owned {
		if h, ok := w.owners[s.Term]; ok && h != n.cfg.Holder {
			w.fail("term %d has owners %s and %s", s.Term, h, n.cfg.Holder)
		}
		w.owners[s.Term] = n.cfg.Holder
	}
	if s.Term < n.state.Term {
		w.fail("%s went from term %d to %d", n.cfg.Holder, n.state.Term, s.Term)
	}
	n.state = s
}

// step lets time pass: messages arrive in order of their time, then the nodes
// that are not paused tick.
func (w *world) step() {
	end := w.now + stepTime
	for len(w.queue) > 0 {
		i := 0
		for j := range w.queue {
			if w.queue[j].at < w.queue[i].at {
				i = j
			}
		}
		if w.queue[i].at > end {
			break
		}
		s := w.queue[i]
		w.queue = slices.Delete(w.queue, i, i+1)
		w.now = max(w.now, s.at)
		s.do()
	}
	w.now = end
	for _, n := range w.nodes {
		if !n.paused {
			w.deliver(n, claim.Tick{})
			w.confirm(n)
		}
	}
	w.checkLeases()
}

// confirm records what an owner could confirm: entries of its term that, as far
// as it knows, a majority has received.
func (w *world) confirm(n *node) {
	s := n.state
	if !s.Owned || w.local(n).Before(s.ConfirmAfter) {
		return
	}
	received := make([]int, 0, len(s.Endpoints))
	for _, e := range s.Endpoints {
		if e.Status.Term == s.Term && e.Status.Received.Term == s.Term {
			received = append(received, int(e.Status.Received.Offset))
		}
	}
	slices.Sort(received)
	i := len(received) - lease.Majority(len(w.servers))
	if i < 0 {
		return
	}
	c := confirmation{s.Term, received[i], w.written[logpos.Position{Term: s.Term, Offset: uint64(received[i])}]}
	if l := len(w.confirmed); l > 0 && w.confirmed[l-1] == c {
		return
	}
	w.confirmed = append(w.confirmed, c)
	for term, begin := range w.started {
		w.checkKept(c, term, begin)
	}
}

// checkLeases fails if an owner may confirm while an earlier one may read.
func (w *world) checkLeases() {
	for _, old := range w.nodes {
		o := old.state
		if !o.Owned || w.local(old).Sub(o.LeaseStart) >= lease.Duration {
			continue
		}
		for _, n := range w.nodes {
			s := n.state
			if s.Owned && s.Term > o.Term && !w.local(n).Before(s.ConfirmAfter) {
				w.fail("%s may confirm in term %d while %s may read in term %d", n.cfg.Holder, s.Term, old.cfg.Holder, o.Term)
			}
		}
	}
}

// heartbeat sends a node's heartbeat to the others.
func (w *world) heartbeat(n *node) {
	if n.paused || !n.ShouldAnnounce(w.local(n)) {
		return
	}
	o := claim.Owner{Address: n.cfg.Address, Incarnation: n.cfg.Incarnation, Term: n.state.Term}
	for _, t := range w.nodes {
		if f := w.fate(); t != n && !f.requestLost {
			w.later(f.request, func() { w.deliver(t, claim.HeartbeatReceived{Owner: o}) })
		}
	}
}

// write appends an entry at each primary.
func (w *world) write() {
	for _, s := range w.servers {
		if s.Role == claim.RolePrimary && !s.down {
			w.nextID++
			s.log = append(s.log, entry{s.Term, w.nextID})
			s.Received = s.end()
			w.written[s.end()] = entry{s.Term, w.nextID}
		}
	}
}

func (w *world) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		w.deliver(n, e)
	}
}

// run lets an undisturbed time pass, with heartbeats and writes.
func (w *world) runFor(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
		if w.now%(200*time.Millisecond) < stepTime {
			for _, n := range w.nodes {
				w.heartbeat(n)
			}
			w.write()
		}
		for _, s := range w.servers {
			s.replicate(w.server(s.Primary), 1000)
		}
	}
}

// owner returns the only owner with a valid lease, or nil.
func (w *world) owner() *node {
	var found *node
	for _, n := range w.nodes {
		if n.state.Owned && !n.paused && w.local(n).Sub(n.state.LeaseStart) < lease.Duration {
			if found != nil {
				return nil
			}
			found = n
		}
	}
	return found
}
