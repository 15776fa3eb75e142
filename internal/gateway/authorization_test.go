package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// revocationBound is short, so that a test can wait for it.
const revocationBound = 2 * time.Second

// putTeams writes a configuration with a database that requires a key and one that does not, and
// one that requires a key and has a long timeout.
func (f *fakeFleet) putTeams(version uint64, entries ...access.Entry) {
	group := gateway.Group{Name: "g", MaxConnections: manyConnections}
	f.store.putRow(gateway.TableCatalog, "config", catalogWithTeams{Entries: entries, Catalog: gateway.Catalog{
		Version: version, IdleTransactionTimeout: 2 * time.Second, Groups: map[string]gateway.Group{"g": group},
		Databases: map[string]gateway.Database{
			"strict": {Name: "strict", Group: "g", Timeout: time.Second},
			"keyed":  {Name: "keyed", Group: "g", Timeout: time.Second, KeyRequired: true},
			"slow":   {Name: "slow", Group: "g", Timeout: 8 * time.Second, KeyRequired: true},
		},
	}})
}

// startKeyedFleet starts hosts with two teams, each with one key.
func startKeyedFleet(t *testing.T, hosts ...string) *fakeFleet {
	t.Helper()
	f := newFleet(manyConnections)
	f.configure = func(cfg *gateway.Config) { cfg.RevocationBound = revocationBound }
	f.putTeams(2, access.Entry{Name: "red", Keys: []string{"r1"}}, access.Entry{Name: "blue", Keys: []string{"b1"}})
	f.startAll(t, hosts...)
	return f
}

var readX = session.Statement{ID: "q", Op: session.OpRead, Text: "READ x"}

// teamsAtEndpoints returns the teams of the connections on which statements of callers ran.
func (f *fakeFleet) teamsAtEndpoints() map[string]bool {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	out := make(map[string]bool)
	for _, e := range f.group.endpoints {
		for c := range e.conns {
			if c.ranCaller {
				out[c.team] = true
			}
		}
	}
	return out
}

// Guards against a caller that is served without a valid key, a statement that reaches an
// endpoint under the name of another team or of the host, and a key that reaches an endpoint or
// the log.
func TestKeyIdentifiesTheTeam(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startKeyedFleet(t, "h1")
	g.Expect(f.callerWithKey("h1", "keyed", "r1").do(readX).Code).To(Equal(gateway.CodeNone))
	g.Expect(f.callerWithKey("h1", "keyed", "b1").do(readX).Code).To(Equal(gateway.CodeNone))
	g.Expect(f.callerWithKey("h1", "keyed", "wrong").do(readX).Code).To(Equal(gateway.CodeUnauthenticated))
	g.Expect(f.callerWithKey("h1", "keyed", "").do(readX).Code).To(Equal(gateway.CodeUnauthenticated))
	g.Expect(f.callerWithKey("h1", "strict", "whatever").do(readX).Code).To(Equal(gateway.CodeNone))
	g.Expect(f.teamsAtEndpoints()).To(Equal(map[string]bool{"": true, "red": true, "blue": true}))
	for _, key := range []string{"r1", "b1", "wrong", "whatever"} {
		g.Expect(f.logs["h1"].String()).NotTo(ContainSubstring(key))
	}
}

// Guards against a withdrawn key that still works in an open session, in an open transaction,
// for a prepared statement, or on a host that is cut off and cannot know of the withdrawal; and
// against a key that is refused after it was added again.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startKeyedFleet(t, "h1", "h2", "h3")
	open := f.callerWithKey("h1", "keyed", "r1")
	prepared := f.callerWithKey("h1", "keyed", "r1")
	inTransaction := f.callerWithKey("h1", "keyed", "r1")
	isolated := f.callerWithKey("h3", "keyed", "r1")
	execute := session.Statement{ID: "q", Op: session.OpExecute, Name: "p", Text: "EXECUTE p x"}
	g.Expect(prepared.do(session.Statement{ID: "q", Op: session.OpPrepare, Name: "p", Args: "READ s"}).Code).To(Equal(gateway.CodeNone))
	g.Expect(inTransaction.do(session.Statement{ID: "q", Op: session.OpBegin}).Code).To(Equal(gateway.CodeNone))
	for _, c := range []*fakeCaller{open, inTransaction, isolated} {
		g.Expect(c.do(readX).Code).To(Equal(gateway.CodeNone))
	}
	g.Expect(prepared.do(execute).Code).To(Equal(gateway.CodeNone))

	f.mu.Lock()
	f.partition["h3"] = 1
	f.mu.Unlock()
	f.store.setUnavailable("h3", true)
	f.putTeams(3, access.Entry{Name: "red", Keys: []string{"r2"}}, access.Entry{Name: "blue", Keys: []string{"b1"}})
	time.Sleep(revocationBound)
	g.Expect(open.do(readX).Code).To(Equal(gateway.CodeUnauthenticated))
	g.Expect(prepared.do(execute).Code).To(Equal(gateway.CodeUnauthenticated))
	refused := inTransaction.do(readX)
	g.Expect(refused.Code).To(Equal(gateway.CodeUnauthenticated))
	g.Expect(refused.State).To(Equal(gateway.TxFailed))
	g.Expect(inTransaction.do(session.Statement{ID: "q", Op: session.OpRollback}).State).To(Equal(gateway.TxIdle))
	g.Expect(isolated.do(readX).Code).To(Equal(gateway.CodeBusy))
	g.Expect(f.callerWithKey("h3", "keyed", "b1").do(readX).Code).To(Equal(gateway.CodeBusy))
	g.Expect(f.hosts["h3"].Ready()).NotTo(Succeed())
	g.Expect(f.hosts["h1"].Ready()).To(Succeed())

	f.putTeams(4, access.Entry{Name: "red", Keys: []string{"r1"}}, access.Entry{Name: "blue", Keys: []string{"b1"}})
	g.Eventually(func() gateway.Code { return open.do(readX).Code }, 3*time.Second, 20*time.Millisecond).Should(Equal(gateway.CodeNone))
}

// Guards against a statement that waits for an endpoint while its key is withdrawn, and then runs
// (issue 39: a check whose result is used later); also if its database is removed at the same time,
// so that no configured database requires a key of it.
func TestStatementThatWaitsDoesNotRunWithWithdrawnKey(t *testing.T) {
	t.Parallel()
	withdrawn := []access.Entry{{Name: "red", Keys: []string{}}, {Name: "blue", Keys: []string{"b1"}}}
	for name, change := range map[string]func(*fakeFleet){
		"key withdrawn": func(f *fakeFleet) { f.putTeams(3, withdrawn...) },
		"database removed": func(f *fakeFleet) {
			f.store.putRow(gateway.TableCatalog, "config", catalogWithTeams{Entries: withdrawn, Catalog: gateway.Catalog{
				Version: 3, IdleTransactionTimeout: 2 * time.Second, Groups: map[string]gateway.Group{"g": {Name: "g", MaxConnections: manyConnections}},
			}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := startKeyedFleet(t, "h1")
			waiting := f.callerWithKey("h1", "slow", "r1")
			g.Expect(waiting.do(readX).Code).To(Equal(gateway.CodeNone))
			f.group.mu.Lock()
			f.group.promoterError = errUnreachable
			f.group.mu.Unlock()
			f.group.stop("e1")
			answered := make(chan gateway.Reply, 1)
			st := write("waited", "1")
			go func() { answered <- waiting.do(st) }()
			g.Consistently(answered, 300*time.Millisecond).ShouldNot(Receive())
			change(f)
			time.Sleep(revocationBound)
			f.group.mu.Lock()
			f.group.promoterError = nil
			f.group.mu.Unlock()
			var reply gateway.Reply
			g.Eventually(answered, 6*time.Second).Should(Receive(&reply))
			g.Expect(reply.Code).To(Equal(gateway.CodeUnauthenticated))
			g.Expect(f.group.hasWrite("e2", st.ID) || f.group.hasWrite("e3", st.ID)).To(BeFalse())
		})
	}
}

// Guards against a statement that runs on a connection of the team which held the key when the
// transaction began, after the key has moved to another team.
func TestTransactionEndsWhenTheKeyMovesToAnotherTeam(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startKeyedFleet(t, "h1")
	moved := f.callerWithKey("h1", "keyed", "r1")
	g.Expect(moved.do(session.Statement{ID: "q", Op: session.OpBegin}).Code).To(Equal(gateway.CodeNone))
	g.Expect(moved.do(readX).Code).To(Equal(gateway.CodeNone))
	f.putTeams(3, access.Entry{Name: "red", Keys: []string{}}, access.Entry{Name: "blue", Keys: []string{"b1", "r1"}})
	g.Eventually(func() gateway.Code { return moved.do(readX).Code }, time.Second, 10*time.Millisecond).Should(Equal(gateway.CodeAborted))
	g.Expect(moved.do(session.Statement{ID: "q", Op: session.OpRollback}).State).To(Equal(gateway.TxIdle))
	g.Expect(moved.do(readX).Code).To(Equal(gateway.CodeNone))
	g.Expect(f.teamsAtEndpoints()).To(HaveKey("blue"))
}

// Guards against a proof of the configuration that rests on the change feed, which may miss
// changes while the store drops its history.
func TestConfigurationIsListedIfKeysCanBeWithdrawn(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startKeyedFleet(t, "h1", "h2")
	caller := f.callerWithKey("h2", "keyed", "b1")
	g.Consistently(func() gateway.Code { return caller.do(readX).Code }, 2*revocationBound, 50*time.Millisecond).Should(Equal(gateway.CodeNone))
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	g.Expect(f.store.feedCalls[gateway.TableCatalog]).To(BeZero())
	g.Expect(f.store.feedCalls[gateway.TableEndpoints]).NotTo(BeZero())
}
