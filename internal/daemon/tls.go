package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/settings"
)

// callerTLS returns the TLS configuration for connections of callers, nil if
// the settings have none.
func callerTLS(s settings.TLS) (*tls.Config, error) {
	if s.CallerCertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CallerCertFile, s.CallerKeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load the certificate for callers")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the mutual TLS configuration for connections between daemons,
// both incoming and outgoing; nil if the settings have none.
func peerTLS(s settings.TLS) (*tls.Config, error) {
	if s.PeerCertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.PeerCertFile, s.PeerKeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load the certificate for peers")
	}
	pem, err := os.ReadFile(s.PeerCAFile)
	if err != nil {
		return nil, errors.Wrap(err, "load the certificate authority for peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", s.PeerCAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}, nil
}
