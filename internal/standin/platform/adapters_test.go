package platform_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/platform/dynamo"
	"github.com/beryltrestle/beryltrestle/internal/platform/hostlist"
	"github.com/beryltrestle/beryltrestle/internal/platform/s3"
	standin "github.com/beryltrestle/beryltrestle/internal/standin/platform"
)

const timeout = 300 * time.Millisecond

func start(t *testing.T) *standin.Server {
	t.Helper()
	s, err := standin.Start(standin.Config{Hosts: []platform.Host{{Name: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func table(s *standin.Server) *dynamo.Table {
	return dynamo.New(dynamo.Config{Endpoint: s.URL(), Region: "local", Table: "t",
		AccessKeyID: "k", SecretAccessKey: "s", Timeout: timeout})
}

func objects(s *standin.Server) *s3.Store {
	return s3.New(s3.Config{Endpoint: s.URL(), Region: "local", Bucket: "b",
		AccessKeyID: "k", SecretAccessKey: "s", Timeout: timeout})
}

// Guards against a conditional write that ignores its condition.
func TestTableWritesOnlyIfGenerationIsExpected(t *testing.T) {
	g := NewWithT(t)
	tab := table(start(t))
	ctx := context.Background()
	_, err := tab.Get(ctx, "k")
	g.Expect(err).To(MatchError(platform.ErrNotFound))
	item := platform.ManifestRecord{Generation: 1, ApplyID: "a", Root: "r", Operator: "o"}
	g.Expect(tab.PutIf(ctx, "k", item, 1)).To(MatchError(platform.ErrConflict))
	g.Expect(tab.PutIf(ctx, "k", item, 0)).To(Succeed())
	g.Expect(tab.PutIf(ctx, "k", item, 0)).To(MatchError(platform.ErrConflict))
	g.Expect(tab.Get(ctx, "k")).To(Equal(item))
}

// Guards against a write whose answer is lost and which is then reported as a
// conflict, because the request was sent again, or as not written.
func TestLostAnswerOfWriteIsUnknownAndSentOnce(t *testing.T) {
	g := NewWithT(t)
	s := start(t)
	s.SetFaults(standin.Faults{LoseTableAnswers: 1})
	err := table(s).PutIf(context.Background(), "k", platform.ManifestRecord{Generation: 1}, 0)
	g.Expect(err).To(MatchError(platform.ErrUnknownOutcome))
	g.Expect(s.Counts()).To(Equal(standin.Counts{TableWrites: 1}))
}

// Guards against a write that is reported as not written after a timeout, although the
// service may still run it.
func TestSlowWriteIsUnknownWithinTimeout(t *testing.T) {
	g := NewWithT(t)
	s := start(t)
	s.SetFaults(standin.Faults{Hold: true})
	began := time.Now()
	err := table(s).PutIf(context.Background(), "k", platform.ManifestRecord{Generation: 1}, 0)
	g.Expect(err).To(MatchError(platform.ErrUnknownOutcome))
	g.Expect(objects(s).Put(context.Background(), "o", nil)).NotTo(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", 750*time.Millisecond))
	s.SetFaults(standin.Faults{})
	g.Eventually(func() int { return s.Counts().TableWrites }, 5*time.Second).Should(Equal(1))
}

// Guards against a write that is reported as unknown although the service could not be
// reached: an operator would search for a write that was never sent.
func TestWriteWithoutConnectionIsNotUnknown(t *testing.T) {
	g := NewWithT(t)
	s := start(t)
	g.Expect(s.Close()).To(Succeed())
	err := table(s).PutIf(context.Background(), "k", platform.ManifestRecord{Generation: 1}, 0)
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(MatchError(platform.ErrUnknownOutcome))
}

// Guards against objects that are changed in storage, and against outages that are
// reported as missing objects.
func TestObjectsAreStoredUnchanged(t *testing.T) {
	g := NewWithT(t)
	s := start(t)
	o := objects(s)
	ctx := context.Background()
	_, err := o.Get(ctx, "k")
	g.Expect(err).To(MatchError(platform.ErrNotFound))
	body := bytes.Repeat([]byte{0, 1, '\n'}, 100_000)
	g.Expect(o.Put(ctx, "k", body)).To(Succeed())
	g.Expect(o.Get(ctx, "k")).To(Equal(body))
	s.SetFaults(standin.Faults{Outage: true})
	_, err = o.Get(ctx, "k")
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(MatchError(platform.ErrNotFound))
}

// Guards against a host list that is sent again although it did not change, and against
// fault switches of the host list without effect.
func TestHostListHasVersionsAndLag(t *testing.T) {
	g := NewWithT(t)
	s := start(t)
	c := hostlist.New(s.HostListURL(), timeout)
	ctx := context.Background()
	s.SetHosts([]platform.Host{{Name: "a"}, {Name: "b", State: platform.HostLeaving}})
	list, err := c.Hosts(ctx, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Version).To(Equal(uint64(2)))
	g.Expect(list.Hosts).To(HaveLen(2))
	g.Expect(c.Hosts(ctx, 2)).To(Equal(platform.HostListSnapshot{Version: 2}))
	s.SetFaults(standin.Faults{HostListLagMs: 3_600_000})
	list, err = c.Hosts(ctx, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Hosts).To(Equal([]platform.Host{{Name: "a"}}))
	s.SetFaults(standin.Faults{HostListOutage: true})
	_, err = c.Hosts(ctx, 0)
	g.Expect(err).To(HaveOccurred())
}
