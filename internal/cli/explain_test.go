package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/admin"
	"github.com/beryltrestle/beryltrestle/internal/cli"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// explanation is a refusal by the limit of a team, with an endpoint behind relay hosts.
var explanation = gateway.Explanation{
	Host:     "h1",
	Database: &gateway.DatabaseExplanation{Name: "orders", Group: "g1", Consistency: "bounded staleness", MaxStalenessMs: 1500, ObjectiveMs: 300, TimeoutMs: 1200},
	Keys:     gateway.KeysExplanation{Required: true, Accepted: true, RevocationBoundMs: 5000, Version: 7},
	Team: &gateway.TeamExplanation{
		Name: "red", Known: true, HasKey: true, Limited: true, Rate: 30, Burst: 10, Decision: "refused", AfterMs: 120,
		Lenders: []gateway.LenderExplanation{{Address: "10.0.0.1:7", Status: "refused", WaitMs: 120}, {Address: "10.0.0.2:7", Status: "unreachable", WaitMs: 900}},
	},
	Endpoints: []gateway.EndpointExplanation{
		{ID: "e1", Role: "primary", Zone: "z1", Direct: true, HealthWeight: 1, Excluded: "backoff after a failure", BackoffMs: 80},
		{ID: "e2", Role: "replica", Zone: "z2", HealthWeight: 0.25, InFlight: 3, Window: 8, ExpectedWaitMs: 21, CostMs: 27, Share: 1,
			Relays:   []gateway.RelayExplanation{{Address: "10.0.0.3:7", Used: true}, {Address: "10.0.0.4:7", DownMs: 400}},
			Reported: &gateway.ReportedLoad{Complete: true, InFlight: 9, Waiting: 2, Limit: 12}},
	},
	Outcome: gateway.Outcome{Result: gateway.ResultRefused, Reason: "refused.quota", RetryAfterMs: 120, RetryAfterMaxMs: 120},
}

// runExplain runs the command and returns the exit code and all output.
func runExplain(args ...string) (int, string) {
	var out, errs bytes.Buffer
	code := cli.Main(append([]string{"explain"}, args...), strings.NewReader(""), &out, &errs)
	return code, out.String() + errs.String()
}

// Guards against a command that sends other parameters than the host expects, leaves out why a
// statement is refused or where it would go, or shows what was given as a team if the host does
// not answer.
func TestExplain(t *testing.T) {
	g := NewWithT(t)
	var asked string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		_ = json.NewEncoder(w).Encode(explanation)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	code, out := runExplain("--address", address, "--database", "orders", "--team", "red", "--write")
	g.Expect(code).To(BeZero(), out)
	g.Expect(asked).To(Equal("/explain?database=orders&team=red&write=true"))
	for _, part := range []string{
		"outcome:   refused, refused.quota, retry after 120 ms", "orders, group g1, bounded staleness up to 1500 ms, objective 300 ms",
		"required, accepted now, configuration 7 without proof, bound 5000 ms", "red, 30 operations/s, burst 10", "next: refused, again in 120 ms",
		"10.0.0.2:7  unreachable  900 ms", "backoff after a failure, 80 ms", "yes, weight 0.25", "via 10.0.0.3:7 (10.0.0.4:7 down 400 ms)", "9+2/12",
	} {
		g.Expect(out).To(ContainSubstring(part))
	}
	code, out = runExplain("--address", address, "--database", "orders", "-o", "json")
	g.Expect(code).To(BeZero(), out)
	g.Expect(asked).To(Equal("/explain?database=orders&write=false"))
	var decoded gateway.Explanation
	g.Expect(json.Unmarshal([]byte(out), &decoded)).To(Succeed())
	g.Expect(decoded).To(Equal(explanation))

	code, out = runExplain("--address", "127.0.0.1:1", "--database", "orders", "--team", "secret")
	g.Expect(code).To(Equal(1))
	g.Expect(out).To(And(ContainSubstring("read explanation"), Not(ContainSubstring("secret"))))
	code, _ = runExplain("--address", address)
	g.Expect(code).To(Equal(2))
}

// Guards against a daemon without explanations that fails in another way than by an exit code.
func TestExplainOfADaemonWithoutIt(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(admin.New(admin.Config{}).Handler())
	defer srv.Close()
	code, out := runExplain("--address", strings.TrimPrefix(srv.URL, "http://"), "--database", "orders")
	g.Expect(code).To(Equal(1))
	g.Expect(out).To(ContainSubstring("404"))
}
