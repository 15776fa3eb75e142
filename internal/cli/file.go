package cli

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// maxManifestBytes is the largest size of a manifest on standard input; 6,800
// pools take about 15 MB.
const maxManifestBytes = 256 << 20

// manifestFile is the argument for a manifest file.
type manifestFile struct {
	File string `arg:"" help:"Manifest file (JSON), or - for standard input."`
}

// load reads and checks the file. It returns problems of the content as a
// findings.List.
func (f manifestFile) load(e *environment) (*manifest.Document, error) {
	data, err := f.readAll(e.stdin)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	doc, list := manifest.Decode(data)
	if len(list) > 0 {
		return nil, list
	}
	return doc, nil
}

func (f manifestFile) readAll(stdin io.Reader) ([]byte, error) {
	if f.File != "-" {
		return os.ReadFile(f.File)
	}
	data, err := io.ReadAll(io.LimitReader(stdin, maxManifestBytes+1))
	if err == nil && len(data) > maxManifestBytes {
		err = errors.Newf("manifest is larger than %d bytes", maxManifestBytes)
	}
	return data, err
}
