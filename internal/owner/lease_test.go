package owner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/control"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

const readAll = "SELECT id FROM bookings ORDER BY id"

// Guards against a stale read: another host has replaced the primary, and the owner
// has not noticed since it was paused until after its lease ended. Endpoint 0 still
// believes that it is the primary, and answers.
func TestReadAfterTheLeaseIsRefused(t *testing.T) {
	h := newHarness(t)
	h.write("INSERT INTO bookings (id) VALUES ('old')")
	h.renewLease()
	h.claimForOtherOwner("new")
	time.Sleep(control.ReadLease + 100*time.Millisecond)
	a := h.serve(h.request(readAll))
	h.g.Expect(a.end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN), "a read that misses another owner's booking was answered: %v", a.rows)
}

// Guards against a read that starts before the lease ends and is answered after it.
// The lease must be checked again after the read.
func TestReadThatOutlivesTheLeaseIsRefused(t *testing.T) {
	h := newHarness(t)
	h.write("INSERT INTO bookings (id) VALUES ('old')")
	h.renewLease()
	h.group.Servers[0].SetFaults(func(f *database.Faults) { f.ServiceTime = control.ReadLease + 300*time.Millisecond })
	got := make(chan answer, 1)
	go func() { got <- h.serve(h.request(readAll)) }()
	time.Sleep(200 * time.Millisecond)
	h.claimForOtherOwner("new")
	a := <-got
	h.g.Expect(a.end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN), "a read that misses another owner's booking was answered: %v", a.rows)
}

// Guards against a write that is confirmed while the previous owner's read lease may
// still be valid, so that reads there would miss the write.
func TestWriteWaitsForThePreviousLease(t *testing.T) {
	h := newHarness(t)
	wait := 500 * time.Millisecond
	h.view.ConfirmAfter = time.Now().Add(wait)
	h.renewLease()
	a := h.serve(h.request("INSERT INTO bookings (id) VALUES ('first')"))
	h.g.Expect(a.end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE), a.end.String())
	h.g.Expect(time.Now()).To(BeTemporally(">=", h.view.ConfirmAfter), "confirmed after %s", a.took)
}
