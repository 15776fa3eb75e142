package database

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

const (
	controlFile   = "control.json"
	initialTerm   = 1
	initialHolder = "initial"
)

// controlState is the durable state of group control. It is kept apart from the
// tables, so that a term can advance while a write transaction is open.
type controlState struct {
	Term          uint64        `json:"term"`
	Holder        string        `json:"holder"`
	AppointedTerm uint64        `json:"appointed_term"`
	Role          platform.Role `json:"role"`
	Primary       string        `json:"primary"`
}

// role is the effective role: a primary of a passed term is fenced.
func (s controlState) role() platform.Role {
	if s.Role == platform.RolePrimary && s.AppointedTerm < s.Term {
		return platform.RoleFenced
	}
	return s.Role
}

func initialState(follow string) controlState {
	s := controlState{
		Term:          initialTerm,
		Holder:        initialHolder,
		AppointedTerm: initialTerm,
		Role:          platform.RolePrimary,
	}
	if follow != "" {
		s.Role = platform.RoleReplica
		s.Primary = follow
	}
	return s
}

func loadState(dir string) (controlState, bool, error) {
	body, err := os.ReadFile(filepath.Join(dir, controlFile))
	if errors.Is(err, os.ErrNotExist) {
		return controlState{}, false, nil
	}
	if err != nil {
		return controlState{}, false, err
	}
	var s controlState
	err = json.Unmarshal(body, &s)
	return s, true, errors.Wrap(err, "control state")
}

// save replaces the file by rename, so that a crash leaves the old or the new
// state.
func (s controlState) save(dir string) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, controlFile)
	if err := os.WriteFile(path+".new", body, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
