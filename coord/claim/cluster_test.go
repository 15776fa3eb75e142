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

// delivery is what the network does to one request and its answer.
type delivery struct {
	requestDelay, answerDelay time.Duration
	requestLost, answerLost   bool
}

func promptDelivery() delivery {
	return delivery{requestDelay: time.Millisecond, answerDelay: time.Millisecond}
}

// daemon is one daemon of a cluster, reduced to its Machine.
type daemon struct {
	*claim.Machine
	cfg    claim.Config
	rate   float64 // of its clock relative to virtual time
	paused bool
	inbox  []claim.Event
	state  claim.State
}

// confirmation is a write that an owner may confirm.
type confirmation struct {
	term   uint64
	offset int
	entry  entry
}

// cluster runs claimants over servers in virtual time and checks the guarantees.
type cluster struct {
	fail          func(format string, args ...any)
	delivery      func() delivery
	now           time.Duration
	daemons       []*daemon
	servers       []*server
	endpoints     []claim.Endpoint
	queue         []scheduled
	nextID        int
	promotionLogs map[uint64][]entry // by term: the log that its primary began with
	owners        map[uint64]string
	written       map[logpos.Position]entry
	confirmed     []confirmation
	notes         map[claim.NoteKind]int
	onAction      func(a claim.Action) // called for each action unless nil
}

type scheduled struct {
	at time.Duration
	do func()
}

func newCluster(daemons, servers int, fail func(string, ...any)) *cluster {
	cl := &cluster{
		fail: fail, delivery: promptDelivery,
		promotionLogs: make(map[uint64][]entry), owners: make(map[uint64]string), notes: make(map[claim.NoteKind]int),
		written: make(map[logpos.Position]entry),
	}
	for i := range servers {
		a := fmt.Sprintf("db%d", i)
		cl.servers = append(cl.servers, &server{address: a})
		cl.endpoints = append(cl.endpoints, claim.Endpoint{Address: a})
	}
	for range daemons {
		cl.daemons = append(cl.daemons, &daemon{rate: 1})
	}
	for i := range cl.daemons {
		cl.restart(i)
	}
	return cl
}

// restart replaces a daemon's process by a new one.
func (cl *cluster) restart(i int) {
	cl.nextID++
	cfg := claim.Config{
		Group: "g", Address: fmt.Sprintf("d%d", i), Incarnation: uint64(cl.nextID),
		Holder: fmt.Sprintf("d%d/%d", i, cl.nextID), Seed: uint64(cl.nextID),
	}
	cl.daemons[i] = &daemon{Machine: claim.New(cfg), cfg: cfg, rate: cl.daemons[i].rate}
	cl.configure(cl.daemons[i])
}

func (cl *cluster) configure(n *daemon) {
	cl.deliver(n, claim.SetGroup{Endpoints: cl.endpoints, Candidates: cl.addresses()})
}

func (cl *cluster) addresses() []string {
	as := make([]string, len(cl.daemons))
	for i := range cl.daemons {
		as[i] = fmt.Sprintf("d%d", i)
	}
	return as
}

func (cl *cluster) daemonAt(address string) *daemon {
	return cl.daemons[slices.Index(cl.addresses(), address)]
}

func (cl *cluster) server(address string) *server {
	i := slices.IndexFunc(cl.servers, func(s *server) bool { return s.address == address })
	if i < 0 {
		return nil
	}
	return cl.servers[i]
}

func (cl *cluster) local(n *daemon) time.Time {
	return epoch.Add(time.Duration(float64(cl.now) * n.rate))
}

func (cl *cluster) schedule(d time.Duration, do func()) {
	cl.queue = append(cl.queue, scheduled{cl.now + d, do})
}

// deliver passes an event to a daemon, unless its process has been replaced. A paused
// daemon processes the event when it resumes.
func (cl *cluster) deliver(n *daemon, e claim.Event) {
	if !slices.Contains(cl.daemons, n) {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, a := range n.Step(cl.local(n), e) {
		cl.run(n, a)
	}
	cl.observe(n)
}

func (cl *cluster) run(n *daemon, a claim.Action) {
	if cl.onAction != nil {
		cl.onAction(a)
	}
	switch a := a.(type) {
	case claim.Call:
		cl.call(n, a)
	case claim.RequestPreVotes:
		for _, p := range a.Peers {
			cl.request(n, func() (claim.Event, bool) {
				t := cl.daemonAt(p)
				v := claim.PreVoteAnswered{Round: a.Round, Peer: p, OwnerAlive: t.OwnerAlive(cl.local(t)), HighestTerm: t.State().Term}
				return v, !t.paused
			}, claim.PreVoteAnswered{Round: a.Round, Peer: p, Failed: true})
		}
	case claim.OfferHandover:
		cl.request(n, func() (claim.Event, bool) {
			t := cl.daemonAt(a.To)
			if t.paused {
				return nil, false
			}
			ok := t.AcceptsHandover(a.Term)
			cl.deliver(t, claim.HandoverOffered{Term: a.Term})
			return claim.HandoverAnswered{To: a.To, Accepted: ok}, true
		}, claim.HandoverAnswered{To: a.To})
	case claim.Drain:
		cl.schedule(30*time.Millisecond, func() { cl.deliver(n, claim.Drained(a)) })
	case claim.Note:
		cl.notes[a.Kind]++
	}
}

// request sends a request and delivers its answer, or the failure at the timeout.
func (cl *cluster) request(n *daemon, request func() (claim.Event, bool), failure claim.Event) {
	d, sent := cl.delivery(), cl.now
	timeout := func() { cl.schedule(sent+claim.CallTimeout-cl.now, func() { cl.deliver(n, failure) }) }
	if d.requestLost {
		timeout()
		return
	}
	if d.requestDelay >= claim.CallTimeout {
		timeout()
	}
	cl.schedule(d.requestDelay, func() {
		e, ok := request()
		switch late := d.requestDelay+d.answerDelay >= claim.CallTimeout; {
		case d.requestDelay >= claim.CallTimeout:
		case !ok || late || d.answerLost:
			timeout()
		default:
			cl.schedule(d.answerDelay, func() { cl.deliver(n, e) })
		}
	})
}

func (cl *cluster) call(n *daemon, c claim.Call) {
	answer := claim.Answer{Call: c, Started: cl.local(n)}
	failure := answer
	failure.Failed = true
	cl.request(n, func() (claim.Event, bool) {
		s := cl.server(c.Address)
		if s.down {
			return nil, false
		}
		cl.nextID++
		begin := slices.Clone(s.log)
		if s.run(c, n.cfg.Holder, cl.nextID) {
			answer.Status = s.Status
			if c.Kind == claim.CallPromote {
				cl.written[s.end()] = entry{c.Term, cl.nextID}
				cl.checkPromotion(c.Term, begin)
			}
		} else {
			answer.Stale, answer.EndpointTerm = true, s.Term
		}
		return answer, true
	}, failure)
}

// checkPromotion checks that the term has no other primary and that the new primary's
// log, without its marker, has all confirmed entries of earlier terms.
func (cl *cluster) checkPromotion(term uint64, log []entry) {
	if _, ok := cl.promotionLogs[term]; ok {
		cl.fail("term %d has two promotions", term)
	}
	cl.promotionLogs[term] = log
	for _, c := range cl.confirmed {
		cl.checkKept(c, term, log)
	}
}

func (cl *cluster) checkKept(c confirmation, term uint64, log []entry) {
	if c.term < term && (len(log) < c.offset || log[c.offset-1] != c.entry) {
		cl.fail("entry %v at %d, confirmed in term %d, is lost in term %d", c.entry, c.offset, c.term, term)
	}
}

// observe records a daemon's new state and checks it against the guarantees.
func (cl *cluster) observe(n *daemon) {
	s := n.State()
	if s.Owned {
		if h, ok := cl.owners[s.Term]; ok && h != n.cfg.Holder {
			cl.fail("term %d has owners %s and %s", s.Term, h, n.cfg.Holder)
		}
		cl.owners[s.Term] = n.cfg.Holder
	}
	if s.Term < n.state.Term {
		cl.fail("%s went from term %d to %d", n.cfg.Holder, n.state.Term, s.Term)
	}
	n.state = s
}

// step advances virtual time by stepTime: it delivers the messages that are due, in
// the order of their times, and then sends a Tick to each daemon that is not paused.
func (cl *cluster) step() {
	end := cl.now + stepTime
	for len(cl.queue) > 0 {
		i := 0
		for j := range cl.queue {
			if cl.queue[j].at < cl.queue[i].at {
				i = j
			}
		}
		if cl.queue[i].at > end {
			break
		}
		s := cl.queue[i]
		cl.queue = slices.Delete(cl.queue, i, i+1)
		cl.now = max(cl.now, s.at)
		s.do()
	}
	cl.now = end
	for _, n := range cl.daemons {
		if !n.paused {
			cl.deliver(n, claim.Tick{})
			cl.confirm(n)
		}
	}
	cl.checkLeases()
}

// confirm records what an owner may confirm: the entries of its term that, as far as it
// knows, a majority has received.
func (cl *cluster) confirm(n *daemon) {
	s := n.state
	if !s.Owned || cl.local(n).Before(s.ConfirmAfter) {
		return
	}
	received := make([]int, 0, len(s.Endpoints))
	for _, e := range s.Endpoints {
		if e.Status.Term == s.Term && e.Status.Received.Term == s.Term {
			received = append(received, int(e.Status.Received.Offset))
		}
	}
	slices.Sort(received)
	i := len(received) - lease.Majority(len(cl.servers))
	if i < 0 {
		return
	}
	c := confirmation{s.Term, received[i], cl.written[logpos.Position{Term: s.Term, Offset: uint64(received[i])}]}
	if l := len(cl.confirmed); l > 0 && cl.confirmed[l-1] == c {
		return
	}
	cl.confirmed = append(cl.confirmed, c)
	for term, begin := range cl.promotionLogs {
		cl.checkKept(c, term, begin)
	}
}

// checkLeases fails if an owner may confirm writes while the lease of an earlier owner
// is valid.
func (cl *cluster) checkLeases() {
	for _, old := range cl.daemons {
		o := old.state
		if !o.Owned || cl.local(old).Sub(o.LeaseStart) >= lease.Duration {
			continue
		}
		for _, n := range cl.daemons {
			s := n.state
			if s.Owned && s.Term > o.Term && !cl.local(n).Before(s.ConfirmAfter) {
				cl.fail("%s may confirm in term %d while %s may read in term %d", n.cfg.Holder, s.Term, old.cfg.Holder, o.Term)
			}
		}
	}
}

// heartbeat sends a daemon's heartbeat to the others.
func (cl *cluster) heartbeat(n *daemon) {
	if n.paused || !n.ShouldAnnounce(cl.local(n)) {
		return
	}
	o := claim.Owner{Address: n.cfg.Address, Incarnation: n.cfg.Incarnation, Term: n.state.Term}
	for _, t := range cl.daemons {
		if d := cl.delivery(); t != n && !d.requestLost {
			cl.schedule(d.requestDelay, func() { cl.deliver(t, claim.HeartbeatReceived{Owner: o}) })
		}
	}
}

// write appends an entry at each primary.
func (cl *cluster) write() {
	for _, s := range cl.servers {
		if s.Role == claim.RolePrimary && !s.down {
			cl.nextID++
			s.log = append(s.log, entry{s.Term, cl.nextID})
			s.Received = s.end()
			cl.written[s.end()] = entry{s.Term, cl.nextID}
		}
	}
}

func (cl *cluster) resume(n *daemon) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		cl.deliver(n, e)
	}
}

// runFor runs the cluster for the given time without new faults, with heartbeats,
// writes and replication.
func (cl *cluster) runFor(d time.Duration) {
	for end := cl.now + d; cl.now < end; {
		cl.step()
		if cl.now%(200*time.Millisecond) < stepTime {
			for _, n := range cl.daemons {
				cl.heartbeat(n)
			}
			cl.write()
		}
		for _, s := range cl.servers {
			s.replicate(cl.server(s.Primary), 1000)
		}
	}
}

// owner returns the only owner with a valid lease, or nil.
func (cl *cluster) owner() *daemon {
	var found *daemon
	for _, n := range cl.daemons {
		if n.state.Owned && !n.paused && cl.local(n).Sub(n.state.LeaseStart) < lease.Duration {
			if found != nil {
				return nil
			}
			found = n
		}
	}
	return found
}
