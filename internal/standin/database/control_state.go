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

// controlState is the durable state of group control. It is stored in a file of its own,
// so that the term can advance while a write transaction of the engine is open.
type controlState struct {
	Term          uint64        `json:"term"`
	Holder        string        `json:"holder"`
	AppointedTerm uint64        `json:"appointed_term"`
	Role          platform.Role `json:"role"`
	Primary       string        `json:"primary"`
}

// role returns the effective role: a primary of an earlier term is fenced.
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

// loadState reads the state of an earlier run. It returns false if there is none.
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
	return s, true, errors.Wrap(err, "decode control state")
}

// save replaces the file by a rename, so that after a crash it contains either the old or
// the new state.
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
