package database

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Group is a set of endpoints on loopback.
type Group struct {
	// Servers are the endpoints; the first starts as primary.
	Servers []*Server
	configs []Config
	// ownDir is removed by Close.
	ownDir string
}

// StartGroup starts n endpoints on loopback, the first as primary. Their data
// directories are made inside cfg.DataDir, or in a temporary directory that
// Close removes if it is empty.
func StartGroup(n int, cfg Config) (*Group, error) {
	g := &Group{}
	base := cfg.DataDir
	if base == "" {
		dir, err := os.MkdirTemp("", "beryltrestle-database-")
		if err != nil {
			return nil, err
		}
		base, g.ownDir = dir, dir
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

// Restart starts endpoint i again with its address and data directory, after
// Close or Kill.
func (g *Group) Restart(i int) error {
	s, err := Start(g.configs[i])
	if err != nil {
		return err
	}
	g.Servers[i] = s
	return nil
}

// Close ends all endpoints.
func (g *Group) Close() error {
	var err error
	for _, s := range g.Servers {
		err = errors.CombineErrors(err, s.Close())
	}
	if g.ownDir != "" {
		err = errors.CombineErrors(err, os.RemoveAll(g.ownDir))
	}
	return err
}
