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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// binaries returns the directory of the two programs, which are built once for all
// tests of the package.
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

// process is a program that a test started. When the test ends, it is killed by its
// process ID.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	output bytes.Buffer
	exited chan struct{}
}

func startProcess(t *testing.T, program string, args ...string) *process {
	t.Helper()
	dir, err := binaries()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p := &process{t: t, cmd: exec.Command(filepath.Join(dir, program), args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "BERYLTRESTLE_ACCESS_KEY_ID=local", "BERYLTRESTLE_SECRET_ACCESS_KEY=local")
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	NewWithT(t).Expect(p.cmd.Start()).To(Succeed())
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(p.cmd.Process.Pid, s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", strings.Join(p.cmd.Args[1:], " "), p.output.String())
	}
}

// exitCode waits for the end of the process and returns its exit code.
func (p *process) exitCode(timeout time.Duration) int {
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.t.Fatalf("process did not end within %s", timeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// processDeployment is a deployment whose parts run as separate processes.
type processDeployment struct {
	t               *testing.T
	g               *WithT
	dir             string
	platformAddress string
	databases       []*process
	daemons         []*process
	settingsFiles   []string
	manifest        *manifest.Document
	// callerAddresses and adminAddresses are the addresses of the daemons, and
	// faultAddresses those of the endpoints' fault switches.
	callerAddresses, adminAddresses, faultAddresses []string
}

// freeAddresses returns n loopback addresses whose ports are free. Another process may
// take a port before it is used.
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

// startProcesses starts a platform, one group of three endpoints and n daemons. It
// applies a manifest with the command-line program and waits until the pool has an
// owner.
func startProcesses(t *testing.T, n int) *processDeployment {
	t.Helper()
	p := &processDeployment{t: t, g: NewWithT(t), dir: t.TempDir()}
	p.platformAddress = freeAddresses(t, 1)[0]
	startProcess(t, "beryltrestle", "standin", "platform", "--listen", p.platformAddress)
	p.startDatabases()
	p.writeSettings(n)
	p.g.Eventually(func() int { return p.apply("--base", "0") }, recoveryTimeout).Should(Equal(0))
	for i := range n {
		p.daemons = append(p.daemons, nil)
		p.startDaemon(i)
	}
	p.g.Eventually(func() int { return p.owner() }, recoveryTimeout).Should(BeNumerically(">=", 0))
	return p
}

func (p *processDeployment) startDatabases() {
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
		p.faultAddresses = append(p.faultAddresses, addrs[3+i])
		pool.Endpoints = append(pool.Endpoints, manifest.Endpoint{
			Name: fmt.Sprintf("members-%d", i), Address: addrs[i],
			AvailabilityZone: fmt.Sprintf("az-%d", i), Slots: 3, Connections: 50,
		})
	}
	p.manifest = &manifest.Document{Version: 1, Deployment: "processes", Pools: []manifest.Pool{pool}}
}

func (p *processDeployment) writeSettings(n int) {
	addrs := freeAddresses(p.t, 3*n)
	for i := range n {
		caller, peer, admin := addrs[3*i], addrs[3*i+1], addrs[3*i+2]
		zone := fmt.Sprintf("az-%d", i%3)
		name := fmt.Sprintf("host-%02d", i)
		p.manifest.Hosts = append(p.manifest.Hosts, manifest.Host{Name: name, Address: peer, AvailabilityZone: zone, Capacity: 100})
		settings := map[string]any{
			"name": name, "availability_zone": zone,
			"caller_listen": caller, "peer_listen": peer, "admin_listen": admin,
			"platform": map[string]any{
				"table_endpoint": "http://" + p.platformAddress, "object_endpoint": "http://" + p.platformAddress,
			},
			"peers": addrs[1:2],
		}
		file := filepath.Join(p.dir, name+".json")
		p.writeJSON(file, settings)
		p.settingsFiles = append(p.settingsFiles, file)
		p.callerAddresses = append(p.callerAddresses, caller)
		p.adminAddresses = append(p.adminAddresses, admin)
	}
}

func (p *processDeployment) writeJSON(file string, v any) {
	data, err := json.Marshal(v)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
}

// apply applies the manifest with the command-line program and returns its exit code.
func (p *processDeployment) apply(args ...string) int {
	file := filepath.Join(p.dir, "manifest.json")
	p.writeJSON(file, p.manifest)
	all := append([]string{"manifest", "apply", file, "--table-endpoint", "http://" + p.platformAddress,
		"--object-endpoint", "http://" + p.platformAddress}, args...)
	return startProcess(p.t, "beryltrestle", all...).exitCode(30 * time.Second)
}

func (p *processDeployment) startDaemon(i int) {
	p.daemons[i] = startProcess(p.t, "beryltrestled", "--settings", p.settingsFiles[i])
}

// view returns the control state of daemon i, or nil if the daemon does not answer.
func (p *processDeployment) view(i int) *control.View {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + p.adminAddresses[i] + "/status")
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

// owner returns the index of the daemon that owns the pool at the highest term, or -1
// if there is none.
func (p *processDeployment) owner() int {
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

// setFaults sets the fault switches of an endpoint that the JSON document names.
func (p *processDeployment) setFaults(endpoint int, faults string) {
	resp, err := http.Post("http://"+p.faultAddresses[endpoint]+"/faults", "application/json", strings.NewReader(faults))
	p.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	p.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// ownerAndPrimary returns the index of the daemon that owns the pool and that of the endpoint
// that it uses as primary. It waits until a daemon answers as owner, which may not answer within
// the time of one request on a machine that is busy.
func (p *processDeployment) ownerAndPrimary() (owner, primary int) {
	p.g.Eventually(func() int {
		owner, primary = p.owner(), -1
		if owner < 0 {
			return -1
		}
		if v := p.view(owner); v != nil {
			address := v.Group(poolName).Primary
			primary = slices.IndexFunc(p.manifest.Pools[0].Endpoints, func(ep manifest.Endpoint) bool { return ep.Address == address })
		}
		return primary
	}, 10*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", 0), "no daemon owns the pool with a primary")
	return owner, primary
}
