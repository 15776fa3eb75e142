package settings

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Secret names where a secret value is read from: an environment variable or
// a file. The value itself is never in the settings file.
type Secret struct {
	// Env is the name of an environment variable.
	Env string `json:"env,omitempty"`
	// File is a path; white space around its content is removed.
	File string `json:"file,omitempty"`
}

// Value reads the secret.
func (s Secret) Value() (string, error) {
	if s.File != "" {
		b, err := os.ReadFile(s.File)
		return strings.TrimSpace(string(b)), errors.Wrap(err, "read secret")
	}
	v, ok := os.LookupEnv(s.Env)
	if !ok {
		return "", errors.Newf("environment variable %s is not set", s.Env)
	}
	return v, nil
}
