package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// Ranges of the settings.
const (
	minCapacity       = 1
	maxCapacity       = 1000
	minMessageBytes   = 1 << 10
	maxMessageBytes   = 1 << 30
	maxCallers        = 1_000_000
	minMemoryBytes    = 32 << 20
	maxMemoryBytes    = 1 << 40
	minIdleTimeout    = time.Second
	maxIdleTimeout    = 24 * time.Hour
	minDrainTimeout   = time.Second
	maxDrainTimeout   = time.Hour
	minRequestTimeout = 10 * time.Millisecond
	maxRequestTimeout = time.Minute
)

// logLevels are the accepted log levels.
var logLevels = []string{"debug", "info", "warn", "error"}

// validate returns all findings about the values.
func (s *Settings) validate() findings.List {
	var l findings.List
	l.CheckRequired("/name", s.Name)
	l.CheckRequired("/availability_zone", s.AvailabilityZone)
	l.CheckRange("/capacity", s.Capacity, minCapacity, maxCapacity)
	checkAddress(&l, "/caller_listen", s.CallerListen, true)
	checkAddress(&l, "/peer_listen", s.PeerListen, true)
	checkAddress(&l, "/admin_listen", s.AdminListen, true)
	checkAddress(&l, "/peer_address", s.PeerAddress, false)
	for i, p := range s.Peers {
		checkAddress(&l, findings.AppendIndex("/peers", i), p, false)
	}
	s.Platform.validate(&l)
	s.TLS.validate(&l)
	s.Limits.validate(&l)
	checkDuration(&l, "/drain_timeout", s.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	if !slices.Contains(logLevels, s.LogLevel) {
		l.Add("/log_level", "use one of "+strings.Join(logLevels, ", "), "log level %q is unknown", s.LogLevel)
	}
	return l
}

func (p Platform) validate(l *findings.List) {
	checkURL(l, "/platform/table_endpoint", p.TableEndpoint, true)
	checkURL(l, "/platform/object_endpoint", p.ObjectEndpoint, true)
	checkURL(l, "/platform/host_list_endpoint", p.HostListEndpoint, false)
	l.CheckRequired("/platform/table_name", p.TableName)
	l.CheckRequired("/platform/bucket", p.Bucket)
	l.CheckRequired("/platform/region", p.Region)
	p.AccessKeyID.validate(l, "/platform/access_key_id")
	p.SecretAccessKey.validate(l, "/platform/secret_access_key")
	checkDuration(l, "/platform/request_timeout", p.RequestTimeout, minRequestTimeout, maxRequestTimeout)
}

func (s Secret) validate(l *findings.List, pointer string) {
	if s.Env == "" && s.File == "" {
		l.Add(pointer, `set "env" or "file"`, "source of the secret is missing")
	}
}

func (t TLS) validate(l *findings.List) {
	checkAllOrNone(l, "/tls", map[string]string{
		"caller_cert_file": t.CallerCertFile, "caller_key_file": t.CallerKeyFile,
	})
	checkAllOrNone(l, "/tls", map[string]string{
		"peer_cert_file": t.PeerCertFile, "peer_key_file": t.PeerKeyFile, "peer_ca_file": t.PeerCAFile,
	})
}

func (b Limits) validate(l *findings.List) {
	l.CheckRange("/limits/message_bytes", b.MessageBytes, minMessageBytes, maxMessageBytes)
	l.CheckRange("/limits/callers", b.Callers, 1, maxCallers)
	l.CheckRange("/limits/memory_bytes", b.MemoryBytes, minMemoryBytes, maxMemoryBytes)
	checkDuration(l, "/limits/idle_timeout", b.IdleTimeout, minIdleTimeout, maxIdleTimeout)
}

// checkAllOrNone adds a finding for each missing file if another one is set.
func checkAllOrNone(l *findings.List, pointer string, files map[string]string) {
	keys := make([]string, 0, len(files))
	set := 0
	for k, v := range files {
		keys = append(keys, k)
		if v != "" {
			set++
		}
	}
	if set == 0 {
		return
	}
	slices.Sort(keys)
	for _, k := range keys {
		if files[k] == "" {
			l.Add(findings.AppendKey(pointer, k), "set all of "+strings.Join(keys, ", ")+" or none", "file is missing")
		}
	}
}

// checkAddress checks an IP:port address. Only a listen address may have port 0
// and an unspecified IP.
func checkAddress(l *findings.List, pointer, v string, listen bool) {
	a, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		l.Add(pointer, "use a numeric address such as 10.0.0.1:7430", "%q is not IP:port", v)
	case !listen && (a.Port() == 0 || a.Addr().IsUnspecified()):
		l.Add(pointer, "use the address that other daemons connect to", "%q cannot be connected to", v)
	}
}

// checkURL checks an HTTP URL.
func checkURL(l *findings.List, pointer, v string, required bool) {
	if v == "" && !required {
		return
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		l.Add(pointer, "use a URL such as http://10.0.0.1:8000", "%q is not an HTTP URL", v)
	}
}

// checkDuration checks that a duration is between low and high.
func checkDuration(l *findings.List, pointer string, v Duration, low, high time.Duration) {
	if d := time.Duration(v); d < low || d > high {
		l.Add(pointer, fmt.Sprintf("use a duration from %s to %s", low, high), "duration %s is out of range", d)
	}
}
