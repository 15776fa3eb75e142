package database

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// logPage is the primary's answer to a replica.
type logPage struct {
	// Term, Holder and AppointedTerm are the state of the answering endpoint.
	Term          uint64 `json:"term"`
	Holder        string `json:"holder"`
	AppointedTerm uint64 `json:"appointed_term"`
	// Role is the answering endpoint's role.
	Role string `json:"role"`
	// Matches reports that the log has the entry after which entries are asked.
	Matches bool `json:"matches"`
	// Ranges describes the log if it does not match.
	Ranges  []TermRange `json:"ranges,omitempty"`
	Entries []Entry     `json:"entries,omitempty"`
}

// readLog returns the entries after the position, and waits for one if there is
// none.
func (ep *endpoint) readLog(ctx context.Context, after logpos.Position, wait time.Duration) (logPage, error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_ = ep.waitChange(waitCtx, func() bool { return ep.received != after })

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

// fillPage compares the logs at the position; mu must be held.
func (ep *endpoint) fillPage(ctx context.Context, page *logPage, after logpos.Position) error {
	if term, ok := ep.tail.termAt(after.Offset); ok && term == after.Term {
		entries, _ := ep.tail.after(after.Offset)
		page.Matches = true
		page.add(entries)
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
	entries, err := readEntries(ctx, ep.store.readers, after.Offset, applyChunk)
	page.add(entries)
	return err
}

func (p *logPage) add(entries []receivedEntry) {
	for _, e := range entries {
		p.Entries = append(p.Entries, e.Entry)
	}
}
