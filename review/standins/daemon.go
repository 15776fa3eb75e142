package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemonPath is the program of the deploy file, below the repository's root.
const daemonPath = "target/beryltrestled"

// daemon is one host's daemon, which runs as a process.
type daemon struct {
	name, settings string
	// front is where callers connect; admin where other daemons do.
	front, admin string
	log          *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// writeSettings writes the settings file of a daemon, with the values of the users' sites.
func writeSettings(path, name, zone string, addresses, seeds []string, storeAddress, cloudAddress string) error {
	ip, _, err := net.SplitHostPort(addresses[0])
	if err != nil {
		return err
	}
	body, err := json.MarshalIndent(map[string]any{
		"NodeName": name, "Role": "gateway", "Class": "front", "Serves": []string{"front", "control"}, "Ip": ip, "Zone": zone,
		"Region": "region", "Zones": map[string]string{"a": "region", "b": "region", "c": "region"},
		"Listen":    map[string]string{"Front": addresses[0], "Readiness": addresses[1], "Admin": addresses[2]},
		"PortRange": []int{7440, 7455}, "Seeds": seeds, "Bootstrap": true, "CountsAsLoss": false,
		"Limits":  map[string]any{"CpuShare": 0.272, "Cpus": 1, "MemoryMb": 206, "MaxFds": 3010, "BandwidthMbps": 700.0, "DiskMb": 0},
		"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"FaultTolerance": map[string]int{"Machines": 2, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "StabilityMs": 4000, "AckMs": 5000, "CatchupS": 4, "DrainMs": 7000, "GraceS": 6,
			"LossSlackMs": 200, "ConfigApplyMs": 3000, "DowngradeMs": 250, "MaxSkewMs": 12000, "RecoveryS": 12,
			"RequireFencing": false, "ThawMs": 300,
		},
		"platform": map[string]any{
			"Address": storeAddress, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxMs": 5.0, "PartitionWritesS": 200,
			"RowBytes": 65536, "Across": false, "HistoryS": 20,
		},
		"Cloud": map[string]any{"Address": cloudAddress, "RatePerS": 50.0, "Duties": []string{"failover"}, "DutyPerS": 50.0},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, body, 0o600)
}

// start starts the process.
func (d *daemon) start(n *network) error {
	command := exec.Command(daemonPath, "platform")
	command.Env = []string{"BERYLTRESTLE_SETTINGS=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	command.Stdout, command.Stderr = d.log, d.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.command, d.exited = command, exited
	d.mu.Unlock()
	n.setProcess(d.name, command.Process.Pid)
	go func() {
		_ = command.Wait() // Processes that are killed end with an error.
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s) // Fails if the process has ended.
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill(n *network) {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
	}
	n.setProcess(d.name, 0)
}

// newDaemon prepares a daemon; start starts it.
func newDaemon(dir, name, zone string, addresses, seeds []string, storeAddress, cloudAddress string) (*daemon, error) {
	d := &daemon{name: name, settings: filepath.Join(dir, name+".json"), front: addresses[0], admin: addresses[2]}
	if err := writeSettings(d.settings, name, zone, addresses, seeds, storeAddress, cloudAddress); err != nil {
		return nil, err
	}
	var err error
	d.log, err = os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return d, err
}
