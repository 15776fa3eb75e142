package proof_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// binaries holds the two programs, built once for all tests of the package.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "beryltrestle-bin-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := binaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is one program that a test started; it is ended by its process ID.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	out  bytes.Buffer
	done chan struct{}
}

func startProcess(t *testing.T, program string, args ...string) *process {
	t.Helper()
	dir, err := binaries()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p := &process{t: t, cmd: exec.Command(filepath.Join(dir, program), args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "BERYLTRESTLE_ACCESS_KEY_ID=local", "BERYLTRESTLE_SECRET_ACCESS_KEY=local")
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	NewWithT(t).Expect(p.cmd.Start()).To(Succeed())
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(p.cmd.Process.Pid, s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", strings.Join(p.cmd.Args[1:], " "), p.out.String())
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode(within time.Duration) int {
	select {
	case <-p.done:
	case <-time.After(within):
		p.t.Fatalf("process did not end within %s", within)
	}
	return p.cmd.ProcessState.ExitCode()
}

// processes is a deployment of separate processes.
type processes struct {
	t         *testing.T
	g         *WithT
	dir       string
	platform  string
	databases []*process
	daemons   []*process
	settings  []string
	doc       *manifest.Document
	// callers, admins and faults are addresses by daemon and endpoint.
	callers, admins, faults []string
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	var open []net.Listener
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		open = append(open, ln)
		out = append(out, ln.Addr().String())
	}
	for _, ln := range open {
		ln.Close()
	}
	return out
}

// startProcesses starts a platform, one group of three endpoints and n daemons,
// applies a manifest by the operators' command and waits for an owner.
func startProcesses(t *testing.T, n int) *processes {
	t.Helper()
	p := &processes{t: t, g: NewWithT(t), dir: t.TempDir()}
	p.platform = freeAddresses(t, 1)[0]
	startProcess(t, "beryltrestle", "standin", "platform", "--listen", p.platform)
	p.startDatabases()
	p.writeSettings(n)
	p.g.Eventually(func() int { return p.apply("--base", "0") }, recovery).Should(Equal(0))
	for i := range n {
		p.daemons = append(p.daemons, nil)
		p.startDaemon(i)
	}
	p.g.Eventually(func() int { return p.owner() }, recovery).Should(BeNumerically(">=", 0))
	return p
}

func (p *processes) startDatabases() {
	addrs := freeAddresses(p.t, 6)
	pool := manifest.Pool{
		Name: poolName, Database: poolName, User: "app",
		Reads: []manifest.ReadKind{{Name: "lookup", MaxStalenessMs: 3000, Match: manifest.Match{Tag: "lookup"}}},
	}
	for i := range 3 {
		dir := filepath.Join(p.dir, fmt.Sprintf("endpoint-%d", i))
		p.g.Expect(os.Mkdir(dir, 0o700)).To(Succeed())
		args := []string{"standin", "database", "--listen", addrs[i], "--admin-listen", addrs[3+i], "--data-dir", dir}
		if i > 0 {
			args = append(args, "--follow", addrs[0])
		}
		p.databases = append(p.databases, startProcess(p.t, "beryltrestle", args...))
		p.faults = append(p.faults, addrs[3+i])
		pool.Endpoints = append(pool.Endpoints, manifest.Endpoint{
			Name: fmt.Sprintf("members-%d", i), Address: addrs[i],
			AvailabilityZone: fmt.Sprintf("az-%d", i), Slots: 3, Connections: 50,
		})
	}
	p.doc = &manifest.Document{Version: 1, Deployment: "processes", Pools: []manifest.Pool{pool}}
}

func (p *processes) writeSettings(n int) {
	addrs := freeAddresses(p.t, 3*n)
	for i := range n {
		caller, peer, admin := addrs[3*i], addrs[3*i+1], addrs[3*i+2]
		zone := fmt.Sprintf("az-%d", i%3)
		name := fmt.Sprintf("host-%02d", i)
		p.doc.Hosts = append(p.doc.Hosts, manifest.Host{Name: name, Address: peer, AvailabilityZone: zone, Capacity: 100})
		settings := map[string]any{
			"name": name, "availability_zone": zone,
			"caller_listen": caller, "peer_listen": peer, "admin_listen": admin,
			"platform": map[string]any{
				"table_endpoint": "http://" + p.platform, "object_endpoint": "http://" + p.platform,
			},
			"peers": addrs[1:2],
		}
		file := filepath.Join(p.dir, name+".json")
		p.writeJSON(file, settings)
		p.settings = append(p.settings, file)
		p.callers = append(p.callers, caller)
		p.admins = append(p.admins, admin)
	}
}

func (p *processes) writeJSON(file string, v any) {
	data, err := json.Marshal(v)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
}

// apply applies the manifest by the operators' command.
func (p *processes) apply(args ...string) int {
	file := filepath.Join(p.dir, "manifest.json")
	p.writeJSON(file, p.doc)
	all := append([]string{"manifest", "apply", file, "--table-endpoint", "http://" + p.platform,
		"--object-endpoint", "http://" + p.platform}, args...)
	return startProcess(p.t, "beryltrestle", all...).exitCode(30 * time.Second)
}

func (p *processes) startDaemon(i int) {
	p.daemons[i] = startProcess(p.t, "beryltrestled", "--settings", p.settings[i])
}

// view returns the control state of a daemon, nil if it does not answer.
func (p *processes) view(i int) *control.View {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + p.admins[i] + "/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var v control.View
	if json.NewDecoder(resp.Body).Decode(&v) != nil {
		return nil
	}
	return &v
}

// owner returns the index of the daemon that owns the pool at the highest term,
// -1 if none.
func (p *processes) owner() int {
	best, term := -1, uint64(0)
	for i := range p.daemons {
		v := p.view(i)
		if v == nil {
			continue
		}
		if g := v.Group(poolName); g.Owned && g.Term > term {
			best, term = i, g.Term
		}
	}
	return best
}

// setFaults sets fault switches of an endpoint.
func (p *processes) setFaults(endpoint int, faults string) {
	resp, err := http.Post("http://"+p.faults[endpoint]+"/faults", "application/json", strings.NewReader(faults))
	p.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	p.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// primary returns the index of the owner's primary.
func (p *processes) primary() int {
	v := p.view(p.owner())
	for i, ep := range p.doc.Pools[0].Endpoints {
		if ep.Address == v.Group(poolName).Primary {
			return i
		}
	}
	p.t.Fatal("the owner has no primary")
	return -1
}
