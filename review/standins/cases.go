package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// warmUp is how long the clients run before the disruption.
	warmUp = 1500 * time.Millisecond
	// minWrites is the number of acknowledged writes of each client before the disruption,
	// and loadTimeout the time for them.
	minWrites   = 10
	loadTimeout = 10 * time.Second
	// clientPause is the time between two operations of a client.
	clientPause = 10 * time.Millisecond
	// afterwards is how long the clients run after the disruption.
	afterwards = 2 * time.Second
)

var errNoService = errors.New("the clients were not served before the disruption")

// awaitLoad lets the clients run for the warm-up time, and until each item was written often.
func (d *deployment) awaitLoad(items ...string) error {
	time.Sleep(warmUp)
	for _, item := range items {
		if !waitFor(loadTimeout, func() bool { return d.history.acknowledged(item) >= minWrites }) {
			return errNoService
		}
	}
	return nil
}

// countLostWrites records how many acknowledged writes of the item were rolled back.
func (d *deployment) countLostWrites(item string) {
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	acknowledged, lost := 0, 0
	for _, w := range d.history.writes {
		if w.item != item || w.acknowledged.IsZero() {
			continue
		}
		acknowledged++
		if d.group.rolledBack[w.id] {
			lost++
		}
	}
	d.rec.line("%d of %d acknowledged writes of %s were rolled back", lost, acknowledged, item)
}

// newMembers: three of five hosts are cut off, two hosts are added on the other side, and
// then the primary is cut off from that side as well.
func newMembers(rec *record, trouble bool) error {
	const (
		addAfter       = 500 * time.Millisecond
		cutPrimary     = time.Second
		primaryCutTime = 5 * time.Second
	)
	d, err := newDeployment(rec, 0, []string{"a", "b", "b"})
	if err != nil {
		return err
	}
	current = d
	for _, name := range []string{"front-a-1", "front-a-2", "front-a-3", "front-b-1", "front-b-2"} {
		if _, err := d.add(name, name[6:7], true); err != nil {
			return err
		}
	}
	left, right := d.daemons["front-a-1"], d.daemons["front-b-1"]
	if err := d.awaitServing(); err != nil {
		return err
	}
	d.client(right, primaryDatabase, "writer-right", clientPause, d.history.writer("x"))
	d.client(left, primaryDatabase, "reader-left", clientPause, d.history.reader("x", 0))
	d.client(left, primaryDatabase, "writer-left", clientPause, d.history.writer("y"))
	if err := d.awaitLoad("x", "y"); err != nil {
		return err
	}
	added := []string{"front-b-3", "front-b-4"}
	hostsA := []string{"front-a-1", "front-a-2", "front-a-3"}
	sideB := append([]string{"front-b-1", "front-b-2", "store", "cloud"}, added...)
	behind := append([]string{"server-1", "server-2"}, sideB...)
	if trouble {
		rec.line("TROUBLE: %v are cut off from %v", hostsA, sideB)
		d.net.cut(hostsA, sideB)
	}
	time.Sleep(addAfter)
	rec.line("%v are added", added)
	for _, name := range added {
		daemon, err := d.add(name, "b", false)
		if err != nil {
			return err
		}
		d.client(daemon, primaryDatabase, "reader-"+name, clientPause, d.history.reader("x", 0))
	}
	time.Sleep(cutPrimary)
	if trouble {
		rec.line("TROUBLE: the primary is cut off from %v", behind)
		d.net.cut([]string{"server-0"}, behind)
	}
	time.Sleep(primaryCutTime)
	if trouble {
		rec.line("the cuts end")
		d.net.heal(hostsA, sideB)
		d.net.heal([]string{"server-0"}, behind)
	}
	time.Sleep(afterwards)
	d.history.checkStale(rec, d.group, "x")
	d.countLostWrites("y")
	return nil
}

// oldSamples: a host is cut off from the store and the other hosts, together with the
// primary and one replica.
func oldSamples(rec *record, trouble bool) error {
	const (
		cutTime = 7 * time.Second
		readers = 8
	)
	d, err := newDeployment(rec, 0, []string{"a", "b", "a"})
	if err != nil {
		return err
	}
	current = d
	left, err := d.add("front-a-1", "a", true)
	if err != nil {
		return err
	}
	right, err := d.add("front-b-1", "b", true)
	if err != nil {
		return err
	}
	if _, err := d.add("front-b-2", "b", true); err != nil {
		return err
	}
	if err := d.awaitServing(); err != nil {
		return err
	}
	d.client(right, primaryDatabase, "writer-right", clientPause, d.history.writer("x"))
	for n := range readers {
		d.client(left, boundedDatabase, fmt.Sprintf("bounded-%d", n), clientPause, d.history.reader("x", boundedStaleness))
		d.client(left, ownDatabase, fmt.Sprintf("own-%d", n), clientPause, d.history.reader("x", ownStaleness))
	}
	if err := d.awaitLoad("x"); err != nil {
		return err
	}
	sideA := []string{left.name, "server-0", "server-2"}
	sideB := []string{"front-b-1", "front-b-2", "server-1", "store", "cloud"}
	if trouble {
		rec.line("TROUBLE: %v are cut off from %v", sideA, sideB)
		d.net.cut(sideA, sideB)
	}
	time.Sleep(cutTime)
	if trouble {
		rec.line("the cut ends")
		d.net.heal(sideA, sideB)
	}
	time.Sleep(afterwards)
	d.history.checkStale(rec, d.group, "x")
	return nil
}
