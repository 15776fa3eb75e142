package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

const (
	// newsInterval is how often a host exchanges news.
	newsInterval = 250 * time.Millisecond
	// newsTimeout bounds one exchange.
	newsTimeout = 400 * time.Millisecond
)

// exchangeNews starts a round of exchanges if it is due.
func (c *control) exchangeNews(now time.Time) {
	if now.Sub(c.lastNews) < newsInterval {
		return
	}
	everyone := c.lastNews.IsZero()
	c.lastNews = now
	c.round++
	for _, m := range c.partners(now, everyone) {
		m.called = now
		go c.exchange(m.Name, m.Address, c.news(now, m.through))
	}
	if len(c.members) == 0 && len(c.gw.cfg.Seeds) > 0 {
		seed := c.gw.cfg.Seeds[rand.N(len(c.gw.cfg.Seeds))]
		go c.exchange("", seed, c.news(now, nil))
	}
}

// unanswered records a call that failed. A refused connection shows that the
// host's process does not run.
func (c *control) unanswered(name string, sent time.Time, err error) {
	m := c.members[name]
	if m == nil {
		return
	}
	m.failed = boottime.Now()
	m.failures++
	if c.gw.cfg.Peers.NotRunning(err) {
		m.failures = max(m.failures, suspectFailures)
	}
	if c.gw.cfg.Peers.NotRunning(err) && sent.After(m.answered) {
		m.answered = sent
		c.permit()
	}
}

// exchange exchanges news with one host. It runs on a goroutine of its own.
func (c *control) exchange(name, address string, n News) {
	ctx, cancel := context.WithTimeout(c.gw.ctx, newsTimeout)
	defer cancel()
	sent := boottime.Now()
	theirs, err := c.gw.cfg.Peers.Exchange(ctx, address, n)
	c.do(func() {
		if err != nil {
			c.unanswered(name, sent, err)
			return
		}
		c.heard(theirs, sent)
	})
}

// Receive takes the news of another host and returns this host's. It may be
// called from any goroutine.
func (gw *Gateway) Receive(n News) News {
	var own News
	gw.control.ask(func() {
		gw.control.heard(n, time.Time{})
		own = gw.control.news(boottime.Now(), n.Through)
	})
	return own
}

// news returns what a host whose mirrors reach to the versions should know.
func (c *control) news(now time.Time, through map[TableName]uint64) News {
	n := News{
		Host: c.gw.cfg.Host, Incarnation: c.incarnation, Leaving: c.leaving,
		Through: make(map[TableName]uint64), Ages: make(map[TableName]time.Duration),
	}
	n.Silent, n.Unanswered = c.silent(), c.failedCalls(now)
	for name, at := range c.asOf {
		n.Ages[name] = now.Sub(at)
	}
	for name, t := range c.tables {
		n.Through[name] = t.Through()
		from, known := through[name]
		if !known || from >= t.Through() {
			continue
		}
		n.Tables = append(n.Tables, TableNews{Table: name, From: from, Through: t.Through(), Rows: t.Since(from)})
	}
	for name, g := range *c.gw.groupsNow.Load() {
		n.Groups = append(n.Groups, g.news(name, now))
	}
	return n
}

// news returns what this host knows of the group.
func (g *group) news(name string, now time.Time) GroupNews {
	g.mu.Lock()
	defer g.mu.Unlock()
	position, at := g.staleness.NewestSample()
	return GroupNews{Group: name, Term: g.term, Primary: g.primary, Position: position, Age: now.Sub(at), Fence: g.fence}
}

// heard takes the news of another host, which it sent after the time; zero if that
// is not known.
func (c *control) heard(n News, sent time.Time) {
	now := boottime.Now()
	if m := c.members[n.Host]; m != nil {
		if m.Incarnation == n.Incarnation {
			m.heard, m.failed, m.failures = now, time.Time{}, 0
			m.leaving = m.leaving || n.Leaving
			m.through = n.Through
			if sent.After(m.answered) {
				m.answered = sent
			}
		}
	}
	for _, name := range n.Silent {
		if m := c.members[name]; m != nil {
			m.reported = now
		}
	}
	for name, age := range n.Unanswered {
		if m := c.members[name]; m != nil {
			m.reportUnanswered(now.Add(-age))
		}
	}
	for _, t := range n.Tables {
		c.merge(t)
	}
	for name, age := range n.Ages {
		if !sent.IsZero() && c.tables[name] != nil && c.tables[name].Through() >= n.Through[name] {
			c.complete(name, sent.Add(-age))
		}
	}
	c.permit()
	for _, gn := range n.Groups {
		if g := c.gw.group(gn.Group); g != nil {
			c.heardOfGroup(g, gn, sent)
		}
	}
}

// heardOfGroup takes another host's view of a group. The position's time is
// counted back from when this host began the exchange, so that it never looks
// younger than it is; positions in requests, which may have been held up, are not
// used.
func (c *control) heardOfGroup(g *group, n GroupNews, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setFence(n.Fence, boottime.Now())
	if n.Term == 0 {
		return
	}
	if n.Primary != "" && n.Term > g.term && g.lead(n.Term, n.Primary, n.Position) {
		c.gw.events.log.Info().Str("group", g.name).Uint64("term", n.Term).Str("primary", n.Primary).Msg("another host reports a new primary")
	}
	if !sent.IsZero() && n.Term == g.term && n.Position.Term == g.term {
		g.staleness.Sample(sent.Add(-n.Age), n.Position)
	}
}
