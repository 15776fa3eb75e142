package main

import (
	"errors"
	"strings"
	"time"
)

// lastPromotion returns the newest promotion call; there must have been one.
func (g *group) lastPromotion() promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotions[len(g.promotions)-1]
}

// primary returns the primary of the newest term.
func (g *group) primary() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newest()
}

// checkOne reports promotions with a lower fence than the platform has seen, or with the
// same one from another holder, and writes that were acknowledged although an old primary
// committed them after a promotion had taken effect. Writes through the hosts that the
// case disrupts don't count.
func (d *deployment) checkOne(disrupted string) {
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	var highest promotion
	for _, p := range g.promotions {
		switch {
		case p.fence < highest.fence:
			d.rec.broken("ONE: %s promotes %s with fence %d after %s with fence %d", p.holder, p.server, p.fence, highest.holder, highest.fence)
		case p.fence == highest.fence && p.holder != highest.holder && highest.holder != "":
			d.rec.broken("ONE: %s and %s promote with the same fence %d", highest.holder, p.holder, p.fence)
		default:
			highest = p
		}
	}
	acknowledged := make(map[string]bool)
	for _, w := range d.history.writes {
		if !w.acknowledged.IsZero() {
			acknowledged[w.id] = true
		}
	}
	count := 0
	for _, c := range g.commits {
		if !acknowledged[c.id] || c.replaced.IsZero() || strings.HasPrefix(c.id, "writer-"+disrupted) {
			continue
		}
		if count++; count <= 10 {
			d.rec.broken("ONE: %s was committed by %s at %s and acknowledged, %d ms after a newer primary had taken over", c.id, c.server, c.position, c.at.Sub(c.replaced).Milliseconds())
		}
	}
	d.rec.line("%d acknowledged writes were committed by an old primary", count)
}

// startThreeHosts starts a deployment with a host and a server in each of three zones, and a
// client that writes at each host.
func startThreeHosts(rec *record, syncReplicas int) (*deployment, error) {
	d, err := newDeployment(rec, syncReplicas, []string{"a", "b", "c"})
	if err != nil {
		return nil, err
	}
	current = d
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := d.add("front-"+zone+"-1", zone, false); err != nil {
			return nil, err
		}
	}
	if err := d.awaitServing(); err != nil {
		return nil, err
	}
	for name, daemon := range d.daemons {
		d.client(daemon, primaryDatabase, "writer-"+name, clientPause, d.history.writer(name))
	}
	return d, d.awaitLoad("front-a-1", "front-b-1", "front-c-1")
}

var errNoPromotion = errors.New("the crashed primary was not replaced")

// latePromotion: the host that replaces a primary is cut off from the platform's promotion
// call while it makes it.
func latePromotion(rec *record, trouble bool) error {
	const (
		downTime = 3 * time.Second
		cutTime  = 5 * time.Second
	)
	d, err := startThreeHosts(rec, 0)
	if err != nil {
		return err
	}
	// The first crash makes a host call the platform, which leaves an open connection.
	first := d.group.primary()
	d.group.crash(first)
	if !waitFor(10*time.Second, func() bool { return d.group.primary() != first }) {
		return errNoPromotion
	}
	time.Sleep(downTime)
	if err := d.group.restart(first); err != nil {
		return err
	}
	time.Sleep(time.Second)
	holder := d.group.lastPromotion()
	second := d.group.primary()
	if trouble {
		rec.line("TROUBLE: %s is cut off from the platform's promotion call", holder.holder)
		d.net.cut([]string{holder.holder}, []string{"cloud"})
	}
	d.group.crash(second)
	time.Sleep(cutTime)
	if trouble {
		rec.line("the cut ends")
		d.net.heal([]string{holder.holder}, []string{"cloud"})
	}
	time.Sleep(afterwards)
	if err := d.group.restart(second); err != nil {
		return err
	}
	time.Sleep(afterwards)
	d.checkOne(holder.holder)
	return nil
}

// syncReplicas: one replica receives nothing for a while, the other one is lost for good,
// and the primary crashes meanwhile.
func syncReplicas(rec *record, trouble bool) error {
	const (
		deafTime     = 6500 * time.Millisecond
		downTime     = 7 * time.Second
		betweenSteps = time.Second
	)
	d, err := startThreeHosts(rec, 1)
	if err != nil {
		return err
	}
	primary := d.group.primary()
	var replicas []*server
	for _, s := range d.group.servers {
		if s != primary {
			replicas = append(replicas, s)
		}
	}
	if trouble {
		rec.line("TROUBLE: %s receives nothing, %s is lost for good, the primary crashes", replicas[0].id, replicas[1].id)
		d.group.setDeaf(replicas[0], true)
		time.AfterFunc(deafTime, func() { d.group.setDeaf(replicas[0], false) })
		time.Sleep(betweenSteps)
		d.group.crash(replicas[1])
		time.Sleep(betweenSteps)
		d.group.crash(primary)
		time.Sleep(downTime)
		if err := d.group.restart(primary); err != nil {
			return err
		}
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(2 * afterwards)
	d.checkLost()
	return nil
}

// checkLost reports acknowledged commits that are not in the log of a server at the time of
// its promotion.
func (d *deployment) checkLost() {
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	acknowledged := make(map[string]time.Time)
	for _, w := range d.history.writes {
		if !w.acknowledged.IsZero() {
			acknowledged[w.id] = w.acknowledged
		}
	}
	for _, e := range g.effective {
		count := 0
		for _, c := range g.commits {
			at, ok := acknowledged[c.id]
			if !ok || at.After(e.at) || c.term >= e.term || e.had[c.id] {
				continue
			}
			if count++; count <= 10 {
				d.rec.broken("LOST: %s was acknowledged at %.3f and is not in the log of %s, which led term %d from %.3f", c.id, d.rec.at(at), e.server, e.term, d.rec.at(e.at))
			}
		}
		d.rec.line("%d acknowledged commits are missing in the log of %s for term %d", count, e.server, e.term)
	}
}
