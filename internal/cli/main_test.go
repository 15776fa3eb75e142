package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/cli"
	"github.com/beryltrestle/beryltrestle/internal/control"
	standin "github.com/beryltrestle/beryltrestle/internal/standin/platform"
)

const example = "../../examples/cooperative.json"

// testCLI runs commands against a stand-in platform, whose addresses are in the
// environment.
type testCLI struct {
	*GomegaWithT
	t      *testing.T
	server *standin.Server
}

func newTestCLI(t *testing.T) *testCLI {
	s, err := standin.Start(standin.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	t.Setenv("BERYLTRESTLE_TABLE_ENDPOINT", s.URL())
	t.Setenv("BERYLTRESTLE_OBJECT_ENDPOINT", s.URL())
	t.Setenv("BERYLTRESTLE_ACCESS_KEY_ID", "k")
	t.Setenv("BERYLTRESTLE_SECRET_ACCESS_KEY", "s")
	t.Setenv("BERYLTRESTLE_OPERATOR", "first")
	return &testCLI{GomegaWithT: NewWithT(t), t: t, server: s}
}

// run runs a command and returns the exit code and all output.
func (f *testCLI) run(args ...string) (int, string) {
	var out, errs bytes.Buffer
	code := cli.Main(args, strings.NewReader(""), &out, &errs)
	return code, out.String() + errs.String()
}

// editedExample writes the example with one text replaced and returns the path
// of the file.
func (f *testCLI) editedExample(before, after string) string {
	data, err := os.ReadFile(example)
	f.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(f.t.TempDir(), "manifest.json")
	data = bytes.Replace(data, []byte(before), []byte(after), 1)
	f.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	return path
}

// expectRun runs a command and checks the exit code and a part of the output.
func (f *testCLI) expectRun(code int, part string, args ...string) {
	f.t.Helper()
	got, out := f.run(args...)
	f.Expect(got).To(Equal(code), out)
	f.Expect(out).To(ContainSubstring(part))
}

// Guards against exit codes that build pipelines would misinterpret.
func TestExitCodes(t *testing.T) {
	f := newTestCLI(t)
	bad := f.editedExample(`"slots": 3`, `"slots": 0`)
	other := f.editedExample(`"slots": 3`, `"slots": 2`)
	third := f.editedExample(`"slots": 3`, `"slots": 1`)
	f.expectRun(0, "13 hosts, 3 pools", "manifest", "check", example)
	f.expectRun(2, "/pools/0/endpoints/0/slots", "manifest", "check", bad)
	f.expectRun(2, "/pools/0/endpoints/0/slots", "manifest", "apply", bad)
	f.expectRun(1, "no such file", "manifest", "check", "missing.json")
	f.expectRun(2, "unexpected argument", "manifest", "unknown")
	f.expectRun(2, "--address", "status")
	f.expectRun(0, "Usage", "--help")
	f.expectRun(1, "no manifest", "manifest", "show")

	f.expectRun(0, "added pool members-river", "manifest", "diff", example)
	f.expectRun(0, "generation 1", "manifest", "apply", example)
	f.expectRun(0, "nothing was written", "manifest", "apply", example, "--base", "0")
	f.expectRun(0, "slots: 3 -> 2", "manifest", "diff", other)
	f.expectRun(0, "generation 2", "manifest", "apply", other, "--base", "1")
	f.expectRun(3, "slots: 3 -> 2", "manifest", "apply", third, "--base", "1", "--operator", "second")
	f.expectRun(0, "applied by first", "manifest", "show")

	f.server.SetFaults(standin.Faults{LoseTableAnswers: 1})
	f.expectRun(0, "generation 3", "manifest", "apply", third)
	f.server.SetFaults(standin.Faults{Outage: true})
	f.expectRun(1, "read table", "manifest", "apply", other, "--base", "3")
}

// Guards against JSON output that a pipeline cannot parse.
func TestJSONOutput(t *testing.T) {
	f := newTestCLI(t)
	other := f.editedExample(`"slots": 3`, `"slots": 2`)
	for _, step := range []struct {
		code int
		key  string
		args []string
	}{
		{0, "valid", []string{"manifest", "check", example}},
		{2, "findings", []string{"manifest", "check", f.editedExample(`"slots": 3`, `"slot": 3`)}},
		{0, "generation", []string{"manifest", "apply", example}},
		{3, "conflict", []string{"manifest", "apply", other, "--base", "0"}},
		{0, "changes", []string{"manifest", "diff", other}},
		{0, "manifest", []string{"manifest", "show"}},
		{0, "pools", []string{"manifest", "show", "--document"}},
	} {
		code, out := f.run(append(step.args, "--output", "json")...)
		f.Expect(code).To(Equal(step.code), out)
		var v map[string]any
		f.Expect(json.Unmarshal([]byte(out), &v)).To(Succeed(), out)
		f.Expect(v).To(HaveKey(step.key))
	}
}

// Guards against reporting an apply of unknown outcome as failed: the operator
// would apply again over a change that may still take effect.
func TestUnknownOutcomeHasItsOwnExitCode(t *testing.T) {
	f := newTestCLI(t)
	f.expectRun(0, "generation 1", "manifest", "apply", example)
	f.server.SetFaults(standin.Faults{LoseTableAnswers: 1, OutageAfterLoss: true})
	f.expectRun(4, "run the same command again", "manifest", "apply", f.editedExample(`"slots": 3`, `"slots": 2`), "--timeout", "1s")
}

// Guards against a status command that cannot decode or display the daemon's
// status.
func TestStatus(t *testing.T) {
	f := newTestCLI(t)
	view := control.View{Generation: 7, Groups: control.NewGroups(map[string]control.GroupView{"p": {Term: 4, Primary: "127.0.0.1:9", Owned: true}})}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(view)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	f.expectRun(0, "generation 7", "status", "--address", address)
	f.expectRun(0, "127.0.0.1:9", "status", "--address", address)
	f.expectRun(1, "read status", "status", "--address", "127.0.0.1:1")
}
