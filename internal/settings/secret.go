package settings

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Secret is the source of a secret value, an environment variable or a file.
// The settings file never holds the value itself.
type Secret struct {
	// Env is the name of an environment variable.
	Env string `json:"env,omitempty"`
	// File is the path of a file. White space around its content is removed.
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
