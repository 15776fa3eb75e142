package owner_test

import (
	"context"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// claimTerm advances the endpoints to the term with the given primary and returns
// the term's marker once all of them have received it.
func (h *harness) claimTerm(holder string, term uint64, primary int, replicas ...int) logpos.Position {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	addrs := h.group.Addresses()
	for _, i := range append([]int{primary}, replicas...) {
		_, err := h.groupControl.AdvanceTerm(ctx, addrs[i], term, holder)
		h.g.Expect(err).NotTo(HaveOccurred())
	}
	st, err := h.groupControl.Promote(ctx, addrs[primary], term, holder)
	h.g.Expect(err).NotTo(HaveOccurred())
	for _, i := range replicas {
		_, err := h.groupControl.Follow(ctx, addrs[i], term, holder, addrs[primary])
		h.g.Expect(err).NotTo(HaveOccurred())
		h.g.Eventually(func() bool {
			return h.group.Servers[i].Status().Applied.Covers(st.Received)
		}).WithTimeout(waitTimeout).WithPolling(time.Millisecond).Should(BeTrue())
	}
	return st.Received
}
