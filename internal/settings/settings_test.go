package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/settings"
)

const minimalSettings = `{"name": "h1", "availability_zone": "a", "peer_address": "127.0.0.1:7430",
	"platform": {"table_endpoint": "http://127.0.0.1:1", "object_endpoint": "http://127.0.0.1:1"}}`

// Guards against defaults that the daemon's own check rejects.
func TestMinimalSettingsAreAccepted(t *testing.T) {
	g := NewWithT(t)
	s, list := settings.Decode([]byte(minimalSettings))
	g.Expect(list).To(BeEmpty())
	g.Expect(s.Limits.Callers).To(Equal(10000))
}

// Guards against range errors that are not reported because other values could
// not be decoded.
func TestAllFindingsAreReportedTogether(t *testing.T) {
	g := NewWithT(t)
	_, list := settings.Decode([]byte(`{"unit": "h1", "capacity": 1001, "caller_listen": "localhost:5432",
		"peer_address": "0.0.0.0:7430", "peers": ["127.0.0.1:0"], "drain_timeout": "fast", "log_level": "loud",
		"platform": {"table_endpoint": "ftp://x", "request_timeout": "1ms", "secret_access_key": {"env": ""}},
		"tls": {"caller_cert_file": "c"}, "limits": {"callers": "many", "memory_bytes": 1}}`))
	pointers := make([]string, len(list))
	for i, f := range list {
		pointers[i] = f.Pointer
	}
	g.Expect(pointers).To(ConsistOf("/unit", "/name", "/availability_zone", "/capacity", "/caller_listen",
		"/peer_address", "/peers/0", "/drain_timeout", "/log_level", "/platform/table_endpoint",
		"/platform/object_endpoint", "/platform/request_timeout", "/platform/secret_access_key",
		"/tls/caller_key_file", "/limits/callers", "/limits/memory_bytes"))
}

// Guards against a secret that keeps the line end of its file, and against a
// missing environment variable that counts as an empty secret.
func TestSecretComesFromFileOrEnvironment(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "secret")
	g.Expect(os.WriteFile(path, []byte("abc\n"), 0o600)).To(Succeed())
	g.Expect(settings.Secret{File: path, Env: "X"}.Value()).To(Equal("abc"))
	t.Setenv("BERYLTRESTLE_TEST_SECRET", "def")
	g.Expect(settings.Secret{Env: "BERYLTRESTLE_TEST_SECRET"}.Value()).To(Equal("def"))
	_, err := settings.Secret{Env: "BERYLTRESTLE_TEST_MISSING"}.Value()
	g.Expect(err).To(HaveOccurred())
	_, err = settings.Secret{File: path + "x"}.Value()
	g.Expect(err).To(HaveOccurred())
}

// Guards against panics on malicious input, and against settings that change
// when they are encoded and decoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(`{"limits": {"idle_timeout": "1h"}, "peers": null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, list := settings.Decode(data)
		if len(list) > 0 {
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, list := settings.Decode(encoded)
		if len(list) > 0 || !reflect.DeepEqual(s, again) {
			t.Fatalf("settings changed: %v\n%+v\n%+v", list, s, again)
		}
	})
}
