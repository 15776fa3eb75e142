package gateway_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// stateJudge checks that statements run with the session state that was acknowledged to their callers.
type stateJudge struct {
	mu sync.Mutex
	// values holds the value of tz and the definition of the prepared statement of each statement's
	// session, by ID.
	values     map[string]sessionValues
	ran        int
	violations []string
}

type sessionValues struct{ tz, definition string }

// expect records the state with which a statement must run.
func (j *stateJudge) expect(id string, v sessionValues) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.values[id] = v
}

// judge checks a statement that an endpoint runs.
func (j *stateJudge) judge(c *fakeConn, r gateway.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	want, ok := j.values[r.ID]
	if !ok {
		return
	}
	j.ran++
	if !maps.Equal(c.values, map[string]string{"tz": want.tz}) {
		j.violations = append(j.violations, fmt.Sprintf("%s runs with %v instead of %q", r.Text, c.values, want.tz))
	}
	if r.Op == session.OpExecute && c.prepared[r.Alias] != want.definition {
		j.violations = append(j.violations, fmt.Sprintf("%s runs %q instead of %q", r.Text, c.prepared[r.Alias], want.definition))
	}
}

// Guards against a statement that runs with the values or the prepared statement of another session, as
// its endpoint refused to set those of its own (PINNED, review case 7): single statements, prepared
// ones and those of transactions, on connections of the host and through relay hosts.
func TestStatementDoesNotRunBehindRefusedReplay(t *testing.T) {
	for name, maxConnections := range map[string]int{"own connections": manyConnections, "relay hosts": 9} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			hosts := []string{"h1", "h2", "h3", "h4", "h5"}
			f := startFleet(t, maxConnections, hosts...)
			judge := &stateJudge{values: make(map[string]sessionValues)}
			f.group.mu.Lock()
			f.group.onStatement = judge.judge
			for _, e := range f.group.endpoints {
				e.refuses = func(r gateway.Request) bool {
					return (r.Op == session.OpSet || r.Op == session.OpPrepare || r.Op == session.OpReset) && rand.IntN(4) == 0
				}
			}
			f.group.mu.Unlock()
			var served sync.Map
			var callers sync.WaitGroup
			end := time.Now().Add(2 * time.Second)
			for n := range 12 {
				callers.Go(func() {
					v := sessionValues{tz: fmt.Sprint("tz", n), definition: fmt.Sprint("READ q", n)}
					database := []string{"own", "strict"}[n%2]
					c := f.caller(hosts[n%len(hosts)], database)
					c.do(session.Statement{ID: nextID(), Op: session.OpSet, Name: "tz", Args: v.tz})
					c.do(session.Statement{ID: nextID(), Op: session.OpPrepare, Name: "p", Args: v.definition})
					for time.Now().Before(end) {
						if c.use(judge, v) {
							served.Store(n, true)
						}
					}
				})
			}
			callers.Wait()
			judge.mu.Lock()
			defer judge.mu.Unlock()
			g.Expect(judge.violations).To(BeEmpty())
			for n := range 12 {
				_, ok := served.Load(n)
				g.Expect(ok).To(BeTrue(), "caller %d", n)
			}
			t.Logf("%d statements ran", judge.ran)
		})
	}
}

// use runs a random piece of work with the session values, and reports whether it succeeded.
func (c *fakeCaller) use(judge *stateJudge, v sessionValues) bool {
	do := func(st session.Statement) bool {
		judge.expect(st.ID, v)
		reply := c.do(st)
		return reply.OK()
	}
	execute := session.Statement{ID: nextID(), Op: session.OpExecute, Text: "EXECUTE p a", Name: "p", Args: "a"}
	switch rand.IntN(4) {
	case 0:
		return do(execute)
	case 1:
		return do(write("a", "x"))
	case 2:
		begin := c.do(op(session.OpBeginRead))
		ok := begin.OK() && do(read("a")) && do(execute)
		c.do(op(session.OpRollback))
		return ok
	}
	return do(read("a"))
}

// Guards against endless attempts if an endpoint refuses the state of a session for good, and against a
// code that leaves the caller in doubt.
func TestRefusedReplayIsAPromise(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	refused := 0
	f.group.mu.Lock()
	f.group.endpoints["e1"].refuses = func(r gateway.Request) bool {
		if r.Op == session.OpSet {
			refused++
		}
		return r.Op == session.OpSet
	}
	f.group.mu.Unlock()
	c := f.caller("h1", "strict")
	c.do(session.Statement{ID: nextID(), Op: session.OpSet, Name: "tz", Args: "x"})
	st := write("a", "1")
	reply := c.do(st)
	g.Expect(reply.Code).To(Equal(gateway.CodeBusy))
	g.Expect(reply.Detail).To(ContainSubstring("refused.replay"))
	f.group.mu.Lock()
	g.Expect(refused).To(BeNumerically("<=", 4))
	f.group.endpoints["e1"].refuses = nil
	f.group.mu.Unlock()
	g.Expect(f.group.hasWrite("e1", st.ID)).To(BeFalse())
	expectSuccess(g, c, write("a", "2"))
}

// Guards against a transaction that goes on although the endpoint refused a value that was set in it.
func TestTransactionEndsWithRefusedReplay(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	c := f.caller("h1", "strict")
	first := write("a", "1")
	expectSuccess(g, c, op(session.OpBegin), first)
	f.group.mu.Lock()
	f.group.endpoints["e1"].refuses = func(r gateway.Request) bool { return r.Op == session.OpSet }
	f.group.mu.Unlock()
	expectSuccess(g, c, session.Statement{ID: nextID(), Op: session.OpSet, Name: "tz", Args: "x"})
	reply := c.do(op(session.OpCommit))
	g.Expect(reply.Code).To(Equal(gateway.CodeAborted))
	g.Expect(f.group.hasWrite("e1", first.ID)).To(BeFalse())
}
