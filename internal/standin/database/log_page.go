package database

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// logPage is an endpoint's answer to a replica that asks for log entries after a
// position.
type logPage struct {
	// Term, Holder and AppointedTerm are part of the answering endpoint's state.
	Term          uint64 `json:"term"`
	Holder        string `json:"holder"`
	AppointedTerm uint64 `json:"appointed_term"`
	// Role is the answering endpoint's role.
	Role string `json:"role"`
	// Matches is true if the answering endpoint's log contains the entry at the
	// position.
	Matches bool `json:"matches"`
	// Ranges describes the answering endpoint's log if Matches is false.
	Ranges  []TermRange `json:"ranges,omitempty"`
	Entries []Entry     `json:"entries,omitempty"`
}

// readLog returns the log entries after the position. If there are none, it waits until
// one is added, for at most the given time.
func (ep *endpoint) readLog(ctx context.Context, after logpos.Position, wait time.Duration) (logPage, error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_ = ep.waitUntil(waitCtx, func() bool { return ep.received != after })

	ep.mu.RLock()
	defer ep.mu.RUnlock()
	page := logPage{
		Term:          ep.state.Term,
		Holder:        ep.state.Holder,
		AppointedTerm: ep.state.AppointedTerm,
		Role:          string(ep.state.role()),
	}
	return page, ep.fillPage(ctx, &page, after)
}

// fillPage adds the entries after the position to the page, or the term ranges of the log
// if it does not contain the position; mu must be held.
func (ep *endpoint) fillPage(ctx context.Context, page *logPage, after logpos.Position) error {
	if term, ok := ep.tail.termAt(after.Offset); ok && term == after.Term {
		entries, _ := ep.tail.after(after.Offset)
		page.Matches = true
		page.addEntries(entries)
		return nil
	}
	term, err := termAt(ep.store.readers, after.Offset)
	if err != nil {
		return err
	}
	page.Matches = after.IsZero() || term == after.Term
	if !page.Matches {
		page.Ranges, err = termRanges(ep.store.readers)
		return err
	}
	entries, err := readEntries(ctx, ep.store.readers, after.Offset, logBatchSize)
	page.addEntries(entries)
	return err
}

func (p *logPage) addEntries(entries []receivedEntry) {
	for _, e := range entries {
		p.Entries = append(p.Entries, e.Entry)
	}
}
