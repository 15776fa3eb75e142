package budget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// openCaller opens the account of a caller whose connection ends at once when it is evicted.
func openCaller(g *WithT, b *Budget) *Account {
	var a *Account
	a, err := b.OpenCaller(func() { go a.Close() })
	g.Expect(err).NotTo(HaveOccurred())
	return a
}

// Guards against bytes that are granted twice, or lost when a client is evicted or ends.
func TestBytesAreTakenFromEvictedClient(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	b := New(800, 10, registry)
	first, second := openCaller(g, b), openCaller(g, b)
	g.Expect(first.Keep(100)).To(Succeed())
	g.Expect(first.Take(500)).To(Succeed())
	g.Expect(second.Take(700)).To(MatchError(ErrExhausted), "it would hold more than the other one")
	g.Expect(second.Take(400)).To(Succeed())
	g.Expect(first.Evicted()).To(BeTrue())
	g.Expect(first.Take(1)).To(MatchError(ErrExhausted))
	g.Expect(registry.Count(metrics.EvictedLargest)).To(Equal(int64(1)))
	g.Expect(registry.Count(metrics.RefusedMemory)).To(Equal(int64(1)))
	second.EndStatement()
	g.Expect(second.Keep(700)).To(Succeed(), "all bytes have been given back")
	second.Close()
	g.Expect(b.used).To(BeZero())
	g.Expect(b.leaving).To(BeZero())
	g.Expect(b.callers).To(BeZero())
}

// Guards against short statements that are refused because long ones use all bytes.
func TestConnectionsMayUseAllBytes(t *testing.T) {
	g := NewWithT(t)
	b := New(8*connBytes, 10, metrics.NewRegistry())
	long, short := openCaller(g, b), openCaller(g, b)
	long.Mark(Working)
	g.Expect(long.Take(7 * connBytes)).To(Succeed())
	g.Expect(short.Take(1)).To(MatchError(ErrExhausted))
	g.Expect(short.TakeConn()).To(Succeed())
}

// Guards against a wait without end for the bytes of an evicted client that does not end.
func TestWaitForEvictedClientIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := New(800, 10, metrics.NewRegistry())
	stuck, err := b.OpenCaller(func() {})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stuck.Take(600)).To(Succeed())
	other := openCaller(g, b)
	refused := make(chan error)
	go func() { refused <- other.Take(300) }()
	g.Eventually(refused, 10*time.Second).Should(Receive(MatchError(ErrExhausted)))
	g.Expect(b.waiting).To(BeZero())
}

// Guards against callers beyond the descriptors, and against endpoint connections for which
// none is left.
func TestCallersLeaveDescriptorsToOthers(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	b := New(0, 8, registry)
	var callers []*Account
	for range 6 {
		callers = append(callers, openCaller(g, b))
	}
	_, err := b.OpenCaller(func() {})
	g.Expect(err).To(MatchError(ErrDescriptors))
	callers[3].marked.Store(int64(Awaited))
	openCaller(g, b)
	g.Expect(callers[3].Evicted()).To(BeTrue())
	callers[4].marked.Store(int64(Idle))
	b.AddOther(3)
	g.Expect(callers[4].Evicted()).To(BeTrue())
	g.Expect(registry.Count(metrics.EvictedStalled)).To(Equal(int64(1)))
	g.Expect(registry.Count(metrics.EvictedIdle)).To(Equal(int64(1)))
}

// BenchmarkStatement is the cost of a short statement: three marks and the end.
func BenchmarkStatement(b *testing.B) {
	a, err := New(1<<30, 100, metrics.NewRegistry()).OpenCaller(func() {})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		a.Mark(Idle)
		a.MarkData()
		a.Mark(Working)
		a.Mark(Awaited)
		a.Mark(Working)
		a.EndStatement()
	}
}
