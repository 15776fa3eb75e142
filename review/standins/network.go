package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// unreachableDrop is the time after which a server drops a connection whose remote end is
// unreachable (PROTOCOL.md, "Servers").
const unreachableDrop = 3 * time.Second

// network carries the connections between the named parts of the deployment through
// loopback proxies, so that the path between any two parts can be cut. A cut holds back
// all bytes, including the end of the connection, and delivers them when it ends.
type network struct {
	mu sync.Mutex
	// cuts holds the pairs of parts without a path, in both orders.
	cuts map[[2]string]bool
	// changed is closed and replaced at each change of cuts.
	changed chan struct{}
	links   map[*link]bool
	// processes maps the names of running daemons to their process IDs, by which the
	// source of a connection is found.
	processes map[string]int
}

func newNetwork() *network {
	return &network{
		cuts: make(map[[2]string]bool), changed: make(chan struct{}),
		links: make(map[*link]bool), processes: make(map[string]int),
	}
}

// cut cuts the paths between every part in a and every part in b.
func (n *network) cut(a, b []string) {
	n.setCut(a, b, true)
	time.AfterFunc(unreachableDrop, n.dropUnreachable)
}

// heal restores the paths between every part in a and every part in b.
func (n *network) heal(a, b []string) { n.setCut(a, b, false) }

func (n *network) setCut(a, b []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			n.cuts[[2]string{x, y}], n.cuts[[2]string{y, x}] = cut, cut
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// connected reports whether there is a path between the two parts.
func (n *network) connected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cuts[[2]string{a, b}]
}

// dropUnreachable closes the server's side of connections that are still cut off.
func (n *network) dropUnreachable() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.toServer && n.cuts[[2]string{l.from, l.to}] {
			l.server.Close()
		}
	}
}

// awaitPath waits until there is a path between the ends of the link. It returns false if
// the link has been closed.
func (n *network) awaitPath(l *link) bool {
	for {
		n.mu.Lock()
		cut, changed := n.cuts[[2]string{l.from, l.to}], n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// setProcess records the process of a daemon; pid 0 means that it does not run.
func (n *network) setProcess(name string, pid int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.processes, name)
	if pid != 0 {
		n.processes[name] = pid
	}
}

// link is one connection through a proxy.
type link struct {
	from, to string
	// toServer is true if the link leads to a database server.
	toServer       bool
	client, server *net.TCPConn
	closed         chan struct{}
	once           sync.Once
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.client.Close()
		l.server.Close()
	})
}

// proxy serves the part at the target address under a new loopback address, which it
// returns.
func (n *network) proxy(to, target string, toServer bool) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.carry(conn.(*net.TCPConn), to, target, toServer)
		}
	}()
	return listener.Addr().String(), nil
}

// carry connects a client to the target and copies both directions.
func (n *network) carry(client *net.TCPConn, to, target string, toServer bool) {
	from := n.source(client)
	conn, err := net.Dial("tcp", target)
	if err == nil && from == "" {
		conn.Close()
	}
	if err != nil || from == "" {
		// No process listens there: the client is reset, as by a port without listener.
		_ = client.SetLinger(0)
		client.Close()
		return
	}
	l := &link{from: from, to: to, toServer: toServer, client: client, server: conn.(*net.TCPConn), closed: make(chan struct{})}
	n.mu.Lock()
	n.links[l] = true
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { n.pump(l, l.server, l.client) })
	both.Go(func() { n.pump(l, l.client, l.server) })
	both.Wait()
	l.close()
	n.mu.Lock()
	delete(n.links, l)
	n.mu.Unlock()
}

// pump copies one direction of a link until it ends.
func (n *network) pump(l *link, to, from *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		if !n.awaitPath(l) {
			return
		}
		if size > 0 {
			if _, err := to.Write(buffer[:size]); err != nil {
				l.close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			l.close()
			return
		}
	}
}

// source returns the name of the daemon that opened the connection: the one whose process
// has the socket at the other end. The name is empty if there is none, as after a kill.
func (n *network) source(conn net.Conn) string {
	for range 20 {
		if inode := socketInode(conn.RemoteAddr(), conn.LocalAddr()); inode != "" {
			n.mu.Lock()
			processes := make(map[string]int, len(n.processes))
			for name, pid := range n.processes {
				processes[name] = pid
			}
			n.mu.Unlock()
			for name, pid := range processes {
				if hasSocket(pid, inode) {
					return name
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}

// socketInode returns the inode of the local socket with the given addresses.
func socketInode(local, remote net.Addr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	wantLocal := fmt.Sprintf(":%04X", local.(*net.TCPAddr).Port)
	wantRemote := fmt.Sprintf(":%04X", remote.(*net.TCPAddr).Port)
	for _, line := range strings.Split(string(table), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1], wantLocal) && strings.HasSuffix(f[2], wantRemote) && f[9] != "0" {
			return f[9]
		}
	}
	return ""
}

// hasSocket reports whether the process has the socket open.
func hasSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if name, err := os.Readlink(dir + "/" + e.Name()); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// listen listens on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

const (
	// minPort is the first port for daemons. All of them lie below the ports that outgoing
	// connections get.
	minPort = 10000
	// portBlocks is the number of blocks of portsPerBlock ports; each run of a case takes
	// the ports of one block, so that runs beside each other do not take the same.
	portBlocks    = 200
	portsPerBlock = 100
)

// nextPort is the offset of the next port in the block of this process.
var nextPort int

// freeAddresses returns loopback addresses whose ports are free. It never returns one twice.
func freeAddresses(count int) ([]string, error) {
	first := minPort + os.Getpid()%portBlocks*portsPerBlock
	var out []string
	for len(out) < count {
		if nextPort == portsPerBlock {
			return nil, errors.New("no free ports")
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+nextPort))
		nextPort++
		if err != nil {
			continue
		}
		out = append(out, l.Addr().String())
		l.Close()
	}
	return out, nil
}
