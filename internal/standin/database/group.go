package database

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Group is a database group whose endpoints listen on the loopback interface.
type Group struct {
	// Servers are the endpoints; the first starts as primary.
	Servers []*Server
	configs []Config
	// tempDir is the temporary data directory, which Close removes; empty if there is
	// none.
	tempDir string
}

// StartGroup starts n endpoints, the first one as primary. It creates their data
// directories inside cfg.DataDir. If that is empty, it uses a temporary directory, which
// Close removes.
func StartGroup(n int, cfg Config) (*Group, error) {
	g := &Group{}
	base := cfg.DataDir
	if base == "" {
		dir, err := os.MkdirTemp("", "beryltrestle-database-")
		if err != nil {
			return nil, err
		}
		base, g.tempDir = dir, dir
	}
	for i := range n {
		if err := g.add(i, base, cfg); err != nil {
			return nil, errors.CombineErrors(err, g.Close())
		}
	}
	return g, nil
}

func (g *Group) add(i int, base string, cfg Config) error {
	cfg.DataDir = filepath.Join(base, fmt.Sprintf("endpoint-%d", i))
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return err
	}
	if i > 0 {
		cfg.Follow = g.Servers[0].Address()
	}
	s, err := Start(cfg)
	if err != nil {
		return err
	}
	cfg.Listen = s.Address()
	g.Servers = append(g.Servers, s)
	g.configs = append(g.configs, cfg)
	return nil
}

// Addresses returns the endpoints' addresses.
func (g *Group) Addresses() []string {
	out := make([]string, len(g.Servers))
	for i, s := range g.Servers {
		out[i] = s.Address()
	}
	return out
}

// Restart starts endpoint i again after its Close or Kill, with the same address and
// data directory.
func (g *Group) Restart(i int) error {
	s, err := Start(g.configs[i])
	if err != nil {
		return err
	}
	g.Servers[i] = s
	return nil
}

// Close stops all endpoints.
func (g *Group) Close() error {
	var err error
	for _, s := range g.Servers {
		err = errors.CombineErrors(err, s.Close())
	}
	if g.tempDir != "" {
		err = errors.CombineErrors(err, os.RemoveAll(g.tempDir))
	}
	return err
}
