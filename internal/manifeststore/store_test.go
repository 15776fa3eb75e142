package manifeststore_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/platform/dynamo"
	"github.com/beryltrestle/beryltrestle/internal/platform/s3"
	standin "github.com/beryltrestle/beryltrestle/internal/standin/platform"
)

const timeout = 500 * time.Millisecond

// fixture is a stand-in platform with clients of its services.
type fixture struct {
	*GomegaWithT
	server  *standin.Server
	table   platform.Table
	objects platform.ObjectStore
	ctx     context.Context
}

func newFixture(t *testing.T) *fixture {
	s, err := standin.Start(standin.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return &fixture{
		GomegaWithT: NewWithT(t),
		server:      s,
		table:       dynamo.New(dynamo.Config{Endpoint: s.URL(), Region: "r", Table: "t", AccessKeyID: "k", SecretAccessKey: "s", Timeout: timeout}),
		objects:     s3.New(s3.Config{Endpoint: s.URL(), Region: "r", Bucket: "b", AccessKeyID: "k", SecretAccessKey: "s", Timeout: timeout}),
		ctx:         ctx,
	}
}

func (f *fixture) store() *manifeststore.Store { return manifeststore.New(f.table, f.objects) }

// document returns the cooperative's manifest with the user of its first pool
// changed, so that documents differ.
func (f *fixture) document(user string) *manifest.Document {
	data, err := os.ReadFile("../../examples/cooperative.json")
	f.Expect(err).NotTo(HaveOccurred())
	doc, list := manifest.Decode(data)
	f.Expect(list).To(BeEmpty())
	doc.Pools[0].User = user
	return doc
}

// apply applies a document and expects success.
func (f *fixture) apply(user string, base uint64) {
	_, err := f.store().Apply(f.ctx, f.document(user), base, user)
	f.Expect(err).NotTo(HaveOccurred())
}

// firstWriteHook replaces the first conditional write by a call of hook.
type firstWriteHook struct {
	platform.Table
	once sync.Once
	hook func(write func() error) error
}

func (h *firstWriteHook) PutIf(ctx context.Context, key string, record platform.ManifestRecord, expected uint64) error {
	write := func() error { return h.Table.PutIf(ctx, key, record, expected) }
	err := errors.New("not the first")
	first := false
	h.once.Do(func() { first, err = true, h.hook(write) })
	if first {
		return err
	}
	return write()
}

// Guards against two operators who both believe that their change was accepted.
func TestExactlyOneOfTwoOperatorsWins(t *testing.T) {
	f := newFixture(t)
	f.apply("start", 0)
	for base := uint64(1); base <= 10; base++ {
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for i := range errs {
			doc := f.document(fmt.Sprintf("operator-%d-%d", i, base))
			wg.Go(func() { _, errs[i] = f.store().Apply(f.ctx, doc, base, fmt.Sprint(i)) })
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		f.Expect(errs[winner]).NotTo(HaveOccurred())
		var conflict *manifeststore.ConflictError
		f.Expect(errors.As(errs[1-winner], &conflict)).To(BeTrue(), "%v", errs[1-winner])
		f.Expect(conflict.Theirs.Operator).To(Equal(fmt.Sprint(winner)))
		f.Expect(conflict.BaseKnown).To(BeTrue())
		f.Expect(conflict.TheirChanges).To(HaveLen(1))
		f.Expect(conflict.OurChanges).To(HaveLen(1))
	}
	f.Expect(f.server.Counts().TableWrites).To(Equal(11))
}

// Guards against a lost answer that is reported as a failure or conflict, or
// that leads to a second write.
func TestLostAnswerOfAppliedWriteIsDone(t *testing.T) {
	f := newFixture(t)
	f.server.SetFaults(standin.Faults{LoseTableAnswers: 1, LoseObjectAnswers: 2})
	result, err := f.store().Apply(f.ctx, f.document("a"), 0, "o")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(result.Generation).To(Equal(uint64(1)))
	f.Expect(f.server.Counts().TableWrites).To(Equal(1))
	accepted, err := f.store().Load(f.ctx)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(accepted.Record.ApplyID).To(Equal(result.ApplyID))
	f.Expect(accepted.Document).To(Equal(f.document("a")))
}

// Guards against an apply that reads the record too early, reports that the
// manifest was not applied, and takes effect afterwards. With the short delay,
// the late write arrives before the repeated one; with the long delay, after
// it.
func TestLateWriteIsAppliedOnce(t *testing.T) {
	for _, delay := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond} {
		f := newFixture(t)
		late := make(chan error, 1)
		f.table = &firstWriteHook{Table: f.table, hook: func(write func() error) error {
			time.AfterFunc(delay, func() { late <- write() })
			return platform.ErrUnknownOutcome
		}}
		result, err := f.store().Apply(f.ctx, f.document("a"), 0, "o")
		f.Expect(err).NotTo(HaveOccurred())
		f.Eventually(late, 5*time.Second).Should(Receive())
		f.Expect(f.server.Counts().TableWrites).To(Equal(1))
		f.Expect(f.store().Head(f.ctx)).To(HaveField("ApplyID", result.ApplyID))
	}
}

// Guards against an apply that is reported as a conflict although it was
// accepted, because its answer was lost and another apply followed.
func TestLostAnswerFollowedByAnotherApplyIsDone(t *testing.T) {
	f := newFixture(t)
	plain := f.table
	f.table = &firstWriteHook{Table: plain, hook: func(write func() error) error {
		f.Expect(write()).To(Succeed())
		f.table = plain
		f.apply("b", 1)
		f.apply("c", 2)
		return platform.ErrUnknownOutcome
	}}
	result, err := f.store().Apply(f.ctx, f.document("a"), 0, "o")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(result.Generation).To(Equal(uint64(1)))
}

// Guards against an apply that is reported as done although its request was
// lost and another operator's apply was accepted.
func TestLostRequestFollowedByAnotherApplyIsConflict(t *testing.T) {
	f := newFixture(t)
	plain := f.table
	f.table = &firstWriteHook{Table: plain, hook: func(func() error) error {
		f.table = plain
		f.apply("b", 0)
		f.apply("c", 1)
		return platform.ErrUnknownOutcome
	}}
	_, err := f.store().Apply(f.ctx, f.document("a"), 0, "o")
	var conflict *manifeststore.ConflictError
	f.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
	f.Expect(conflict.Theirs.Generation).To(Equal(uint64(2)))
}

// Guards against an outage that is reported as a conflict or as done, and
// against one after the write was sent that is reported as not applied.
func TestOutageBeforeWriteFailsAndAfterWriteIsUnknown(t *testing.T) {
	f := newFixture(t)
	f.server.SetFaults(standin.Faults{Outage: true})
	_, err := f.store().Apply(f.ctx, f.document("a"), 0, "o")
	f.Expect(err).To(HaveOccurred())
	f.Expect(err).NotTo(MatchError(platform.ErrUnknownOutcome))

	f.server.SetFaults(standin.Faults{})
	f.table = &firstWriteHook{Table: f.table, hook: func(write func() error) error {
		_ = write()
		f.server.SetFaults(standin.Faults{Outage: true})
		return platform.ErrUnknownOutcome
	}}
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	_, err = f.store().Apply(ctx, f.document("a"), 0, "o")
	f.Expect(err).To(MatchError(platform.ErrUnknownOutcome))
	var unknown *manifeststore.UnknownOutcomeError
	f.Expect(errors.As(err, &unknown)).To(BeTrue())
	f.Expect(unknown.Generation).To(Equal(uint64(1)))
}

// Guards against a repeated apply that is reported as a conflict with itself.
func TestRepeatedApplyIsUnchanged(t *testing.T) {
	f := newFixture(t)
	f.apply("a", 0)
	result, err := f.store().Apply(f.ctx, f.document("a"), 0, "o")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(result).To(Equal(manifeststore.Result{Generation: 1, Unchanged: true}))
	plain := f.table
	f.table = &firstWriteHook{Table: plain, hook: func(write func() error) error {
		f.table = plain
		f.apply("b", 1)
		return write()
	}}
	result, err = f.store().Apply(f.ctx, f.document("b"), 1, "o")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(result).To(Equal(manifeststore.Result{Generation: 2, Unchanged: true}))
	_, err = f.store().Apply(f.ctx, f.document("c"), 7, "o")
	var conflict *manifeststore.ConflictError
	f.Expect(errors.As(err, &conflict)).To(BeTrue())
	f.Expect(conflict.BaseKnown).To(BeFalse())
}

// lossyObjectStore has lost one object; writing it again restores it.
type lossyObjectStore struct {
	platform.ObjectStore
	lost atomic.Value
}

func (l *lossyObjectStore) Get(ctx context.Context, key string) ([]byte, error) {
	if key == l.lost.Load() {
		return nil, platform.ErrNotFound
	}
	return l.ObjectStore.Get(ctx, key)
}

func (l *lossyObjectStore) Put(ctx context.Context, key string, body []byte) error {
	l.lost.CompareAndSwap(key, "")
	return l.ObjectStore.Put(ctx, key, body)
}

// Guards against a lost object that makes every later apply fail.
func TestApplyReplacesLostObjects(t *testing.T) {
	f := newFixture(t)
	f.apply("a", 0)
	root, objects := manifest.Split(f.document("a"))
	for hash := range objects {
		head, err := f.store().Head(f.ctx)
		f.Expect(err).NotTo(HaveOccurred())
		if hash == root {
			hash = head.Root // The accepted root has a history.
		}
		lossy := &lossyObjectStore{ObjectStore: f.objects}
		lossy.lost.Store(hash)
		store := manifeststore.New(f.table, lossy)
		_, err = store.Load(f.ctx)
		f.Expect(err).To(MatchError(platform.ErrNotFound))
		_, err = store.Apply(f.ctx, f.document("b"+hash), head.Generation, "o")
		f.Expect(err).NotTo(HaveOccurred())
		accepted, err := store.Load(f.ctx)
		f.Expect(err).NotTo(HaveOccurred(), "object %s", hash)
		f.Expect(accepted.Document.Pools[0].User).To(Equal("b" + hash))
		f.apply("a", head.Generation+1)
	}
}
