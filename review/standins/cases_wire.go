package main

import (
	"fmt"
	"strings"
)

// lineFeed: a client writes data that holds a line feed, and data that ends with a blank. A
// message ends with CR LF, and its last field extends to the end of the line.
func lineFeed(rec *record, trouble bool) error {
	d, err := newDeployment(rec, 0, []string{"a", "b", "c"})
	if err != nil {
		return err
	}
	current = d
	daemon, err := d.add("front-a-1", "a", false)
	if err != nil {
		return err
	}
	if err := d.awaitServing(); err != nil {
		return err
	}
	data := []string{"futon frame 7", "QUERY slot-9 WRITE frame-7 grandmother"}
	lines, executed := strings.Join(data, " "), "futon"
	if trouble {
		lines, executed = strings.Join(data, "\n"), "futon "
	}
	statements := []string{"WRITE note " + lines, "PREPARE s1 WRITE q2c", "EXECUTE s1 note " + executed}
	sent := make(map[string]string)
	for i, text := range statements {
		s, err := openSession(rec, daemon.front, primaryDatabase, "client")
		if err != nil {
			return err
		}
		if i == 2 {
			if _, err := s.query("prepare", statements[1]); err != nil {
				return err
			}
		}
		id := newID("client")
		sent[id] = text
		if _, err := s.query(id, text); err != nil {
			rec.line("no answer: %v", err)
		}
		// What the daemon answers beyond the one statement counts as an answer to nothing.
		if out, err := s.receive(); err == nil {
			rec.line("client is answered once more: complete %q, error %q", out.signature, out.code)
		}
		s.conn.Close()
	}
	return d.checkUnasked(sent)
}

// checkUnasked reports statements with an ID that no client sent, or with changed text. The
// name of a prepared statement may be changed.
func (d *deployment) checkUnasked(sent map[string]string) error {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.ran) == 0 {
		return fmt.Errorf("no statement ran")
	}
	for _, r := range g.ran {
		text, ok := sent[r.id]
		switch {
		case strings.HasPrefix(r.id, "probe-"):
		case !ok:
			d.rec.broken("UNASKED: a server ran %q with the ID %q, which no client sent", r.text, r.id)
		case withoutName(text) != withoutName(r.text):
			d.rec.broken("UNASKED: a server ran %q for %s, which was sent as %q", r.text, r.id, text)
		}
	}
	return nil
}

// withoutName removes the name of the prepared statement from an EXECUTE.
func withoutName(text string) string {
	if verb, rest, _ := strings.Cut(text, " "); verb == "EXECUTE" {
		_, args, _ := strings.Cut(rest, " ")
		return "EXECUTE " + args
	}
	return text
}

// ranStatement is a statement of a client that a server ran.
type ranStatement struct{ id, text string }
